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
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	ledgerTimeout = 3 * time.Second
	// finishTimeout bounds the first request that settles, releases or abandons an
	// attempt; the outbox sends the retries.
	finishTimeout = time.Second
	awaitPause    = 100 * time.Millisecond
	// maxStoredResponseBytes bounds a response that is stored for retries.
	maxStoredResponseBytes = 256 << 10
)

// attempt is one attempt of a request: a lease of a backend server, a reservation
// at a ledger and, for a non-repeatable request, a claim at the control group.
type attempt struct {
	server  *Server
	request *request
	// key identifies the request at ledgers and the control group: the idempotency
	// key, or a generated one.
	key         string
	id          string
	lease       *backend.Lease
	reservation ledger.LocatedReservation
	claimed     bool
	// dispatched is set before any byte is sent to a backend server.
	dispatched bool
	// tokens is the request's worst case, which is reserved.
	tokens int64
}

// startAttempt acquires a lease, a reservation and, if needed, a claim. It returns
// the stored response instead if the request ran before, or a refusal. All
// results are nil if the caller was served from a running attempt.
func (s *Server) startAttempt(ctx context.Context, req *request, tokens int64, tried map[string]bool) (*attempt, *ledger.Response, *Refusal) {
	a := &attempt{server: s, request: req, key: req.key, id: rand.Text(), tokens: tokens}
	if a.key == "" {
		a.key = "entry-" + a.id
	}
	for {
		stored, refusal := a.acquireAndReserve(ctx, tried)
		if a.isRunningElsewhere(stored, refusal) {
			if req.attach != nil && req.attach(ctx, a.reservation.Reservation) {
				return nil, nil, nil
			}
			stored, refusal = a.awaitRunning(ctx)
			if stored == nil && refusal == nil {
				continue
			}
		}
		if stored != nil || refusal != nil {
			return nil, stored, refusal
		}
		refusal = a.claim(ctx)
		if refusal != nil {
			a.release(ctx)
			a.lease.Release()
			return nil, nil, refusal
		}
		return a, nil, nil
	}
}

// acquireAndReserve acquires a lease of a backend server and then reserves the
// request's tokens. It releases the lease if there is no reservation.
func (a *attempt) acquireAndReserve(ctx context.Context, tried map[string]bool) (*ledger.Response, *Refusal) {
	queueCtx, span := a.span(ctx, "queue")
	lease, busy := a.server.acquire(queueCtx, a.request, a.tokens, tried)
	span.End()
	if busy != nil {
		return nil, noCapacity(busy)
	}
	a.lease = lease
	stored, refusal := a.reserve(ctx)
	if stored != nil || refusal != nil {
		lease.Release()
	}
	return stored, refusal
}

// isRunningElsewhere reports whether another attempt of the request is running.
func (a *attempt) isRunningElsewhere(stored *ledger.Response, refusal *Refusal) bool {
	return stored == nil && refusal != nil && refusal.Code == codeRunning
}

// awaitRunning waits for the running attempt of the same request until the
// deadline of ctx and returns its stored response or a refusal. Both are nil if
// that attempt was released, so that this one may run.
func (a *attempt) awaitRunning(ctx context.Context) (*ledger.Response, *Refusal) {
	ctx, span := a.span(ctx, "await")
	defer span.End()
	for {
		awaited, err := a.server.Ledger.Await(ctx, a.reservation.Address, a.request.workspace, a.key)
		if err == nil && awaited.Outcome == ledger.OutcomeReleased {
			a.id = rand.Text()
			return nil, nil
		}
		if err == nil && awaited.Outcome != ledger.OutcomeRunning {
			return reservationResult(awaited)
		}
		if err != nil {
			a.log().Debug("wait for the running attempt failed, retrying", "err", err.Error())
		}
		select {
		case <-time.After(awaitPause):
		case <-ctx.Done():
			return reservationResult(ledger.Reservation{Outcome: ledger.OutcomeRunning})
		}
	}
}

