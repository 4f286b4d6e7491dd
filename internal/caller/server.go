// Package caller serves callers over HTTP: it admits a request, reserves its
// worst case, dispatches it, streams the answer and settles the bill.
package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/ledger"
	"github.com/cactusbay/cactusbay/internal/observe"
)

const (
	defaultBodyBytes       = 1 << 20
	defaultRequestsRunning = 4096
	bearerPrefix           = "Bearer "

	// IdempotencyKeyHeader makes a request idempotent.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RepeatableHeader set to false marks a request that may run once only.
	RepeatableHeader = "Cactusbay-Repeatable"

	// ReplayedHeader marks an answer that was kept from an earlier attempt.
	ReplayedHeader = "Cactusbay-Replayed"

	maxIdempotencyKeyBytes = 256
)

// Server serves callers. Its fields are set before Handler is called.
type Server struct {
	// Instance is the entry's id and incarnation.
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

	running  atomic.Int64
	draining atomic.Bool
}

// Handler returns the callers' HTTP API.
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

// Drain takes the instance out of readiness; requests are still served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Running returns the number of requests in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	if s.Watcher.Active().Document == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// request is a request that may use its work.
type request struct {
	workspace string
	workName  string
	work      config.Work
	document  *config.Document
	key       string
	body      []byte
	// target is a plain service's method and path.
	target string
	// prefix is the prompt's affinity to backend servers; 0 is none.
	prefix uint64
	// attach serves a retry from the running attempt of the same request and
	// returns whether it did; nil when that is impossible.
	attach func(context.Context, ledger.Reservation) bool
	// repeatable is false when the request may run once only.
	repeatable bool
}

// begin starts the root span and counts the request; call the function that
// it returns at the end.
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

// accept authenticates the caller and reads the bounded body.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*request, *Refusal) {
	document := s.Watcher.Active().Document
	if document == nil {
		return nil, notRun(http.StatusServiceUnavailable, codeNoConfig, "the instance has no configuration yet", retrySoon)
	}
	limit := document.Limits.RequestsRunning
	if limit == 0 {
		limit = defaultRequestsRunning
	}
	if s.running.Load() > int64(limit) {
		return nil, notRun(http.StatusServiceUnavailable, codeNoCapacity, "too many requests in progress at this instance", retrySoon)
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
	body, refusal := readBody(w, r, document)
	if refusal != nil {
		return nil, refusal
	}
	return &request{workspace: workspace, document: document, key: idempotencyKey, body: body}, nil
}

func readBody(w http.ResponseWriter, r *http.Request, document *config.Document) ([]byte, *Refusal) {
	limit := document.Limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(http.StatusRequestEntityTooLarge, codeTooLarge, "the body is larger than the limit", 0)
	}
	if err != nil {
		return nil, notRun(http.StatusBadRequest, codeBadRequest, "the body broke off", 0)
	}
	return body, nil
}

// resolveRoute finds the work of a public name and checks that the workspace may
// use it.
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
