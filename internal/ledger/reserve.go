package ledger

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// awaitTimeout bounds one Await.
const awaitTimeout = 5 * time.Second

// reserveResult is the result of one call of tryReserve.
type reserveResult struct {
	reservation Reservation
	// synced receives nil once the state that reservation was read from is
	// durable, or an error.
	synced <-chan error
	// insufficient is set if too few tokens were available, so that a draw may
	// help.
	insufficient bool
	// conflictCheck is set while the other ledgers are queried about the key.
	conflictCheck *conflictCheck
}

// Reserve reserves r.Tokens, the most that a request may use, or reports what
// the ledger knows of the request already. Repeating the call with the same
// attempt returns the same result. If the error wraps peer.ErrUnavailable, the
// caller must release the attempt.
func (l *Ledger) Reserve(ctx context.Context, r Reserve) (Reservation, error) {
	result := l.reserveOrWait(ctx, r)
	err := markUnavailable(<-result.synced)
	if err != nil {
		return Reservation{}, errors.Newf("reserve: %w", err)
	}
	if result.conflictCheck != nil {
		return l.awaitConflictCheck(ctx, r, result.conflictCheck, result.reservation)
	}
	return result.reservation, nil
}

// tryReserve reserves tokens that are available at once, or reports what the
// ledger knows of the request already.
func (l *Ledger) tryReserve(r Reserve) reserveResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryTracker.observe(r.Entry, time.Now())
	id := recordID{workspace: r.Workspace, key: r.Key}
	old := l.state.records[id]
	_, abandoned := l.state.abandoned[r.Attempt]
	if abandoned || (old != nil && old.reserve.Attempt == r.Attempt && old.state == stateReleased) {
		return l.resultFromState(Reservation{Outcome: OutcomeReleased})
	}
	if old != nil && !bytes.Equal(old.reserve.BodyHash, r.BodyHash) {
		return l.resultFromState(Reservation{Outcome: OutcomeMismatch})
	}
	if old != nil && old.state == stateReserved && old.reserve.Attempt == r.Attempt {
		result := l.resultFromState(Reservation{Outcome: OutcomeReserved, Attempt: r.Attempt, Server: old.reserve.Server})
		result.conflictCheck = l.conflictChecks[id]
		return result
	}
	voidPrevious := old != nil && old.mayRepeat()
	if old != nil && old.state != stateReleased && !voidPrevious {
		return l.resultFromState(reservationFrom(old))
	}
	c := reserved{Reserve: r, At: nowMillis(), VoidPrevious: voidPrevious}
	available := l.state.account(r.Workspace).Available()
	if voidPrevious {
		available += old.billed
	}
	return l.reserveTokens(id, c, available)
}

// reserveTokens reserves out of the escrow. For a shared key it starts the
// conflict check in the same step, so that another ledger never sees a
// reservation without its check. The caller holds mu.
func (l *Ledger) reserveTokens(id recordID, c reserved, available int64) reserveResult {
	r := c.Reserve
	if available < r.Tokens {
		result := l.resultFromState(Reservation{Outcome: OutcomeInsufficient, Available: available})
		result.insufficient = true
		return result
	}
	result := reserveResult{reservation: Reservation{Outcome: OutcomeReserved, Attempt: r.Attempt, Server: r.Server}}
	result.synced = l.commit(c)
	record := l.state.records[id]
	if r.SharedKey && len(l.options.Peers) > 0 && record != nil && record.reserve.Attempt == r.Attempt {
		result.conflictCheck = l.startConflictCheck(id, record)
	}
	return result
}

// resultFromState returns a reservation that was read from the state. The
// caller holds mu.
func (l *Ledger) resultFromState(reservation Reservation) reserveResult {
	return reserveResult{reservation: reservation, synced: l.journal.Barrier()}
}

// reservationFrom returns the reservation that a new attempt of the recorded
// request gets.
func reservationFrom(record *requestRecord) Reservation {
	reservation := Reservation{Attempt: record.reserve.Attempt, Server: record.reserve.Server}
	switch {
	case record.mayRepeat():
		reservation.Outcome = OutcomeReleased
	case record.state == stateReserved || (record.state == stateUnknown && record.reserve.Repeatable):
		reservation.Outcome = OutcomeRunning
	case record.state == stateReleased:
		reservation.Outcome = OutcomeReleased
	case (record.state == stateSettled || record.state == stateVoided) && !record.resultUnknown:
		reservation.Outcome = OutcomeSettled
		reservation.Response = record.response
	default:
		reservation.Outcome = OutcomeUnknown
	}
	return reservation
}

// Await waits until the open attempt of a request has ended, for at most
// awaitTimeout, and returns the reservation as it is then.
func (l *Ledger) Await(ctx context.Context, workspace, key string) (Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	id := recordID{workspace: workspace, key: key}
	ended := l.attemptEnded(id)
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	reservation := Reservation{Outcome: OutcomeReleased}
	record := l.state.records[id]
	if record != nil {
		reservation = reservationFrom(record)
	}
	synced := l.journal.Barrier()
	l.mu.Unlock()
	err := markUnavailable(<-synced)
	if err != nil {
		return Reservation{}, errors.Newf("await: %w", err)
	}
	return reservation, nil
}

// attemptEnded returns a channel that is closed at the end of a request's open
// attempt, or nil if no attempt is open.
func (l *Ledger) attemptEnded(id recordID) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.state.open[id]
	if record == nil {
		return nil
	}
	if record.ended == nil {
		record.ended = make(chan struct{})
	}
	return record.ended
}
