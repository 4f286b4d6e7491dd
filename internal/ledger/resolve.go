package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/group"
)

const (
	// resolveInterval is the time between two passes over the lost attempts.
	resolveInterval = time.Second
	// queryTimeout bounds one query of a backend server and one call of the
	// control group.
	queryTimeout = 500 * time.Millisecond
	// fullBillDelay is how long a backend server may fail to report on a lost
	// attempt before the whole reservation is billed.
	fullBillDelay = 2 * time.Minute
	// absentReleaseDelay is how long after its last possible dispatch an
	// attempt must be absent at its backend server to count as not run.
	absentReleaseDelay = 2 * time.Second
	// maxAttemptTime bounds how long an attempt may stay open while its entry
	// is alive.
	maxAttemptTime = 2 * time.Hour
	// maxQueried bounds the lost attempts of one pass.
	maxQueried = 256
)

// AttemptState is the state of an attempt at its backend server.
type AttemptState string

// States of an attempt at its backend server.
const (
	AttemptRunning AttemptState = "running"
	AttemptDone    AttemptState = "done"
	// AttemptAbsent means that the backend server did not receive the attempt.
	AttemptAbsent AttemptState = "absent"
)

// AttemptQuerier queries backend servers about attempts.
type AttemptQuerier interface {
	// QueryAttempt returns the state of an attempt and the tokens that it
	// generated so far. An error means that the backend server cannot report on
	// the attempt.
	QueryAttempt(ctx context.Context, server, attempt string) (AttemptState, int64, error)
}

// loop resolves the attempts of entries that ended, compares shared keys with
// the other ledgers, drops old records and takes snapshots.
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

// markLostAttempts marks the reserved attempts whose entry ended or that are
// open for too long.
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

// resolveLostAttempts queries the backend servers about the lost attempts and
// ends those whose result is known. A backend server that fails to respond
// is not queried again in the same pass.
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

// abandonClaim abandons an attempt's claim at the control group if the attempt
// can no longer be dispatched, so that a retry can claim the key.
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

// mayRelease reports whether an attempt that is absent at its backend server
// can no longer be dispatched.
func (l *Ledger) mayRelease(r Reserve) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, err := l.state.record(r.Workspace, r.Key, r.Attempt)
	return err == nil && record.state == stateUnknown && l.isDispatchWindowOver(record, nowMillis())
}

// queryAttempt queries the backend server of an attempt for at most
// queryTimeout.
func (l *Ledger) queryAttempt(ctx context.Context, r Reserve) (AttemptState, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return l.options.AttemptQuerier.QueryAttempt(ctx, r.Server, r.Attempt)
}

// lostAttempts returns at most maxQueried attempts in the state unknown.
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

// resolveAttempt ends a lost attempt according to its state at the backend
// server, if that decides it. An empty state means that the backend server did
// not report one.
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
		l.releaseRecord(record, at)
	case state != AttemptRunning && at-record.lostAt > fullBillDelay.Milliseconds():
		settle.Tokens = r.Tokens
		l.commit(settled{Settle: settle, At: at, ResultUnknown: true})
	}
}

// isDispatchWindowOver reports whether the entry can no longer dispatch the
// attempt: absentReleaseDelay has passed since the end of the dispatch window
// or, if the entry was replaced, since the attempt was marked as lost. The
// caller holds mu.
func (l *Ledger) isDispatchWindowOver(record *requestRecord, at int64) bool {
	last := record.reservedAt + record.reserve.DispatchWindowMillis
	if l.entryTracker.isReplaced(record.reserve.Entry) {
		last = record.lostAt
	}
	return at > last+absentReleaseDelay.Milliseconds()
}

// expire drops the records and entries past their retention. It waits until the
// oldest record is an hour past the retention, so that it journals at most
// about one change an hour.
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

// attemptID returns the full id of the record's attempt.
func (r *requestRecord) attemptID() Release {
	return Release{Workspace: r.reserve.Workspace, Key: r.reserve.Key, Attempt: r.reserve.Attempt}
}
