package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/ledger"
)

const (
	ledgerTimeout = 3 * time.Second
	// endTimeout bounds the first try to settle, release or abandon.
	endTimeout = time.Second
	awaitPause = 100 * time.Millisecond
	// maxKeptAnswerBytes bounds an answer that is kept for retries.
	maxKeptAnswerBytes = 256 << 10
)

// run is one attempt of a request: a place at a backend server, a reservation
// and, for a non-repeatable request, a claim.
type run struct {
	server   *Server
	accepted *accepted
	key      string
	attempt  string
	lease    *backend.Lease
	held     ledger.LocatedReservation
	claimed  bool
	// dispatched is set before the first byte may leave.
	dispatched bool
	tokens     int64
}

// start acquires what a dispatch needs. It returns a kept answer instead when
// the request ran before, and nothing when the caller was served from a running
// attempt.
func (s *Server) start(ctx context.Context, a *accepted, tokens int64, tried map[string]bool) (*run, *ledger.Response, *Refusal) {
	r := &run{server: s, accepted: a, key: a.key, attempt: rand.Text(), tokens: tokens}
	if r.key == "" {
		r.key = "entry-" + r.attempt
	}
	for {
		kept, refusal := r.take(ctx, tried)
		if r.isWaiting(kept, refusal) {
			if a.attach != nil && a.attach(ctx, r.held.Reservation) {
				return nil, nil, nil
			}
			kept, refusal = r.await(ctx)
			if kept == nil && refusal == nil {
				continue
			}
		}
		if kept != nil || refusal != nil {
			return nil, kept, refusal
		}
		refusal = r.claim(ctx)
		if refusal != nil {
			r.release(ctx)
			r.lease.Release()
			return nil, nil, refusal
		}
		return r, nil, nil
	}
}

// take acquires a place at a backend server and the reservation for it.
func (r *run) take(ctx context.Context, tried map[string]bool) (*ledger.Response, *Refusal) {
	queueCtx, span := r.span(ctx, "queue")
	lease, busy := r.server.acquire(queueCtx, r.accepted, r.tokens, tried)
	span.End()
	if busy != nil {
		return nil, noCapacity(busy)
	}
	r.lease = lease
	kept, refusal := r.reserve(ctx)
	if kept != nil || refusal != nil {
		lease.Release()
	}
	return kept, refusal
}

// isWaiting tells whether the request is running under another attempt.
func (r *run) isWaiting(kept *ledger.Response, refusal *Refusal) bool {
	return kept == nil && refusal != nil && refusal.Code == codeRunning
}

// await waits within the deadline for the running attempt of the same request
// and returns its kept answer. Both results are nil when that attempt was
// released, so that this one may run.
func (r *run) await(ctx context.Context) (*ledger.Response, *Refusal) {
	ctx, span := r.span(ctx, "await")
	defer span.End()
	for {
		reservation, err := r.server.Ledger.Await(ctx, r.held.Address, r.accepted.workspace, r.key)
		if err == nil && reservation.Outcome == ledger.OutcomeReleased {
			r.attempt = rand.Text()
			return nil, nil
		}
		if err == nil && reservation.Outcome != ledger.OutcomeRunning {
			return reservationAnswer(reservation)
		}
		if err != nil {
			r.log().Debug("wait for the running attempt failed; retrying", "err", err.Error())
		}
		select {
		case <-time.After(awaitPause):
		case <-ctx.Done():
			return reservationAnswer(ledger.Reservation{Outcome: ledger.OutcomeRunning})
		}
	}
}

// acquire takes a place at a backend server that was not tried.
func (s *Server) acquire(ctx context.Context, a *accepted, tokens int64, tried map[string]bool) (*backend.Lease, *backend.Busy) {
	return s.Pool.Acquire(ctx, backend.Ask{
		Document:  a.document,
		Workspace: a.workspace,
		WorkName:  a.workName,
		Prefix:    a.prefix,
		Cost:      tokens,
		Tried:     tried,
	})
}

