package escrow_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/escrow"
)

const loanWay = 3 * time.Millisecond

// connect lets each holder borrow from all others.
func connect(p *pool, holders map[string]*escrow.Holder, lose func() bool) {
	for name, h := range holders {
		for other := range holders {
			if other != name {
				p.lenders = append(p.lenders, other)
			}
		}
		h.Borrow = func(ctx context.Context, lender, workspace string, tokens int64, draw bool) {
			time.Sleep(loanWay)
			lent := holders[lender].Lend(workspace, tokens, draw)
			if ctx.Err() == nil && lose() {
				return
			}
			h.TakeLoan(lender, workspace, lent)
		}
	}
}

// TestHolderInTouchDrawsForOneThatIsCutOff plays a workspace all of whose
// requests come to one entry, which alone is cut off.
func TestHolderInTouchDrawsForOneThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{}
		p.account.SetTotal(10_000_000)
		cut := &pool{cut: true}
		near := holder(t, p, "near")
		far := &escrow.Holder{Exchanger: cut, Log: log.New(io.Discard), Epoch: "far"}
		far.Borrow = func(_ context.Context, _, workspace string, tokens int64, draw bool) {
			time.Sleep(loanWay)
			far.TakeLoan("near", workspace, near.Lend(workspace, tokens, draw))
		}
		far.Others = func(int) []string { return []string{"near"} }
		far.Start()
		defer far.Close()
		near.Prepare([]string{"w"})
		time.Sleep(2 * time.Second)
		served := 0
		const requests = 100
		for range requests {
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			hold, err := far.Reserve(ctx, "w", 4000)
			cancel()
			if err == nil {
				hold.Settle(4000)
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if served < requests*9/10 {
			t.Errorf("%d of %d requests served out of the pool", served, requests)
		}
	})
}

func never() bool { return false }

// TestCutOffHoldersShareWhatTheyHold plays the load of a workspace whose
// requests come to one entry before a cut and to another one during it.
func TestCutOffHoldersShareWhatTheyHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{}
		p.account.SetTotal(10_000_000)
		holders := map[string]*escrow.Holder{"one": holder(t, p, "one"), "two": holder(t, p, "two"), "three": holder(t, p, "three")}
		connect(p, holders, never)
		const size = 4000
		serve := func(name string, count int) (refused int, slowest time.Duration) {
			for range count {
				asked := time.Now()
				hold, err := holders[name].Reserve(t.Context(), "w", size)
				slowest = max(slowest, time.Since(asked))
				if err != nil {
					refused++
				} else {
					hold.Settle(size)
				}
				time.Sleep(50 * time.Millisecond)
			}
			return refused, slowest
		}
		serve("one", 160)
		holders["two"].Prepare([]string{"w"})
		holders["three"].Prepare([]string{"w"})
		time.Sleep(time.Second)
		p.set(func() { p.cut = true })
		refused, slowest := serve("two", 80)
		if refused > 0 || slowest > 200*time.Millisecond {
			t.Errorf("%d of 80 requests refused during the cut, the slowest decided after %s", refused, slowest)
		}
		p.set(func() { p.cut = false })
		time.Sleep(3 * time.Second)
		if refused, _ = serve("three", 80); refused > 0 {
			t.Errorf("%d of 80 requests refused after the cut", refused)
		}
	})
}

// TestLoansAddNoTokens has holders spend all that they can, in touch and cut
// off by turns, with loans lost on their way.
func TestLoansAddNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 1_000_000
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		chance := func(share float64) bool {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64() < share
		}
		p := &pool{}
		p.account.SetTotal(total)
		holders := map[string]*escrow.Holder{"one": holder(t, p, "one"), "two": holder(t, p, "two"), "three": holder(t, p, "three")}
		connect(p, holders, func() bool { return chance(0.05) })
		var spent, lent int64
		for _, h := range holders {
			borrow := h.Borrow
			h.Borrow = func(ctx context.Context, lender, workspace string, tokens int64, draw bool) {
				before := holders[lender].Balance(workspace).Lent
				borrow(ctx, lender, workspace, tokens, draw)
				mu.Lock()
				lent += holders[lender].Balance(workspace).Lent - before
				mu.Unlock()
			}
		}
		var running sync.WaitGroup
		for _, h := range holders {
			running.Go(func() {
				for i := range 400 {
					size := int64(500 + 53*(i%70))
					hold, err := h.Reserve(t.Context(), "w", size)
					if err == nil {
						used := size / int64(1+i%3)
						hold.Settle(used)
						mu.Lock()
						spent += used
						mu.Unlock()
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		for range 8 {
			p.set(func() { p.cut = !p.cut })
			time.Sleep(time.Second)
		}
		p.set(func() { p.cut = false })
		running.Wait()
		time.Sleep(3 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if err := p.account.Check(); err != nil {
			t.Error(err)
		}
		if spent > total {
			t.Errorf("%d spent of %d", spent, total)
		}
		if spent < total*9/10 {
			t.Errorf("only %d spent of %d", spent, total)
		}
		if lent < total/20 {
			t.Errorf("only %d tokens lent: the load plays no loans", lent)
		}
	})
}
