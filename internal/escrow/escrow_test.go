package escrow_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

// commitTime is how long the stand-in of the control group takes.
const commitTime = 10 * time.Millisecond

// pool is a stand-in of the control group for one workspace.
type pool struct {
	mu      sync.Mutex
	account budget.Account
	// cut makes every exchange hang until its time is over.
	cut bool
	// lose makes the next answers get lost after the exchange took place.
	lose int
	// lenders are those that every holder is told of.
	lenders []string
}

func (p *pool) Exchange(ctx context.Context, exchange *group.Exchange) (map[string]group.ExchangeResult, error) {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleep.For(ctx, commitTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	shares := make(map[string]group.ExchangeResult)
	for workspace, item := range exchange.Workspaces {
		offer, err := p.account.Exchange(exchange.Epoch, item.Counters, item.KnownGrant, budget.Ask{Need: item.Need, Ahead: !item.Leaving, Demand: item.Demand})
		if err != nil {
			return nil, err
		}
		shares[workspace] = group.ExchangeResult{Granted: offer.Granted, Target: offer.Target, Unspent: offer.Left, Reserved: offer.Reserved, Lenders: p.othersThan(exchange.Epoch)}
	}
	if p.lose > 0 {
		p.lose--
		return nil, errors.New("the answer was lost")
	}
	return shares, nil
}

func (p *pool) othersThan(epoch string) []string {
	var others []string
	for _, lender := range p.lenders {
		if lender != epoch && !slices.Contains(others, lender) {
			others = append(others, lender)
		}
	}
	return others
}

func (p *pool) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func holder(t *testing.T, p *pool, epoch string) *escrow.Holder {
	t.Helper()
	h := &escrow.Holder{Exchanger: p, Log: log.New(io.Discard), Epoch: epoch}
	h.Start()
	t.Cleanup(h.Close)
	return h
}

// TestHolderServesWhileItIsCutOff draws ahead and then goes on for seconds
// without the control group.
func TestHolderServesWhileItIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{}
		p.account.SetTotal(10_000_000)
		h := holder(t, p, "one")
		const size = 1000
		serve := func(seconds int) (refused int) {
			for range seconds * 20 {
				hold, err := h.Reserve(t.Context(), "w", size)
				if err != nil {
					refused++
				} else {
					hold.Settle(size)
				}
				time.Sleep(50 * time.Millisecond)
			}
			return refused
		}
		if refused := serve(5); refused > 0 {
			t.Errorf("%d requests refused in touch", refused)
		}
		p.set(func() { p.cut = true })
		if refused := serve(8); refused > 0 {
			t.Errorf("%d requests refused within 8 s of a cut", refused)
		}
		p.set(func() { p.cut = false })
		time.Sleep(3 * time.Second)
		if refused := serve(1); refused > 0 {
			t.Errorf("%d requests refused after the cut", refused)
		}
	})
}

// TestHoldersSpendNoMoreThanTheTotal has three holders spend all they can with
// answers lost on the way.
func TestHoldersSpendNoMoreThanTheTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 400_000
		p := &pool{}
		p.account.SetTotal(total)
		var mu sync.Mutex
		var spent, owed int64
		var running sync.WaitGroup
		for _, name := range []string{"one", "two", "three"} {
			h := holder(t, p, name)
			running.Go(func() {
				for i := range 400 {
					if i%17 == 0 {
						p.set(func() { p.lose++ })
					}
					size := int64(500 + 37*(i%100))
					hold, err := h.Reserve(t.Context(), "w", size)
					mu.Lock()
					if err == nil {
						hold.Settle(size)
						spent += size
					} else if errors.Is(err, escrow.ErrExhausted) {
						owed = max(owed, total-spent-size)
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		running.Wait()
		if spent > total {
			t.Errorf("%d spent of %d", spent, total)
		}
		if spent < total*97/100 {
			t.Errorf("only %d spent of %d", spent, total)
		}
		if owed > total*3/100 {
			t.Errorf("a request was refused for good with %d left", owed)
		}
	})
}

// TestRefusalIsAtOnceWhileTheGroupIsOutOfReach allows one exchange to time out
// and then asks again.
func TestRefusalIsAtOnceWhileTheGroupIsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{cut: true}
		h := holder(t, p, "one")
		_, err := h.Reserve(t.Context(), "w", 100)
		if !errors.Is(err, escrow.ErrUnavailable) {
			t.Fatalf("%v", err)
		}
		asked := time.Now()
		_, err = h.Reserve(t.Context(), "w", 100)
		if !errors.Is(err, escrow.ErrUnavailable) || time.Since(asked) > 0 {
			t.Errorf("%v after %s", err, time.Since(asked))
		}
	})
}

func TestExhaustedBudgetIsSaidToBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pool{}
		p.account.SetTotal(1000)
		h := holder(t, p, "one")
		_, err := h.Reserve(t.Context(), "w", 5000)
		if !errors.Is(err, escrow.ErrExhausted) {
			t.Errorf("%v", err)
		}
		p.set(func() { p.account.SetTotal(10_000) })
		time.Sleep(time.Second)
		hold, err := h.Reserve(t.Context(), "w", 5000)
		if err != nil {
			t.Fatalf("a second after a top-up: %v", err)
		}
		hold.Settle(5000)
	})
}

// TestLeavingHolderReturnsAll ends holders one after the other, as a rolling
// restart does: nothing of the budget is lost with them.
func TestLeavingHolderReturnsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 1_000_000
		p := &pool{}
		p.account.SetTotal(total)
		var spent int64
		for _, name := range []string{"one", "two", "three", "four"} {
			h := holder(t, p, name)
			for range 60 {
				hold, err := h.Reserve(t.Context(), "w", 1000)
				if err != nil {
					t.Fatal(err)
				}
				hold.Settle(600)
				spent += 600
				time.Sleep(20 * time.Millisecond)
			}
			h.Leave()
			hold, err := h.Reserve(t.Context(), "w", 1000)
			if err != nil {
				t.Fatalf("a leaving holder serves no more: %v", err)
			}
			hold.Settle(1000)
			spent += 1000
			h.ReturnAll(t.Context())
		}
		p.set(func() {
			if lost := total - total/100 - spent - p.account.Pool; lost != 0 {
				t.Errorf("%d tokens lost with the holders", lost)
			}
		})
	})
}