func noCapacity(busy *backend.Busy) *Refusal {
	return notRun(http.StatusServiceUnavailable, codeNoCapacity, "no backend server can run the request before its deadline", max(retrySoon, busy.RetryAfter))
}

func (r *run) reserve(ctx context.Context) (*ledger.Response, *Refusal) {
	ctx, span := r.span(ctx, "reserve")
	defer span.End()
	within := ledgerTimeout
	deadline, found := ctx.Deadline()
	if found {
		within = time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	held, err := r.server.Ledger.Reserve(ctx, ledger.Reserve{
		Workspace:            r.accepted.workspace,
		Key:                  r.key,
		BodyHash:             r.accepted.bodyHash(),
		Tokens:               r.tokens,
		Attempt:              r.attempt,
		Server:               r.lease.Name,
		Entry:                r.server.Instance,
		Repeatable:           r.accepted.repeatable,
		SharedKey:            r.accepted.key != "",
		DispatchWindowMillis: within.Milliseconds(),
	})
	if err != nil {
		r.log().Warn("no ledger answered", "err", err.Error())
		return nil, notRun(http.StatusServiceUnavailable, codeNoLedger, "no ledger can be reached", retrySoon)
	}
	r.held = held
	if held.Outcome == ledger.OutcomeReserved {
		r.attempt = held.Attempt
	}
	return reservationAnswer(held.Reservation)
}

// reservationAnswer maps what the ledger knows to a final answer; both are nil
// when the reservation is held.
func reservationAnswer(reservation ledger.Reservation) (*ledger.Response, *Refusal) {
	switch reservation.Outcome {
	case ledger.OutcomeReserved:
		return nil, nil
	case ledger.OutcomeSettled:
		if reservation.Response.Status == 0 {
			return nil, &Refusal{Status: http.StatusConflict, Code: codeAnswerNotKept, Message: "the request ran and was billed, but its answer was not kept"}
		}
		return &reservation.Response, nil
	case ledger.OutcomeRunning:
		return nil, &Refusal{Status: http.StatusConflict, Code: codeRunning, Message: "the request is still running", RetryAfter: retrySoon}
	case ledger.OutcomeMismatch:
		return nil, notRun(http.StatusUnprocessableEntity, codeKeyReused, "the Idempotency-Key was used with another request", 0)
	case ledger.OutcomeInsufficient:
		return nil, notRun(http.StatusTooManyRequests, codeOverBudget, "the workspace's budget cannot cover the request's worst case", retryLater)
	default:
		return nil, unknownOutcome()
	}
}

// claim takes the only run of a non-repeatable request.
func (r *run) claim(ctx context.Context) *Refusal {
	if r.accepted.repeatable {
		return nil
	}
	ctx, span := r.span(ctx, "claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	result, err := r.server.Claimer.Claim(ctx, group.Claim{
		Workspace: r.accepted.workspace,
		Key:       r.key,
		BodyHash:  r.accepted.bodyHash(),
		Holder:    r.attempt,
	})
	if err != nil {
		r.abandon(ctx)
		return notRun(http.StatusServiceUnavailable, codeNoClaim, "a request that may run once only needs the control group, which cannot be reached", retryLater)
	}
	switch result.Code {
	case group.CodeDone:
		r.claimed = true
		return nil
	case group.CodeIDReused:
		return notRun(http.StatusUnprocessableEntity, codeKeyReused, "the Idempotency-Key was used with another request", 0)
	default:
		return unknownOutcome()
	}
}

// mark notes that the first byte may leave from now on. It refuses to dispatch
// a request that may run once only without its claim, or a second time.
func (r *run) mark() error {
	once := r.accepted.repeatable || (r.claimed && !r.dispatched)
	err := r.server.Check.Check(once, invariant.NonRepeatableDispatchedOnce, "attempt %s: claimed %t, dispatched %t", r.attempt, r.claimed, r.dispatched)
	if err != nil {
		return errors.Newf("dispatch: %w", err)
	}
	r.dispatched = true
	return nil
}

