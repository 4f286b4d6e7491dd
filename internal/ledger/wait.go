package ledger

import (
	"context"
	"time"
)

const (
	// reserveWait bounds how long a request waits for reservations that are
	// about to be settled.
	reserveWait = 10 * time.Second
	// answerMargin is the part of a caller's deadline that is left for the
	// answer.
	answerMargin = 200 * time.Millisecond
	// drawPause is the time between two draws of one waiting request.
	drawPause = 500 * time.Millisecond
	// maxFailedDraws bounds the draws without an answer: the first one may have
	// gone over a connection that is silent for good.
	maxFailedDraws = 2
)

// acquire reserves r. While too few tokens are available it draws, and waits
// within the caller's deadline as long as other reservations may be settled
// below their worst case.
func (l *Ledger) acquire(ctx context.Context, r Reserve) attempted {
	try := l.tryReserve(r)
	if !try.short {
		return try
	}
	ctx, cancel := context.WithTimeout(ctx, waitWithin(ctx))
	defer cancel()
	l.addWaiting(r.Workspace, r.Tokens)
	defer l.addWaiting(r.Workspace, -r.Tokens)
	failed := 0
	for {
		freed := l.freed(r.Workspace)
		err := l.draw(ctx, r.Workspace, r.Tokens)
		if err != nil {
			failed++
			l.options.Log.Debug("draw failed", "workspace", r.Workspace, "err", err.Error())
		}
		try = l.tryReserve(r)
		if !try.short {
			return try
		}
		if err != nil && failed < maxFailedDraws && ctx.Err() == nil {
			continue
		}
		if !l.mayBeFreed(r.Workspace) {
			return try
		}
		select {
		case <-freed:
		case <-time.After(drawPause):
		case <-ctx.Done():
			return try
		}
	}
}

func waitWithin(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return reserveWait
	}
	return min(reserveWait, time.Until(deadline)-answerMargin)
}

func (l *Ledger) addWaiting(workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(workspace).waiting += tokens
}

func (l *Ledger) freed(workspace string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.follow(workspace).freed
}

// mayBeFreed tells whether a reservation is held that may end below its worst
// case.
func (l *Ledger) mayBeFreed(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.account(workspace).Reserved > 0
}
