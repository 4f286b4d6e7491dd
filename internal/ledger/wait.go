package ledger

import (
	"context"
	"time"
)

const (
	// maxReserveWait bounds how long a request waits for tokens.
	maxReserveWait = 10 * time.Second
	// responseMargin is the time before the caller's deadline that is left for
	// sending the response.
	responseMargin = 200 * time.Millisecond
	// drawRetryInterval is the time between two draws of a waiting request.
	drawRetryInterval = 500 * time.Millisecond
	// maxFailedDraws bounds the failed draws of a request that are retried at
	// once. One retry is needed because the first draw may have used a dead
	// connection.
	maxFailedDraws = 2
)

// reserveOrWait reserves tokens for r. While too few are available, it draws,
// and waits within the caller's deadline as long as other reservations are
// open: they may be settled for fewer tokens than they reserved.
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

// waitLimit returns how long a request may wait for tokens before the deadline
// of ctx.
func waitLimit(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return maxReserveWait
	}
	return min(maxReserveWait, time.Until(deadline)-responseMargin)
}

// addWaiting adds to the tokens that requests of a workspace wait for.
func (l *Ledger) addWaiting(workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demandOf(workspace).waitingTokens += tokens
}

// tokensFreed returns a channel that is closed when more tokens of the
// workspace may be available.
func (l *Ledger) tokensFreed(workspace string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.demandOf(workspace).tokensFreed
}

// hasOpenReservations reports whether tokens of the workspace are reserved.
// Their settlement may free some of them.
func (l *Ledger) hasOpenReservations(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.account(workspace).Reserved > 0
}
