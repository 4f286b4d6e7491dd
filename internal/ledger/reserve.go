package ledger

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// awaitTimeout bounds one Await.
const awaitTimeout = 5 * time.Second

// reserveResult is the result of one try to reserve under the ledger's lock.
type reserveResult struct {
	reservation Reservation
	// synced answers once all that the answer tells is durable.
	synced <-chan error
	// insufficient tells that a draw might help.
	insufficient bool
	// conflictCheck is set while other ledgers are asked about the key.
	conflictCheck *conflictCheck
}

// Reserve sets the worst case of a request aside, or tells what is known of
// the request already. A resend by the same attempt gets the same answer. An
// error that wraps peer.ErrUnavailable means that the caller must give the
// attempt up.
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

// reserveTokens reserves out of the escrow and, for a shared key, opens the contest in
// the same step, so that no other ledger sees the one without the other.
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

// resultFromState answers from the state; the caller holds mu.
func (l *Ledger) resultFromState(reservation Reservation) reserveResult {
	return reserveResult{reservation: reservation, synced: l.journal.Barrier()}
}

// reservationFrom answers for a request that the ledger has a record of.
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

// Await waits for a bounded time until the request of another attempt has
// ended and tells what is known then.
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

// attemptEnded returns a channel that is closed at the end of an open record's
// attempt, or nil.
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
