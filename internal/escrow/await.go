package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxExchangeWait bounds how long a request waits for an exchange before the
// holder borrows from other holders. It is longer than a commit of the control
// group takes.
const maxExchangeWait = 150 * time.Millisecond

// exhaustedTTL is how long a request is refused without an exchange after one has shown
// that the budget does not cover it. A raised total is noticed after that time.
const exhaustedTTL = 500 * time.Millisecond

// reserveSlow reserves tokens that the account lacks. It waits for the next
// exchange and, if the control group is unreachable or slow or has granted all
// tokens to other holders, borrows from them.
func (h *Holder) reserveSlow(ctx context.Context, workspace string, a *account, tokens int64) error {
	err := ErrUnavailable
	if h.isGroupResponsive() {
		exchangeCtx, cancel := context.WithTimeout(ctx, maxExchangeWait)
		err = h.awaitExchange(exchangeCtx, a, tokens)
		cancel()
	}
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrReserved) {
		err = h.borrow(ctx, workspace, a, tokens)
	}
	if errors.Is(err, ErrUnavailable) && h.isGroupResponsive() {
		err = h.awaitExchange(ctx, a, tokens)
	}
	return err
}

// isGroupResponsive reports whether, since the last successful exchange, no
// exchange has failed and no request has timed out waiting for one.
func (h *Holder) isGroupResponsive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.exchangeFailed && !h.exchangeOverdue
}

// isKnownExhausted reports whether the last exchange has just shown that the budget does
// not cover the tokens, even if no request in progress spends what it has reserved.
// Further exchanges would show the same: at a large site, requests of exhausted workspaces
// would keep the control group too busy for the others.
func (a *account) isKnownExhausted(now time.Time, tokens int64) bool {
	return a.exchangeCount > 0 && now.Sub(a.lastExchange) < exhaustedTTL && a.totalRemaining < tokens
}

// stopWaiting removes the tokens of a request that no longer waits for them.
func (h *Holder) stopWaiting(a *account, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.waitingTokens -= tokens
}

// awaitExchange waits until exchanges or settled reservations provide the tokens
// and reserves them. It waits for two exchanges, since the first to end may have
// started before the request arrived, and then only as long as reservations of
// this holder can release enough tokens. It returns ErrExhausted if the budget
// is too small, and ErrReserved or ErrUnavailable if an exchange fails, ctx ends
// or other holders hold the tokens.
func (h *Holder) awaitExchange(ctx context.Context, a *account, tokens int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	initialCount := a.exchangeCount
	signaledCount := initialCount - 1
	for {
		changed := a.changed
		needsSignal := a.exchangeCount != signaledCount && a.exchangeCount < initialCount+2
		signaledCount = a.exchangeCount
		h.mu.Unlock()
		if needsSignal {
			h.wakeExchange()
		}
		err := waitClosed(ctx, changed)
		h.mu.Lock()
		if a.escrow.Reserve(tokens) {
			return nil
		}
		if err != nil && a.exchangeCount == initialCount {
			h.exchangeOverdue = true
		}
		if err != nil || h.exchangeFailed {
			return a.shortageError(tokens)
		}
		if a.exchangeCount < initialCount+2 {
			continue
		}
		if a.totalRemaining < tokens {
			return ErrExhausted
		}
		if a.escrow.Reserved < tokens {
			return a.shortageError(tokens)
		}
	}
}

// shortageError returns ErrReserved if the budget covers the tokens but requests
// in progress have reserved them, and ErrUnavailable otherwise.
func (a *account) shortageError(tokens int64) error {
	if a.totalRemaining >= tokens && a.totalRemaining-a.totalReserved < tokens {
		return ErrReserved
	}
	return ErrUnavailable
}

// waitClosed waits until the channel is closed. It returns ErrUnavailable if ctx
// ends first.
func waitClosed(ctx context.Context, closed <-chan struct{}) error {
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ErrUnavailable
	}
}
