package escrow_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/escrow"
)

// TestHoldersServeThroughACutBesideLongRequests guards against holders that count the
// reservations of requests in progress as tokens held for the next ones. Requests that
// run for seconds then leave a holder nothing to serve from once it cannot reach the
// control group, although most of the total is unspent.
func TestHoldersServeThroughACutBesideLongRequests(t *testing.T) {
	const (
		total    = 3_000_000
		holders  = 8
		size     = 6000
		spent    = 4000
		runTime  = 8 * time.Second
		interval = 500 * time.Millisecond
		before   = 10 * time.Second
		cut      = 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{}
		g.account.SetTotal(total)
		var refused, served atomic.Int64
		serve := func(h *escrow.Holder) {
			reservation, err := h.Reserve(t.Context(), "w", size)
			if err != nil {
				refused.Add(1)
				return
			}
			served.Add(1)
			time.Sleep(runTime)
			reservation.Settle(spent)
		}
		var callers sync.WaitGroup
		for i := range holders {
			h := startHolder(t, g, fmt.Sprint(i))
			callers.Go(func() {
				for start := time.Now(); time.Since(start) < before+cut; time.Sleep(interval) {
					callers.Go(func() { serve(h) })
				}
			})
		}
		time.Sleep(before)
		if refused.Load() > 0 {
			t.Errorf("%d requests refused while the control group was reachable, want 0", refused.Load())
		}
		g.update(func() { g.unreachable = true })
		callers.Wait()
		if refused.Load() > 0 {
			t.Errorf("%d requests refused and %d served through a cut of %v, want all served: %d of %d tokens were left", refused.Load(), served.Load(), cut, g.account.Remaining(), total)
		}
	})
}