// acquire returns a lease of a backend server that is not in tried.
func (s *Server) acquire(ctx context.Context, req *request, tokens int64, tried map[string]bool) (*backend.Lease, *backend.Busy) {
	return s.Pool.Acquire(ctx, backend.PlacementRequest{
		Document:  req.document,
		Workspace: req.workspace,
		WorkName:  req.workName,
		Prompt:    req.prompt,
		Cost:      tokens,
		Tried:     tried,
	})
}

// noCapacity returns the refusal for a request that no backend server can take.
func noCapacity(busy *backend.Busy) *Refusal {
	return notRun(http.StatusServiceUnavailable, codeNoCapacity, "no backend server can run the request before its deadline", max(retrySoon, busy.RetryAfter))
}

// reserve reserves the request's worst case at a ledger. Both results are nil if
// the attempt holds the reservation.
func (a *attempt) reserve(ctx context.Context) (*ledger.Response, *Refusal) {
	ctx, span := a.span(ctx, "reserve")
	defer span.End()
	within := ledgerTimeout
	deadline, found := ctx.Deadline()
	if found {
		within = time.Until(deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	reservation, err := a.server.Ledger.Reserve(ctx, ledger.Reserve{
		Workspace:            a.request.workspace,
		Key:                  a.key,
		BodyHash:             a.request.bodyHash(),
		Tokens:               a.tokens,
		Attempt:              a.id,
		Server:               a.lease.Name,
		Entry:                a.server.Instance,
		Repeatable:           a.request.repeatable,
		SharedKey:            a.request.key != "",
		DispatchWindowMillis: within.Milliseconds(),
	})
	if err != nil {
		a.log().Warn("reservation failed at every ledger", "err", err.Error())
		return nil, notRun(http.StatusServiceUnavailable, codeNoLedger, "no ledger can be reached", retrySoon)
	}
	a.reservation = reservation
	if reservation.Outcome == ledger.OutcomeReserved {
		a.id = reservation.Attempt
	}
	return reservationResult(reservation.Reservation)
}

// reservationResult maps a ledger's reservation to a stored response or a refusal;
// both are nil if the attempt holds the reservation.
func reservationResult(reservation ledger.Reservation) (*ledger.Response, *Refusal) {
	switch reservation.Outcome {
	case ledger.OutcomeReserved:
		return nil, nil
	case ledger.OutcomeSettled:
		if reservation.Response.Status == 0 {
			return nil, &Refusal{Status: http.StatusConflict, Code: codeResponseNotStored, Message: "the request ran and was billed, but its answer was not kept"}
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

// claim registers the attempt with the control group as the only one that may run
// a non-repeatable request.
func (a *attempt) claim(ctx context.Context) *Refusal {
	if a.request.repeatable {
		return nil
	}
	ctx, span := a.span(ctx, "claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	result, err := a.server.Claimer.Claim(ctx, group.Claim{
		Workspace: a.request.workspace,
		Key:       a.key,
		BodyHash:  a.request.bodyHash(),
		Holder:    a.id,
	})
	if err != nil {
		a.abandon(ctx)
		return notRun(http.StatusServiceUnavailable, codeNoClaim, "a request that may run once only needs the control group, which cannot be reached", retryLater)
	}
	switch result.Code {
	case group.CodeDone:
		a.claimed = true
		return nil
	case group.CodeIDReused:
		return notRun(http.StatusUnprocessableEntity, codeKeyReused, "the Idempotency-Key was used with another request", 0)
	default:
		return unknownOutcome()
	}
}

// markDispatched records that the request may reach a backend server from now on.
// It returns an error if a non-repeatable request has no claim or was dispatched
// before.
func (a *attempt) markDispatched() error {
	allowed := a.request.repeatable || (a.claimed && !a.dispatched)
	err := a.server.Check.Check(allowed, invariant.NonRepeatableDispatchedOnce, "attempt %s: claimed %t, dispatched %t", a.id, a.claimed, a.dispatched)
	if err != nil {
		return errors.Newf("dispatch: %w", err)
	}
	a.dispatched = true
	return nil
}

// abandon gives up a claim under which nothing was dispatched.
func (a *attempt) abandon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	abandoned := group.AbandonClaim{Workspace: a.request.workspace, Key: a.key, Holder: a.id}
	err := a.server.Claimer.Abandon(ctx, abandoned)
	if err != nil {
		a.log().Warn("abandoning the claim failed, retrying in the background", "err", err.Error())
		a.server.Outbox.enqueue(pendingAbandon{abandon: abandoned})
	}
}

// release releases the reservation and the claim of an attempt that was not
// dispatched.
func (a *attempt) release(ctx context.Context) {
	_ = a.server.Check.Check(!a.dispatched, invariant.NotRunWithoutDispatch, "released attempt %s was dispatched", a.id)
	if a.claimed {
		a.abandon(ctx)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	release := ledger.Release{Workspace: a.request.workspace, Key: a.key, Attempt: a.id}
	err := a.server.Ledger.Release(ctx, a.reservation.Address, release)
	if err != nil && !ledger.IsPermanent(err) {
		a.log().Warn("releasing the reservation failed, retrying in the background", "err", err.Error())
		a.server.Outbox.QueueRelease(a.reservation.Address, release)
	}
}

// settle bills tokens, at most the reserved ones, and stores response for retries.
// If the ledger does not confirm in time, the outbox resends the settlement, and
// the reservation covers it until then. An error is final: the ledger holds no
// reservation for the attempt.
func (a *attempt) settle(ctx context.Context, tokens int64, response ledger.Response) error {
	ctx, span := a.span(ctx, "settle")
	defer span.End()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if len(response.Body) > maxStoredResponseBytes {
		response = ledger.Response{}
	}
	settle := ledger.Settle{
		Workspace: a.request.workspace,
		Key:       a.key,
		Attempt:   a.id,
		Tokens:    min(tokens, a.tokens),
		Response:  response,
	}
	err := a.server.Ledger.Settle(ctx, a.reservation.Address, settle)
	if ledger.IsPermanent(err) {
		a.log().Error("ledger refused the settlement", "err", err.Error())
		return errors.Newf("settle: %w", err)
	}
	if err != nil {
		a.log().Warn("settlement was not confirmed, retrying in the background", "err", err.Error())
		a.server.Outbox.enqueue(pendingSettle{address: a.reservation.Address, settle: settle})
	}
	a.server.Scope.Tagged(map[string]string{"workspace": a.request.workspace}).Counter("billed_tokens").Inc(settle.Tokens)
	return nil
}

// refuse releases the reservation and the claim after a backend server did not run
// the request, and returns the refusal for the caller.
func (a *attempt) refuse(ctx context.Context, err error) *Refusal {
	a.lease.Result.Failed = upstream.IsNotSent(err)
	a.lease.Result.Refused = !a.lease.Result.Failed
	a.dispatched = false
	a.release(ctx)
	return notRun(http.StatusServiceUnavailable, codeBackendRefused, "the backend server refused the request", retrySoon)
}

// log returns a logger with the attempt's id and workspace.
func (a *attempt) log() *log.Logger {
	return a.server.Log.With("request_id", a.id, "workspace", a.request.workspace)
}

// span starts a trace span with the attempt's id, workspace and work.
func (a *attempt) span(ctx context.Context, name string) (context.Context, trace.Span) {
	return a.server.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("cactusbay.workspace", a.request.workspace),
		attribute.String("cactusbay.work", a.request.workName),
		attribute.String("cactusbay.attempt", a.id),
	))
}

// bodyHash returns a hash of the work, the target and the body. It identifies the
// request that an idempotency key was used with.
func (r *request) bodyHash() []byte {
	sum := sha256.New()
	sum.Write([]byte(r.workName))
	sum.Write([]byte{0})
	sum.Write([]byte(r.target))
	sum.Write([]byte{0})
	sum.Write(r.body)
	return sum.Sum(nil)
}

// replayResponse sends the stored response of an earlier attempt.
func replayResponse(w http.ResponseWriter, response ledger.Response) {
	w.Header().Set(ReplayedHeader, "true")
	writeResponse(w, response)
}

// writeResponse sends response to the caller.
func writeResponse(w http.ResponseWriter, response ledger.Response) {
	w.Header().Set("Content-Type", response.ContentType)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
