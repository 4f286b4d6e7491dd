package escrow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// promptLimit is above the time of a commit. After it other holders are asked.
const promptLimit = 150 * time.Millisecond

// obtain reserves tokens out of the next exchange, or out of what other holders
// lend while the group is out of reach, slow or has handed all out.
func (h *Holder) obtain(ctx context.Context, workspace string, a *account, tokens int64) error {
	err := ErrUnavailable
	if h.isPrompt() {
		prompt, cancel := context.WithTimeout(ctx, promptLimit)
		err = h.await(prompt, a, tokens)
		cancel()
	}
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrReserved) {
		err = h.borrow(ctx, workspace, a, tokens)
	}
	if errors.Is(err, ErrUnavailable) && !h.isFailing() {
		err = h.await(ctx, a, tokens)
	}
	return err
}

// isPrompt tells whether the group answers exchanges without delay.
func (h *Holder) isPrompt() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failing && !h.overdue
}

func (h *Holder) isFailing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing
}

func (h *Holder) stopWaiting(a *account, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.waiting -= tokens
}

// await waits for exchanges and for the ends of other requests until the tokens
// are there, the group has too few or other holders are the sooner source. The
// first exchange that ends may have begun before the request came.
func (h *Holder) await(ctx context.Context, a *account, tokens int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := a.exchanges
	asked := from - 1
	for {
		changed := a.changed
		ask := a.exchanges != asked && a.exchanges < from+2
		asked = a.exchanges
		h.mu.Unlock()
		if ask {
			h.signal()
		}
		err := wait(ctx, changed)
		h.mu.Lock()
		if a.escrow.Reserve(tokens) {
			return nil
		}
		if err != nil && a.exchanges == from {
			h.overdue = true
		}
		if err != nil || h.failing {
			return a.shortage(tokens)
		}
		if a.exchanges < from+2 {
			continue
		}
		if a.left < tokens {
			return ErrExhausted
		}
		if a.escrow.Reserved < tokens {
			return a.shortage(tokens)
		}
	}
}

// shortage tells why tokens that the budget covers cannot be had.
func (a *account) shortage(tokens int64) error {
	if a.left >= tokens && a.left-a.reserved < tokens {
		return ErrReserved
	}
	return ErrUnavailable
}

func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ErrUnavailable
	}
}
