package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
	"github.com/cactusbay/cactusbay/internal/reach"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// inFlightEvents is the number of events that are billed in addition when a
	// stream breaks off, because the server may have sent more events than were
	// forwarded.
	inFlightEvents = 4
	// reserveTimeout limits how long a request waits for tokens. It covers
	// several commits of the control group, but not an election.
	reserveTimeout = 400 * time.Millisecond
)

// Server is the HTTP handler for callers. It routes requests, reserves their
// tokens and forwards them to backend servers. Its exported fields must be set
// before the first request; only Peers, Streams, Overload, HasDescriptors, Memory,
// ListAge, ListFollowedFor, AwaitList and AwaitConfiguration may be nil.
type Server struct {
	Translator Translator
	Upstream   *upstream.Client
	Fleet      *place.Fleet
	Holder     *escrow.Holder
	Retries    *retry.Budget
	// Quarantine knows the prompt segments and the requests under which servers crash.
	Quarantine quarantine.Registry
	// Peers knows which other entries reach the servers of an upstream; nil knows of none.
	Peers reach.Peers
	// Streams knows where streams began; nil knows of none.
	Streams StreamOrigins
	// Overload refuses requests while the entry is overloaded; nil refuses none.
	Overload *overload.Controller
	// HasDescriptors reports whether enough file descriptors are free for another request;
	// nil refuses no request for want of them.
	HasDescriptors func() bool
	// Memory bounds the request bodies that the entry holds; nil bounds none.
	Memory *memory.Account
	// BoundsResponses makes whole responses wait for Memory too. Otherwise those above 64 KB
	// share a budget of Upstream, and fail beyond it.
	BoundsResponses bool
	// ListAge returns the age of the list of backend servers. If it is nil, the
	// age is logged as 0.
	ListAge func() time.Duration
	// ListFollowedFor returns how long the list of backend servers has been followed
	// without a gap. If it is nil, no stream of unknown origin goes on.
	ListFollowedFor func() time.Duration
	// AwaitList waits until the list of backend servers is known to have been current
	// at the given time or later, and reports whether it is before ctx ends. If it is
	// nil, no stream of unknown origin goes on.
	AwaitList func(ctx context.Context, at time.Time) bool
	// AwaitConfiguration waits until the configuration in force is known to have been the
	// newest at the time of the call or later, and reports whether it is before ctx ends.
	// If it is nil, the configuration counts as the newest.
	AwaitConfiguration func(ctx context.Context) bool
	// Entries returns the number of entries that share the fleet's retry budget.
	Entries       func() int
	FailureDomain string
	// Region is the region of this entry; empty if it is unknown.
	Region string
	Log    *log.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	table   atomic.Pointer[Table]
	routes  routeHistory
	running atomic.Int64
	// crashChecks tells whether servers that closed connections have ended.
	crashChecks crashChecks
	drain       drain.Drain
}

// Install replaces the configuration for new requests and draws tokens for the
// workspaces with budgets. Requests in progress keep the previous one.
func (s *Server) Install(version uint64, document *config.Document) {
	s.applyEvacuations(version, document)
	table := NewTable(version, document)
	s.Fleet.SetUpstreams(table.policies)
	s.routes.install(&s.table, table, time.Now())
	s.Holder.Prepare(table.budgetedWorkspaces())
}

// Table returns the current configuration, or nil before the first Install.
func (s *Server) Table() *Table {
	return s.table.Load()
}

// Running returns the number of requests in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// Drain starts the shutdown: every further response closes its connection, requests that
// plan refuses get a 503, and those in progress at its end are interrupted.
func (s *Server) Drain(plan drain.Plan) {
	s.drain.Begin(plan)
}

// HealthPath returns the path of the health check of an upstream's servers, or an empty
// string.
func (s *Server) HealthPath(upstream string) string {
	table := s.table.Load()
	if table == nil {
		return ""
	}
	return table.healthPaths[upstream]
}

// listAge returns the age of the list of backend servers, or 0 if it is unknown.
func (s *Server) listAge() time.Duration {
	if s.ListAge == nil {
		return 0
	}
	return s.ListAge()
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to
// close the caller's connection if the response has started and can't be
// completed, or if the caller has disconnected.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, false)
}

// serve serves a request of a caller, or one that another entry has passed on if relayed is
// set.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, relayed bool) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.drain.Plan() != nil {
		w.Header().Set("Connection", "close")
	}
	t := &task{server: s, w: w, start: time.Now(), relayed: relayed}
	defer func() { t.bodyMemory.Release() }()
	refused := t.admit(r)
	if refused == nil {
		refused = t.run(r.Context())
	}
	refused = s.attributeEnd(refused)
	t.settle()
	t.report(refused)
	if refused == nil {
		return
	}
	if t.responseStarted || refused.status == 0 {
		abortResponse(w, r)
	}
	refused.write(w)
}

