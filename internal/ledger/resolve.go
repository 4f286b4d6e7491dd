package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/group"
)

const (
	resolveInterval = time.Second
	askTimeout      = 500 * time.Millisecond
	// unknownDelay is how long a backend server may fail to tell about an
	// attempt before its whole reservation is billed.
	unknownDelay = 2 * time.Minute
	// absentDelay is how long after its last chance to be dispatched an attempt
	// must be absent at its backend server to count as not run.
	absentDelay = 2 * time.Second
	// maxAttemptTime bounds how long an attempt of a living entry may stay open.
	maxAttemptTime = 2 * time.Hour
	maxAsked       = 256
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

// Attempts asks a backend server what an attempt generated. An error means
// that the backend server cannot tell.
type Attempts interface {
	Ask(ctx context.Context, server, attempt string) (AttemptState, int64, error)
}

// loop settles the attempts of entries that ended, drops old records and
// compares shared keys with the other ledgers.
func (l *Ledger) loop(ctx context.Context) {
	defer close(l.settling)
	ticker := time.NewTicker(resolveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.loseOpen(time.Now())
		l.resolve(ctx)
		l.reconcile(ctx)
		l.forget(time.Now())
		l.rotateWhenLarge()
	}
}

// loseOpen marks the attempts whose entry ended.
func (l *Ledger) loseOpen(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, held := range l.state.open {
		if held.state != stateReserved || l.contests[id] != nil {
			continue
		}
		tooOld := at.UnixMilli()-held.reservedAt > maxAttemptTime.Milliseconds()
		if !tooOld && !l.entries.hasEnded(held.reserve.Entry, l.openedAt, at) {
			continue
		}
		l.commit(lost{Attempt: held.name(), At: at.UnixMilli()})
	}
}

// resolve asks the backend servers about the lost attempts. A backend server
// that fails to answer is left out for the rest of the pass.
func (l *Ledger) resolve(ctx context.Context) {
	silent := make(map[string]bool)
	for _, r := range l.lostAttempts() {
		var state AttemptState
		var tokens int64
		if l.options.Attempts != nil && !silent[r.Server] {
			var err error
			state, tokens, err = l.ask(ctx, r)
			silent[r.Server] = err != nil
		}
		if ctx.Err() != nil {
			return
		}
		if state == AttemptAbsent && !r.Repeatable && l.abandonClaim(ctx, r) != nil {
			continue
		}
		l.conclude(r, state, tokens, now())
	}
}

// abandonClaim gives up the claim of an attempt that was never dispatched, for
// its entry that ended.
func (l *Ledger) abandonClaim(ctx context.Context, r Reserve) error {
	if !l.mayRelease(r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	held, err := l.state.held(r.Workspace, r.Key, r.Attempt)
	return err == nil && held.state == stateUnknown && l.isPastDispatch(held, now())
}

func (l *Ledger) ask(ctx context.Context, r Reserve) (AttemptState, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return l.options.Attempts.Ask(ctx, r.Server, r.Attempt)
}

func (l *Ledger) lostAttempts() []Reserve {
	l.mu.Lock()
	defer l.mu.Unlock()
	var attempts []Reserve
	for _, held := range l.state.open {
		if held.state == stateUnknown && len(attempts) < maxAsked {
			attempts = append(attempts, held.reserve)
		}
	}
	return attempts
}

// conclude ends a lost attempt by what its backend server told; an empty state
// means nothing.
func (l *Ledger) conclude(r Reserve, state AttemptState, tokens, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, err := l.state.held(r.Workspace, r.Key, r.Attempt)
	if err != nil || held.state != stateUnknown {
		return
	}
	settle := Settle{Workspace: r.Workspace, Key: r.Key, Attempt: r.Attempt}
	switch {
	case state == AttemptDone:
		settle.Tokens = max(0, min(tokens, r.Tokens))
		l.commit(settled{Settle: settle, At: at})
	case state == AttemptAbsent && l.isPastDispatch(held, at):
		l.commit(released{Release: held.name(), At: at})
	case state != AttemptRunning && at-held.lostAt > unknownDelay.Milliseconds():
		settle.Tokens = r.Tokens
		l.commit(settled{Settle: settle, At: at, Unclear: true})
	}
}

// isPastDispatch tells whether the entry can no longer dispatch the attempt.
func (l *Ledger) isPastDispatch(held *record, at int64) bool {
	last := held.reservedAt + held.reserve.Within
	if l.entries.isReplaced(held.reserve.Entry) {
		last = held.lostAt
	}
	return at > last+absentDelay.Milliseconds()
}

// forget drops old records in steps of an hour.
func (l *Ledger) forget(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries.forget(at)
	before := at.Add(-retention).UnixMilli()
	if len(l.state.endings) == 0 || l.state.endings[0].at > before-time.Hour.Milliseconds() {
		return
	}
	l.commit(forgotten{Before: before})
}

// name identifies the record's attempt.
func (r *record) name() Release {
	return Release{Workspace: r.reserve.Workspace, Key: r.reserve.Key, Attempt: r.reserve.Attempt}
}
