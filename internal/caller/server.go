// Package caller serves the callers' HTTP API of an entry. It authenticates a
// request, reserves its worst case in tokens, dispatches it to a backend server,
// relays the response and settles the reservation.
package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	defaultRequestsRunning = 4096
	bearerPrefix           = "Bearer "

	// IdempotencyKeyHeader is the request header with the idempotency key: requests
	// of a workspace with the same key and body run and are billed once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RepeatableHeader is the request header that, set to "false", marks a request
	// that must not run more than once.
	RepeatableHeader = "Cactusbay-Repeatable"

	// ReplayedHeader is the response header that marks the response of an earlier
	// attempt.
	ReplayedHeader = "Cactusbay-Replayed"

	maxIdempotencyKeyBytes = 256
)

// Server serves callers. Set its fields before calling Handler.
type Server struct {
	// Instance is the entry's instance id and epoch.
	Instance      string
	FailureDomain string
	Watcher       *group.Watcher
	Claimer       *group.Claimer
	Ledger        *ledger.Client
	Outbox        *Outbox
	Backend       *backend.Client
	Pool          *backend.Pool
	Log           *log.Logger
	Scope         tally.Scope
	Tracer        trace.Tracer
	Check         *invariant.Checker
	// Memory bounds the request bodies that the entry holds; nil bounds none.
	Memory *memory.Account

	running atomic.Int64
	// accepted counts the running requests whose bodies have arrived.
	accepted atomic.Int64
	drain    drain.Drain
}

// Handler returns the handler of the callers' HTTP API.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", s.health)
	router.Get("/readyz", s.ready)
	router.Post("/v1/chat/completions", s.serveChat)
	router.HandleFunc("/services/{service}", s.serveService)
	router.HandleFunc("/services/{service}/*", s.serveService)
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		notRun(http.StatusNotFound, "not_found", "no such path: see the README for those that are served", 0).write(w)
	})
	return router
}

// Drain starts the shutdown. It makes /readyz fail, so that load balancers stop
// sending requests. Requests that arrive are still served, except those that plan
// refuses.
func (s *Server) Drain(plan drain.Plan) {
	s.drain.Begin(plan)
}

// Running returns the number of requests in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// health handles /healthz, which always succeeds.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// ready handles /readyz. It fails without a configuration and during a shutdown.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.drain.Plan() != nil {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	if s.Watcher.Active().Document == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// request is an authenticated caller's request, resolved to the work that it uses.
type request struct {
	workspace string
	workName  string
	work      config.Work
	document  *config.Document
	// key is the idempotency key; it is empty if the caller sent none.
	key  string
	body []byte
	// memory is what is reserved for the body.
	memory *memory.Request
	// accepted is the counter in which the request counts; nil if it does not.
	accepted *atomic.Int64
	// target is the method and path of a call to a plain service.
	target string
	// prompt describes the prompt for placement; it is nil for a call to a service.
	prompt *place.Prompt
	// attach serves a retry from the running attempt of the same request and
	// reports whether it did. It is nil if the response cannot be streamed.
	attach func(context.Context, ledger.Reservation) bool
	// repeatable is false if the request must not run more than once.
	repeatable bool
}

// release ends what the request has reserved, and no longer counts it as accepted.
func (r *request) release() {
	r.memory.Release()
	if r.accepted != nil {
		r.accepted.Add(-1)
	}
}

// begin starts the root span and counts the request as running. The caller of
// begin calls the returned function at the end of the request.
func (s *Server) begin(r *http.Request, name string) (context.Context, func()) {
	ctx := observe.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	s.running.Add(1)
	start := time.Now()
	return ctx, func() {
		s.running.Add(-1)
		s.Scope.Timer("request_duration").Record(time.Since(start))
		span.End()
	}
}

// accept authenticates the caller and reads the body. It refuses the request if
// too many are running or the body is too large. The caller of accept releases the request.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*request, *Refusal) {
	document := s.Watcher.Active().Document
	if document == nil {
		return nil, notRun(http.StatusServiceUnavailable, codeNoConfig, "the instance has no configuration yet", retrySoon)
	}
	limit := int64(document.Limits.RequestsRunning)
	if limit == 0 {
		limit = defaultRequestsRunning
	}
	if s.accepted.Load() >= limit {
		return nil, tooManyRequests()
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	workspace := ""
	if found {
		workspace, found = document.WorkspaceOf(key)
	}
	if !found {
		return nil, notRun(http.StatusUnauthorized, codeUnauthorized, "the key is missing or unknown: send Authorization: Bearer KEY", 0)
	}
	idempotencyKey := r.Header.Get(IdempotencyKeyHeader)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, notRun(http.StatusBadRequest, codeBadRequest, "Idempotency-Key is longer than 256 bytes", 0)
	}
	req := &request{workspace: workspace, document: document, key: idempotencyKey, memory: s.Memory.Request(workspace)}
	refusal := req.readBody(w, r)
	if refusal != nil {
		req.release()
		return nil, refusal
	}
	req.accepted = &s.accepted
	if s.accepted.Add(1) > limit {
		req.release()
		return nil, tooManyRequests()
	}
	return req, nil
}

func tooManyRequests() *Refusal {
	return notRun(http.StatusServiceUnavailable, codeNoCapacity, "too many requests in progress at this instance", retrySoon)
}

// refuseWhenLeaving returns a refusal if the end of a shutdown may cut the request.
func (s *Server) refuseWhenLeaving(req *request) *Refusal {
	now := time.Now()
	if !s.drain.Plan().Refuses(now, now.Add(req.work.DeadlineOrDefault())) {
		return nil
	}
	return notRun(http.StatusServiceUnavailable, codeShuttingDown, "the instance is shutting down: send the request to another one", retrySoon)
}

// resolveRoute sets the work that the route called name leads to, and checks that
// the workspace may use it.
func (r *request) resolveRoute(name, kind string, header http.Header) *Refusal {
	route, found := r.document.Routes[name]
	if found {
		found = r.document.Works[route.Work].Kind == kind
	}
	if !found {
		return notRun(http.StatusNotFound, codeNoRoute, "no route is named "+name, 0)
	}
	if !r.document.Workspaces[r.workspace].Allows(route.Work) {
		return notRun(http.StatusForbidden, codeForbidden, "the workspace may not use "+name, 0)
	}
	r.workName = route.Work
	r.work = r.document.Works[route.Work]
	r.repeatable = r.work.IsRepeatable() && !strings.EqualFold(header.Get(RepeatableHeader), "false")
	return nil
}
