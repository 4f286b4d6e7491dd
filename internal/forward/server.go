package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// defaultBodyBytes bounds a body when the configuration names no bound.
	defaultBodyBytes = 4 << 20
	// eventsUnderWay are the events that a server may have sent beyond those
	// that were passed on before a stream broke off.
	eventsUnderWay = 4
	// reserveWait is how long a request waits for tokens: some commits of the
	// control group, but no election.
	reserveWait = 400 * time.Millisecond
)

// Server serves callers.
type Server struct {
	Translator Translator
	Upstream   *upstream.Client
	Fleet      *place.Fleet
	Holder     *escrow.Holder
	Retries    *retry.Budget
	// ListAge returns the age of the list of backend servers; nil means unknown.
	ListAge func() time.Duration
	// Entries returns how many entries share the fleet's retry budget.
	Entries       func() int
	FailureDomain string
	Log           *log.Logger
	Scope         tally.Scope
	Tracer        trace.Tracer

	table   atomic.Pointer[Table]
	running atomic.Int64
	// drain is set once the instance is about to end.
	drain atomic.Pointer[Drain]
}

// Install puts a configuration in force.
func (s *Server) Install(version uint64, document *config.Document) {
	table := NewTable(version, document)
	s.table.Store(table)
	s.Holder.Prepare(table.budgeted())
}

// Table returns the configuration in force, or nil.
func (s *Server) Table() *Table {
	return s.table.Load()
}

// Running returns the number of requests in progress.
func (s *Server) Running() int64 {
	return s.running.Load()
}

// Drain is the end of an instance.
type Drain struct {
	// Accept is until when new connections come.
	Accept time.Time
	// End is when requests in progress are cut; zero means never.
	End time.Time
}

// refuses tells whether a request that came at now and may last until deadline
// would be cut. While new connections come, their callers cannot know better.
func (d *Drain) refuses(now, deadline time.Time) bool {
	return d != nil && !d.End.IsZero() && now.After(d.Accept) && deadline.After(d.End)
}

// Drain makes each further answer end its connection, and refuses requests on
// kept connections that may not end in time.
func (s *Server) Drain(d Drain) {
	s.drain.Store(&d)
}

func (s *Server) listAge() time.Duration {
	if s.ListAge == nil {
		return 0
	}
	return s.ListAge()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	t := &task{server: s, w: w, start: time.Now()}
	refused := t.admit(r)
	if refused == nil {
		refused = t.run(r.Context())
	}
	t.settle()
	t.report(refused)
	if refused == nil {
		return
	}
	if t.begun || refused.status == 0 {
		panic(http.ErrAbortHandler)
	}
	refused.write(w)
}

// admit decodes a request and finds its route and workspace.
func (t *task) admit(r *http.Request) *refusal {
	t.table = t.server.table.Load()
	if t.table == nil {
		return notRun(reasonNoConfiguration, retryLater)
	}
	request, err := t.server.Translator.Request(r)
	if err != nil {
		t.server.Log.Debug("malformed request", "err", err.Error())
		return &refusal{reason: reasonMalformed, status: http.StatusBadRequest}
	}
	t.request = request
	t.route = t.table.Route(request.Host, request.Path)
	if t.route == nil {
		return &refusal{reason: reasonNoRoute, status: http.StatusNotFound}
	}
	t.workspace = t.table.Workspace(request.Key)
	if t.workspace == nil && t.table.keyed && !t.route.Public {
		return &refusal{reason: reasonUnknownKey, status: http.StatusUnauthorized}
	}
	t.deadline = t.start.Add(t.patience())
	refused := t.readBody(r)
	if refused == nil && t.server.drain.Load().refuses(t.start, t.deadline) {
		return notRun(reasonLeaving, retryElsewhere)
	}
	return refused
}

// patience returns how long the answer may take.
func (t *task) patience() time.Duration {
	if t.request.Patience > 0 {
		return min(t.request.Patience, t.route.Timeout)
	}
	return t.route.Timeout
}

func (t *task) readBody(r *http.Request) *refusal {
	limit := t.table.Limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return &refusal{reason: reasonTooLarge, status: http.StatusRequestEntityTooLarge}
	}
	if r.ContentLength > 0 {
		t.request.Body = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, t.request.Body)
		return bodyRefusal(err)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if int64(len(body)) > limit {
		return &refusal{reason: reasonTooLarge, status: http.StatusRequestEntityTooLarge}
	}
	t.request.Body = body
	return bodyRefusal(err)
}

// bodyRefusal ends a request whose body did not arrive: the caller left.
func bodyRefusal(err error) *refusal {
	if err == nil {
		return nil
	}
	return &refusal{reason: reasonCallerLeft}
}

// run reserves tokens and sends the request until it has an answer.
func (t *task) run(parent context.Context) *refusal {
	ctx, cancel := context.WithDeadline(parent, t.deadline)
	defer cancel()
	ctx, span := t.server.Tracer.Start(ctx, "forward", trace.WithAttributes(attribute.String("route", t.route.Name)))
	defer span.End()
	t.parent = parent
	refused := t.reserve(ctx)
	if refused != nil {
		return refused
	}
	t.upstream = t.route.Upstream()
	t.server.Retries.CountRequest(t.upstream, time.Now())
	for {
		refused, again := t.attempt(ctx)
		if !again {
			return refused
		}
	}
}

func (t *task) reserve(ctx context.Context) *refusal {
	prompt := t.request.Prompt
	if prompt == nil || t.workspace == nil || !t.workspace.Budgeted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	hold, err := t.server.Holder.Reserve(ctx, t.workspace.Name, prompt.Tokens+prompt.Output)
	switch {
	case err == nil:
		t.hold = hold
		return nil
	case errors.Is(err, escrow.ErrExhausted):
		return &refusal{reason: reasonBudget, status: http.StatusPaymentRequired}
	case errors.Is(err, escrow.ErrReserved):
		return notRun(reasonReserved, retryReserved)
	default:
		return notRun(reasonNoTokens, retryElsewhere)
	}
}

// settle bills the prompt when it may have been read, and what was delivered.
func (t *task) settle() {
	if t.hold == nil {
		return
	}
	var spent int64
	if t.mayHaveRun || t.begun {
		events := t.events
		if !t.complete {
			events += eventsUnderWay
		}
		spent = t.request.Prompt.Tokens + events*max(1, t.route.EventTokens)
	}
	t.hold.Settle(spent)
}