// attributeEnd names the end of the shutdown as the reason if that has closed the caller's
// connection. Without it, the caller would seem to have left.
func (s *Server) attributeEnd(refused *refusal) *refusal {
	if refused == nil || refused.reason != reasonCallerLeft || !s.drain.Plan().HasEnded(time.Now()) {
		return refused
	}
	return &refusal{reason: reasonInterrupted}
}

// admit decodes a request, finds its route and workspace, and reads its body.
func (t *task) admit(r *http.Request) *refusal {
	t.table = t.server.table.Load()
	if t.table == nil {
		return serviceUnavailable(reasonNoConfiguration, retryAfterLater)
	}
	request, err := t.server.Translator.Request(r)
	if err != nil {
		t.server.Log.Debug("malformed request", "err", err.Error())
		return &refusal{reason: reasonMalformed, status: http.StatusBadRequest}
	}
	t.request = request
	refused := t.resolve(r)
	if refused != nil {
		return refused
	}
	refused = t.refuseForLoad(r)
	if refused != nil {
		return refused
	}
	refused = t.readBody(r)
	if refused == nil && t.server.drain.Plan().Refuses(time.Now(), t.deadline) {
		return serviceUnavailable(reasonLeaving, retryAfterOtherEntry)
	}
	return refused
}

// resolve finds the route and the workspace of a decoded request, and what depends on them.
func (t *task) resolve(r *http.Request) *refusal {
	t.route = t.table.Route(t.request.Host, t.request.Path)
	if t.route == nil {
		return &refusal{reason: reasonNoRoute, status: http.StatusNotFound}
	}
	t.workspace = t.table.Workspace(t.request.Key)
	if t.workspace == nil && t.table.requiresKeys && !t.route.Public {
		return &refusal{reason: reasonUnknownKey, status: http.StatusUnauthorized}
	}
	t.regions = t.route.regions(t.workspace)
	t.caller = t.callerOf(r)
	t.deadline = t.start.Add(t.timeout())
	return nil
}

// timeout returns how long the request may take: the route's timeout, or the
// caller's if that is shorter.
func (t *task) timeout() time.Duration {
	if t.request.CallerTimeout > 0 {
		return min(t.request.CallerTimeout, t.route.Timeout)
	}
	return t.route.Timeout
}

// run makes attempts until the response is delivered or no
// further attempt is allowed.
func (t *task) run(callerCtx context.Context) *refusal {
	ctx, release := t.server.drain.Context(callerCtx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	defer cancel()
	ctx, span := t.server.Tracer.Start(ctx, "forward", trace.WithAttributes(attribute.String("route", t.route.Name)))
	defer span.End()
	t.callerCtx = callerCtx
	t.upstream = t.route.Upstream()
	refused := t.refuseQuarantined()
	if refused != nil {
		return refused
	}
	defer t.abandonNext()
	for {
		refused, shouldRetry := t.attempt(ctx)
		if !shouldRetry {
			return refused
		}
	}
}

// prepare resolves the origin of a resumed stream, reserves the tokens and counts the request
// once, before its first attempt at a server.
func (t *task) prepare(ctx context.Context) *refusal {
	if t.prepared {
		return nil
	}
	refused := t.resolveOrigin(ctx)
	if refused != nil {
		return refused
	}
	refused = t.reserve(ctx)
	if refused != nil {
		return refused
	}
	t.prepared = true
	t.server.Retries.CountRequest(t.upstream, time.Now())
	return nil
}

// reserve sets aside the tokens of a request to a model engine if its workspace
// has a budget.
func (t *task) reserve(ctx context.Context) *refusal {
	tokens, needed := t.neededTokens()
	if !needed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := t.server.Holder.Reserve(ctx, t.workspace.Name, tokens)
	if err != nil {
		return tokenRefusal(err)
	}
	t.reservation = reservation
	return nil
}

// neededTokens returns how many tokens the request reserves, if it reserves any.
func (t *task) neededTokens() (tokens int64, needed bool) {
	prompt := t.request.Prompt
	if prompt == nil || t.workspace == nil || !t.workspace.Budgeted {
		return 0, false
	}
	return prompt.Tokens + prompt.Output, true
}

// tokenRefusal returns the refusal of a request whose reservation has failed.
func tokenRefusal(err error) *refusal {
	switch {
	case errors.Is(err, escrow.ErrExhausted):
		return &refusal{reason: reasonBudgetExhausted, status: http.StatusPaymentRequired}
	case errors.Is(err, escrow.ErrReserved):
		return serviceUnavailable(reasonBudgetReserved, retryAfterReserved)
	default:
		return serviceUnavailable(reasonNoTokens, retryAfterOtherEntry)
	}
}

// settle ends the reservation. If a server may have run the request, it bills the
// prompt and the delivered events, and inFlightEvents more if the response is
// incomplete.
func (t *task) settle() {
	if t.reservation == nil {
		return
	}
	var used int64
	if t.mayHaveRun || t.responseStarted {
		events := t.events
		if !t.responseComplete {
			events += inFlightEvents
		}
		used = t.request.Prompt.Tokens + events*max(1, t.route.EventTokens)
	}
	t.reservation.Settle(used)
}
