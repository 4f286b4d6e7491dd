package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/group"
)

const (
	resolveInterval = time.Second
	queryTimeout    = 500 * time.Millisecond
	// fullBillDelay is how long a backend server may fail to tell about an
	// attempt before its whole reservation is billed.
	fullBillDelay = 2 * time.Minute
	// absentReleaseDelay is how long after its last chance to be dispatched an attempt
	// must be absent at its backend server to count as not run.
	absentReleaseDelay = 2 * time.Second
	// maxAttemptTime bounds how long an attempt of a living entry may stay open.
	maxAttemptTime = 2 * time.Hour
	maxQueried     = 256
)

// AttemptState is what a backend server tells of an attempt.
type AttemptState string

// States of an attempt at its backend server.
const (
	AttemptRunning AttemptState = "running"
	AttemptDone    AttemptState = "done"
	// AttemptAbsent means that the backend server never got it.
	AttemptAbsent AttemptState = "absent"
)

// AttemptQuerier asks a backend server what an attempt generated. An error means
// that the backend server cannot tell.
type AttemptQuerier interface {
	QueryAttempt(ctx context.Context, server, attempt string) (AttemptState, int64, error)
}

// loop settles the attempts of entries that ended, drops old records and
// compares shared keys with the other ledgers.
func (l *Ledger) loop(ctx context.Context) {
	defer close(l.loopDone)
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.markLostAttempts(time.Now())
		l.resolveLostAttempts(ctx)
		l.reconcile(ctx)
		l.expire(time.Now())
		l.rotateWhenLarge()
	}
}

// markLostAttempts marks the attempts whose entry ended.
func (l *Ledger) markLostAttempts(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, record := range l.state.open {
		if record.state != stateReserved || l.conflictChecks[id] != nil {
			continue
		}
		tooOld := at.UnixMilli()-record.reservedAt > maxAttemptTime.Milliseconds()
		if !tooOld && !l.entryTracker.hasEnded(record.reserve.Entry, l.openedAt, at) {
			continue
		}
		l.commit(lost{Attempt: record.attemptID(), At: at.UnixMilli()})
	}
}

// resolveLostAttempts asks the backend servers about the lost attempts. A backend server
// that fails to answer is left out for the rest of the pass.
func (l *Ledger) resolveLostAttempts(ctx context.Context) {
	unresponsive := make(map[string]bool)
	for _, r := range l.lostAttempts() {
		var state AttemptState
		var tokens int64
		if l.options.AttemptQuerier != nil && !unresponsive[r.Server] {
			var err error
			state, tokens, err = l.queryAttempt(ctx, r)
			unresponsive[r.Server] = err != nil
		}
		if ctx.Err() != nil {
			return
		}
		if state == AttemptAbsent && !r.Repeatable && l.abandonClaim(ctx, r) != nil {
			continue
		}
		l.resolveAttempt(r, state, tokens, nowMillis())
	}
}

// abandonClaim gives up the claim of an attempt that was never dispatched, for
// its entry that ended.
func (l *Ledger) abandonClaim(ctx context.Context, r Reserve) error {
	if !l.mayRelease(r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	abandon := group.AbandonClaim{Workspace: r.Workspace, Key: r.Key, Holder: r.Attempt}
	_, err := group.Propose(ctx, l.options.Group, abandon)
	if err != nil {
		return errors.Newf("abandon claim: %w", err)
	}
	return nil
}

func (l *Ledger) mayRelease(r Reserve) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, err := l.state.record(r.Workspace, r.Key, r.Attempt)
	return err == nil && record.state == stateUnknown && l.isDispatchWindowOver(record, nowMillis())
}

func (l *Ledger) queryAttempt(ctx context.Context, r Reserve) (AttemptState, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return l.options.AttemptQuerier.QueryAttempt(ctx, r.Server, r.Attempt)
}

func (l *Ledger) lostAttempts() []Reserve {
	l.mu.Lock()
	defer l.mu.Unlock()
	var attempts []Reserve
	for _, record := range l.state.open {
		if record.state == stateUnknown && len(attempts) < maxQueried {
			attempts = append(attempts, record.reserve)
		}
	}
	return attempts
}

// resolveAttempt ends a lost attempt by what its backend server told; an empty state
// means nothing.
func (l *Ledger) resolveAttempt(r Reserve, state AttemptState, tokens, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, err := l.state.record(r.Workspace, r.Key, r.Attempt)
	if err != nil || record.state != stateUnknown {
		return
	}
	settle := Settle{Workspace: r.Workspace, Key: r.Key, Attempt: r.Attempt}
	switch {
	case state == AttemptDone:
		settle.Tokens = max(0, min(tokens, r.Tokens))
		l.commit(settled{Settle: settle, At: at})
	case state == AttemptAbsent && l.isDispatchWindowOver(record, at):
		l.commit(released{Release: record.attemptID(), At: at})
	case state != AttemptRunning && at-record.lostAt > fullBillDelay.Milliseconds():
		settle.Tokens = r.Tokens
		l.commit(settled{Settle: settle, At: at, ResultUnknown: true})
	}
}

// isDispatchWindowOver tells whether the entry can no longer dispatch the attempt.
func (l *Ledger) isDispatchWindowOver(record *requestRecord, at int64) bool {
	last := record.reservedAt + record.reserve.DispatchWindowMillis
	if l.entryTracker.isReplaced(record.reserve.Entry) {
		last = record.lostAt
	}
	return at > last+absentReleaseDelay.Milliseconds()
}

// expire drops old records in steps of an hour.
func (l *Ledger) expire(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryTracker.expire(at)
	before := at.Add(-retention).UnixMilli()
	if len(l.state.retentionQueue) == 0 || l.state.retentionQueue[0].at > before-time.Hour.Milliseconds() {
		return
	}
	l.commit(expired{Before: before})
}

// attemptID identifies the record's attempt.
func (r *requestRecord) attemptID() Release {
	return Release{Workspace: r.reserve.Workspace, Key: r.reserve.Key, Attempt: r.reserve.Attempt}
}
