package memory

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// stallCheckInterval is the time after which a waiting response looks again for transfers that
// stall.
const stallCheckInterval = 250 * time.Millisecond

// ErrNoRoom reports that no memory became free for a response in time.
var ErrNoRoom = errors.New("no memory for the response")

// Response is the reservation of one response body. It must be released. A nil response
// reserves nothing, and always can. It is not safe for concurrent use.
type Response struct {
	account *Account
	caller  string
	bytes   int64
	waited  bool
	// writing is set while the response is being written to its caller.
	writing *transfer
}

// waiter is a response that waits until it may hold the given number of bytes.
type waiter struct {
	response *Response
	bytes    int64
	granted  chan struct{}
}

// Response returns an empty reservation for a response body to the named caller; nil if the
// account is nil.
func (a *Account) Response(caller string) *Response {
	if a == nil {
		return nil
	}
	return &Response{account: a, caller: caller}
}

// Grow grows the reservation to the given number of bytes, or leaves it if it has as many.
// It waits for memory until ctx ends, and then returns an error that wraps ErrNoRoom.
func (r *Response) Grow(ctx context.Context, bytes int64) error {
	if r == nil || bytes <= r.bytes {
		return nil
	}
	a := r.account
	w := &waiter{response: r, bytes: bytes, granted: make(chan struct{})}
	a.mu.Lock()
	a.waiting = append(a.waiting, w)
	a.grant()
	a.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	r.waited = true
	if a.await(ctx, w) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting, w)
	if i < 0 {
		return nil
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.grant()
	return errors.Newf("wait for %d bytes: %s: %w", bytes, context.Cause(ctx), ErrNoRoom)
}

// await waits until a response has its memory, and reports whether it has before ctx ends. Meanwhile
// transfers that stall give way to it.
func (a *Account) await(ctx context.Context, w *waiter) (granted bool) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		for _, stop := range a.stopStalledFor(w) {
			stop()
		}
		select {
		case <-w.granted:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// stopStalledFor ends transfers that stall until a waiting response has its memory, and returns
// their stop functions.
func (a *Account) stopStalledFor(w *waiter) []func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := w.response
	hasRoom := func() bool {
		a.grant()
		return !slices.Contains(a.waiting, w)
	}
	callerHasRoom := func() bool { return a.callers[r.caller].total+w.bytes-r.bytes <= a.Bounds.caller().total }
	stops := a.stopStalled(r.caller, hasRoom, callerHasRoom)
	a.grant()
	return stops
}

// HasWaited reports whether the response has waited for memory, with its server unread.
func (r *Response) HasWaited() bool {
	return r != nil && r.waited
}

// Release gives all bytes back. Further calls have no effect.
func (r *Response) Release() {
	if r == nil {
		return
	}
	a := r.account
	defer r.writing.end()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.transfers, r.writing)
	a.add(r.caller, usage{total: -r.bytes})
	r.bytes = 0
	if a.overdrawn == r {
		a.overdrawn = nil
	}
	a.grant()
}

// grant gives memory to waiting responses; mu is held. Those that hold a part come first,
// because what they hold is free once they are complete. Others follow in the order in which
// they came, so that small ones don't delay a large one for ever; those of a caller at its
// bound delay only that caller's.
func (a *Account) grant() {
	if a.overdrawn != nil && a.held.total <= a.Bounds.Total && a.callers[a.overdrawn.caller].total <= a.Bounds.caller().total {
		a.overdrawn = nil
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		return w.response.bytes > 0 && a.tryGrow(w)
	})
	blocked := false
	var blockedCallers []string
	a.waiting = slices.DeleteFunc(a.waiting, func(w *waiter) bool {
		if blocked || w.response.bytes > 0 || slices.Contains(blockedCallers, w.response.caller) {
			return false
		}
		if a.tryGrow(w) {
			return true
		}
		if a.held.total+w.bytes > a.Bounds.Total {
			blocked = true
		} else {
			blockedCallers = append(blockedCallers, w.response.caller)
		}
		return false
	})
}

// tryGrow gives a waiting response its memory if the bounds allow it, and reports whether it
// did; mu is held. The only response of a caller may exceed the bound of callers, because its
// request may take all of that.
func (a *Account) tryGrow(w *waiter) bool {
	r := w.response
	more := usage{total: w.bytes - r.bytes}
	caller := a.callers[r.caller].plus(more)
	exceeds := a.held.total+more.total > a.Bounds.Total
	if caller.total > a.Bounds.caller().total && caller.responses() > w.bytes {
		exceeds = true
	}
	if exceeds && !a.mayOverdraw(r) {
		return false
	}
	if exceeds {
		a.overdrawn = r
	}
	a.add(r.caller, more)
	r.bytes = w.bytes
	close(w.granted)
	return true
}

// mayOverdraw reports whether a response may exceed the bounds. One at a time may: one that
// holds a part, because responses that hold parts would otherwise wait for each other, or the
// only one, because it may be larger than the bound, or its request take the rest of it; mu is
// held.
func (a *Account) mayOverdraw(r *Response) bool {
	if a.overdrawn != nil && a.overdrawn != r {
		return false
	}
	return r.bytes > 0 || a.held.responses() == 0
}
