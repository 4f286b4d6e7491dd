package escrow_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/escrow"
)

// loanDelay is the time that a loan takes to arrive.
const loanDelay = 3 * time.Millisecond

// connectHolders lets each holder borrow from all others. lose reports whether the
// response to a loan request is lost. It returns the counter of the tokens lent, whether
// from a lender's own grant or passed on.
func connectHolders(g *fakeGroup, holders map[string]*escrow.Holder, lose func() bool) *atomic.Int64 {
	var total atomic.Int64
	for name, h := range holders {
		for other := range holders {
			if other != name {
				g.lenders = append(g.lenders, other)
			}
		}
		h.Borrow = func(ctx context.Context, lender, workspace string, tokens int64, draw bool) {
			time.Sleep(loanDelay)
			lent := holders[lender].Lend(workspace, tokens, draw)
			total.Add(lent)
			if ctx.Err() == nil && lose() {
				return
			}
			h.TakeLoan(lender, workspace, lent)
		}
	}
	return &total
}

// TestConnectedHolderDrawsForIsolatedOne guards against requests refused while the
// pool has tokens: all requests of a workspace arrive at one entry that alone
// cannot reach the control group, so another holder must draw for it.
func TestConnectedHolderDrawsForIsolatedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{}
		g.account.SetTotal(10_000_000)
		unreachable := &fakeGroup{unreachable: true}
		near := startHolder(t, g, "near")
		far := &escrow.Holder{Exchanger: unreachable, Log: log.New(io.Discard), Epoch: "far"}
		far.Borrow = func(_ context.Context, _, workspace string, tokens int64, draw bool) {
			time.Sleep(loanDelay)
			far.TakeLoan("near", workspace, near.Lend(workspace, tokens, draw))
		}
		far.RandomPeers = func(int) []string { return []string{"near"} }
		far.Start()
		defer far.Close()
		near.Prepare([]string{"w"})
		time.Sleep(2 * time.Second)
		served := 0
		const requests = 100
		for range requests {
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			reservation, err := far.Reserve(ctx, "w", 4000)
			cancel()
			if err == nil {
				reservation.Settle(4000)
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if served < requests*9/10 {
			t.Errorf("%d of %d requests served out of the pool, want at least 9 in 10", served, requests)
		}
	})
}

// neverLost is a loss function for connectHolders that loses no response.
func neverLost() bool { return false }

// TestIsolatedHoldersLendToEachOther guards against tokens stranded at one holder:
// the requests of a workspace arrive at one entry before the control group becomes
// unreachable and at another entry while it is, which must borrow quickly.
func TestIsolatedHoldersLendToEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{}
		g.account.SetTotal(10_000_000)
		holders := map[string]*escrow.Holder{"one": startHolder(t, g, "one"), "two": startHolder(t, g, "two"), "three": startHolder(t, g, "three")}
		connectHolders(g, holders, neverLost)
		const size = 4000
		serve := func(name string, count int) (refused int, slowest time.Duration) {
			for range count {
				start := time.Now()
				reservation, err := holders[name].Reserve(t.Context(), "w", size)
				slowest = max(slowest, time.Since(start))
				if err != nil {
					refused++
				} else {
					reservation.Settle(size)
				}
				time.Sleep(50 * time.Millisecond)
			}
			return refused, slowest
		}
		serve("one", 160)
		holders["two"].Prepare([]string{"w"})
		holders["three"].Prepare([]string{"w"})
		time.Sleep(time.Second)
		g.update(func() { g.unreachable = true })
		refused, slowest := serve("two", 80)
		if refused > 0 || slowest > 200*time.Millisecond {
			t.Errorf("%d of 80 requests refused while the control group was unreachable, want 0; slowest decision took %s, want at most 200 ms", refused, slowest)
		}
		g.update(func() { g.unreachable = false })
		time.Sleep(3 * time.Second)
		if refused, _ = serve("three", 80); refused > 0 {
			t.Errorf("%d of 80 requests refused after the control group became reachable again, want 0", refused)
		}
	})
}

// TestLoansCreateNoTokens guards against loans that are counted at both holders or
// at none. Holders spend the whole budget while the control group alternates
// between reachable and unreachable and some loans are lost.
func TestLoansCreateNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 1_000_000
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		chance := func(probability float64) bool {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64() < probability
		}
		g := &fakeGroup{}
		g.account.SetTotal(total)
		holders := map[string]*escrow.Holder{"one": startHolder(t, g, "one"), "two": startHolder(t, g, "two"), "three": startHolder(t, g, "three")}
		lent := connectHolders(g, holders, func() bool { return chance(0.05) })
		var spent int64
		var running sync.WaitGroup
		for _, h := range holders {
			running.Go(func() {
				for i := range 400 {
					size := int64(500 + 53*(i%70))
					reservation, err := h.Reserve(t.Context(), "w", size)
					if err == nil {
						used := size / int64(1+i%3)
						reservation.Settle(used)
						mu.Lock()
						spent += used
						mu.Unlock()
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		for range 8 {
			g.update(func() { g.unreachable = !g.unreachable })
			time.Sleep(time.Second)
		}
		g.update(func() { g.unreachable = false })
		running.Wait()
		time.Sleep(3 * time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		if err := g.account.Check(); err != nil {
			t.Error(err)
		}
		if spent > total {
			t.Errorf("%d tokens spent, want at most %d", spent, total)
		}
		if spent < total*9/10 {
			t.Errorf("%d tokens spent of a total of %d, want at least 90%%", spent, total)
		}
		if lent.Load() < total/20 {
			t.Errorf("%d tokens lent, want at least 5%% of the total: the load does not exercise loans", lent.Load())
		}
	})
}