// abandon gives up a claim after which nothing was dispatched.
func (r *run) abandon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	abandoned := group.AbandonClaim{Workspace: r.accepted.workspace, Key: r.key, Holder: r.attempt}
	err := r.server.Claimer.Abandon(ctx, abandoned)
	if err != nil {
		r.log().Warn("claim was not abandoned; trying again in the background", "err", err.Error())
		r.server.Outbox.add(pendingAbandon{abandon: abandoned})
	}
}

// release gives the reservation back; nothing was dispatched.
func (r *run) release(ctx context.Context) {
	_ = r.server.Check.Check(!r.dispatched, invariant.NotRunWithoutDispatch, "attempt %s was dispatched", r.attempt)
	if r.claimed {
		r.abandon(ctx)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	release := ledger.Release{Workspace: r.accepted.workspace, Key: r.key, Attempt: r.attempt}
	err := r.server.Ledger.Release(ctx, r.held.Address, release)
	if err != nil && !ledger.IsPermanent(err) {
		r.log().Warn("reservation was not released; trying again in the background", "err", err.Error())
		r.server.Outbox.GiveUp(r.held.Address, release)
	}
}

// settle bills the tokens. A bill that the ledger does not take in time is
// kept and sent again in the background: the reservation covers it until then.
// The error is final: the ledger holds no reservation for the attempt.
func (r *run) settle(ctx context.Context, tokens int64, answer ledger.Response) error {
	ctx, span := r.span(ctx, "settle")
	defer span.End()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if len(answer.Body) > maxKeptAnswerBytes {
		answer = ledger.Response{}
	}
	settle := ledger.Settle{
		Workspace: r.accepted.workspace,
		Key:       r.key,
		Attempt:   r.attempt,
		Tokens:    min(tokens, r.tokens),
		Response:  answer,
	}
	err := r.server.Ledger.Settle(ctx, r.held.Address, settle)
	if ledger.IsPermanent(err) {
		r.log().Error("settlement was refused", "err", err.Error())
		return errors.Newf("settle: %w", err)
	}
	if err != nil {
		r.log().Warn("settlement was not confirmed; trying again in the background", "err", err.Error())
		r.server.Outbox.add(pendingSettle{address: r.held.Address, settle: settle})
	}
	r.server.Scope.Tagged(map[string]string{"workspace": r.accepted.workspace}).Counter("billed_tokens").Inc(settle.Tokens)
	return nil
}

// refuse gives everything back after a backend server did not run the request.
func (r *run) refuse(ctx context.Context, err error) *Refusal {
	r.lease.Result.Failed = errors.Is(err, backend.ErrNotSent)
	r.lease.Result.Refused = !r.lease.Result.Failed
	r.dispatched = false
	r.release(ctx)
	return notRun(http.StatusServiceUnavailable, codeBackendRefused, "the backend server refused the request", retrySoon)
}

// log returns a logger that names the request.
func (r *run) log() *log.Logger {
	return r.server.Log.With("request_id", r.attempt, "workspace", r.accepted.workspace)
}

func (r *run) span(ctx context.Context, name string) (context.Context, trace.Span) {
	return r.server.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("cactusbay.workspace", r.accepted.workspace),
		attribute.String("cactusbay.work", r.accepted.workName),
		attribute.String("cactusbay.attempt", r.attempt),
	))
}

func (a *accepted) bodyHash() []byte {
	sum := sha256.New()
	sum.Write([]byte(a.workName))
	sum.Write([]byte{0})
	sum.Write([]byte(a.target))
	sum.Write([]byte{0})
	sum.Write(a.body)
	return sum.Sum(nil)
}

// replayAnswer sends an answer that was kept from an earlier attempt.
func replayAnswer(w http.ResponseWriter, answer ledger.Response) {
	w.Header().Set(ReplayedHeader, "true")
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, answer ledger.Response) {
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
