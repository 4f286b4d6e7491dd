package ledger

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// awaitLimit bounds one Await.
const awaitLimit = 5 * time.Second

// attempted is the result of one try to reserve under the ledger's lock.
type attempted struct {
	answer Reservation
	// synced answers once all that the answer tells is durable.
	synced <-chan error
	// short tells that a draw might help.
	short bool
	// contest is set while other ledgers are asked about the key.
	contest *contest
}

// Reserve sets the worst case of a request aside, or tells what is known of
// the request already. A resend by the same attempt gets the same answer. An
// error that wraps peer.ErrUnavailable means that the caller must give the
// attempt up.
func (l *Ledger) Reserve(ctx context.Context, r Reserve) (Reservation, error) {
	try := l.acquire(ctx, r)
	err := unavailable(<-try.synced)
	if err != nil {
		return Reservation{}, errors.Newf("reserve: %w", err)
	}
	if try.contest != nil {
		return l.finishContest(ctx, r, try.contest, try.answer)
	}
	return try.answer, nil
}

func (l *Ledger) tryReserve(r Reserve) attempted {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries.see(r.Entry, time.Now())
	id := recordID{workspace: r.Workspace, key: r.Key}
	old := l.state.records[id]
	_, gone := l.state.gone[r.Attempt]
	if gone || (old != nil && old.reserve.Attempt == r.Attempt && old.state == stateReleased) {
		return l.tell(Reservation{Outcome: OutcomeReleased})
	}
	if old != nil && !bytes.Equal(old.reserve.BodyHash, r.BodyHash) {
		return l.tell(Reservation{Outcome: OutcomeMismatch})
	}
	if old != nil && old.state == stateReserved && old.reserve.Attempt == r.Attempt {
		try := l.tell(Reservation{Outcome: OutcomeReserved, Attempt: r.Attempt, Server: old.reserve.Server})
		try.contest = l.contests[id]
		return try
	}
	again := old != nil && old.mayRepeat()
	if old != nil && old.state != stateReleased && !again {
		return l.tell(known(old))
	}
	c := reserved{Reserve: r, At: now(), Again: again}
	available := l.state.account(r.Workspace).Available()
	if again {
		available += old.billed
	}
	return l.hold(id, c, available)
}

// hold reserves out of the escrow and, for a shared key, opens the contest in
// the same step, so that no other ledger sees the one without the other.
func (l *Ledger) hold(id recordID, c reserved, available int64) attempted {
	r := c.Reserve
	if available < r.Tokens {
		try := l.tell(Reservation{Outcome: OutcomeInsufficient, Available: available})
		try.short = true
		return try
	}
	try := attempted{answer: Reservation{Outcome: OutcomeReserved, Attempt: r.Attempt, Server: r.Server}}
	try.synced = l.commit(c)
	held := l.state.records[id]
	if r.Shared && len(l.options.Peers) > 0 && held != nil && held.reserve.Attempt == r.Attempt {
		try.contest = l.openContest(id, held)
	}
	return try
}

// tell answers from the state; the caller holds mu.
func (l *Ledger) tell(answer Reservation) attempted {
	return attempted{answer: answer, synced: l.journal.Barrier()}
}

// known answers for a request that the ledger has a record of.
func known(old *record) Reservation {
	answer := Reservation{Attempt: old.reserve.Attempt, Server: old.reserve.Server}
	switch {
	case old.mayRepeat():
		answer.Outcome = OutcomeReleased
	case old.state == stateReserved || (old.state == stateUnknown && old.reserve.Repeatable):
		answer.Outcome = OutcomeRunning
	case old.state == stateReleased:
		answer.Outcome = OutcomeReleased
	case (old.state == stateSettled || old.state == stateVoided) && !old.unclear:
		answer.Outcome = OutcomeSettled
		answer.Answer = old.answer
	default:
		answer.Outcome = OutcomeUnknown
	}
	return answer
}

// Await waits for a bounded time until the request of another attempt has
// ended and tells what is known then.
func (l *Ledger) Await(ctx context.Context, workspace, key string) (Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
	defer cancel()
	id := recordID{workspace: workspace, key: key}
	ended := l.endOf(id)
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	answer := Reservation{Outcome: OutcomeReleased}
	held := l.state.records[id]
	if held != nil {
		answer = known(held)
	}
	synced := l.journal.Barrier()
	l.mu.Unlock()
	err := unavailable(<-synced)
	if err != nil {
		return Reservation{}, errors.Newf("await: %w", err)
	}
	return answer, nil
}

// endOf returns a channel that is closed at the end of an open record's
// attempt, or nil.
func (l *Ledger) endOf(id recordID) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.state.open[id]
	if held == nil {
		return nil
	}
	if held.ended == nil {
		held.ended = make(chan struct{})
	}
	return held.ended
}
