package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxExchangeWait is above the time of a commit. After it other holders are asked.
const maxExchangeWait = 150 * time.Millisecond

// reserveSlow reserves tokens out of the next exchange, or out of what other holders
// lend while the group is out of reach, slow or has handed all out.
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
	if errors.Is(err, ErrUnavailable) && !h.lastExchangeFailed() {
		err = h.awaitExchange(ctx, a, tokens)
	}
	return err
}

// isGroupResponsive tells whether the group answers exchanges without delay.
func (h *Holder) isGroupResponsive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.exchangeFailed && !h.exchangeOverdue
}

func (h *Holder) lastExchangeFailed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exchangeFailed
}

func (h *Holder) stopWaiting(a *account, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.waitingTokens -= tokens
}

// awaitExchange waits for exchanges and for the ends of other requests until the tokens
// are there, the group has too few or other holders are the sooner source. The
// first exchange that ends may have begun before the request came.
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

// shortageError tells why tokens that the budget covers cannot be had.
func (a *account) shortageError(tokens int64) error {
	if a.totalRemaining >= tokens && a.totalRemaining-a.totalReserved < tokens {
		return ErrReserved
	}
	return ErrUnavailable
}

func waitClosed(ctx context.Context, closed <-chan struct{}) error {
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ErrUnavailable
	}
}
