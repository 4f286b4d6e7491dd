package ledger

import (
	"context"
	"time"
)

const (
	// maxReserveWait bounds how long a request waits for reservations that are
	// about to be settled.
	maxReserveWait = 10 * time.Second
	// responseMargin is the part of a caller's deadline that is left for the
	// answer.
	responseMargin = 200 * time.Millisecond
	// drawRetryInterval is the time between two draws of one waiting request.
	drawRetryInterval = 500 * time.Millisecond
	// maxFailedDraws bounds the draws without an answer: the first one may have
	// gone over a connection that is silent for good.
	maxFailedDraws = 2
)

// reserveOrWait reserves r. While too few tokens are available it draws, and waits
// within the caller's deadline as long as other reservations may be settled
// below their worst case.
func (l *Ledger) reserveOrWait(ctx context.Context, r Reserve) reserveResult {
	result := l.tryReserve(r)
	if !result.insufficient {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, waitLimit(ctx))
	defer cancel()
	l.addWaiting(r.Workspace, r.Tokens)
	defer l.addWaiting(r.Workspace, -r.Tokens)
	failed := 0
	for {
		tokensFreed := l.tokensFreed(r.Workspace)
		err := l.draw(ctx, r.Workspace, r.Tokens)
		if err != nil {
			failed++
			l.options.Log.Debug("draw failed", "workspace", r.Workspace, "err", err.Error())
		}
		result = l.tryReserve(r)
		if !result.insufficient {
			return result
		}
		if err != nil && failed < maxFailedDraws && ctx.Err() == nil {
			continue
		}
		if !l.hasOpenReservations(r.Workspace) {
			return result
		}
		select {
		case <-tokensFreed:
		case <-time.After(drawRetryInterval):
		case <-ctx.Done():
			return result
		}
	}
}

func waitLimit(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return maxReserveWait
	}
	return min(maxReserveWait, time.Until(deadline)-responseMargin)
}

func (l *Ledger) addWaiting(workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demandOf(workspace).waitingTokens += tokens
}

func (l *Ledger) tokensFreed(workspace string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.demandOf(workspace).tokensFreed
}

// hasOpenReservations tells whether a reservation is held that may end below its worst
// case.
func (l *Ledger) hasOpenReservations(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.account(workspace).Reserved > 0
}
