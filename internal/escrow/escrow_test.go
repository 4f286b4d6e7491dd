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

// commitTime is how long an exchange with fakeGroup takes.
const commitTime = 10 * time.Millisecond

// fakeGroup is a fake control group with a single workspace.
type fakeGroup struct {
	mu      sync.Mutex
	account budget.Account
	// unreachable makes every exchange hang until its context ends.
	unreachable bool
	// responsesToLose is how many of the next exchanges are applied but return an
	// error.
	responsesToLose int
	// lenders are the addresses in the results; a holder does not get its own.
	lenders []string
}

func (g *fakeGroup) Exchange(ctx context.Context, exchange *group.Exchange) (map[string]group.ExchangeResult, error) {
	g.mu.Lock()
	unreachable := g.unreachable
	g.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleep.For(ctx, commitTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	results := make(map[string]group.ExchangeResult)
	for workspace, item := range exchange.Workspaces {
		result, err := g.exchangeAccount(exchange.Epoch, item)
		if err != nil {
			return nil, err
		}
		result.Lenders = g.lendersExcept(exchange.Epoch)
		results[workspace] = result
	}
	if g.responsesToLose > 0 {
		g.responsesToLose--
		return nil, errors.New("the response was lost")
	}
	return results, nil
}

// exchangeAccount plans and applies an exchange as a control instance does.
func (g *fakeGroup) exchangeAccount(epoch string, item group.ExchangeItem) (group.ExchangeResult, error) {
	request := budget.DrawRequest{Need: item.Need, UpToTarget: !item.Leaving, Demand: item.Demand}
	need, target := g.account.PlanDraw(epoch, item.Counters, request, g.account.Sums())
	request.Need = need
	granted, err := g.account.ExchangePlanned(epoch, item.Counters, item.KnownGrant, request)
	sums := g.account.Sums()
	return group.ExchangeResult{Granted: granted, Target: target, Unspent: g.account.RemainingOf(sums), Reserved: sums.Reserved}, err
}

func (g *fakeGroup) lendersExcept(epoch string) []string {
	var addresses []string
	for _, lender := range g.lenders {
		if lender != epoch && !slices.Contains(addresses, lender) {
			addresses = append(addresses, lender)
		}
	}
	return addresses
}

func (g *fakeGroup) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func startHolder(t *testing.T, g *fakeGroup, epoch string) *escrow.Holder {
	t.Helper()
	h := &escrow.Holder{Exchanger: g, Log: log.New(io.Discard), Epoch: epoch}
	h.Start()
	t.Cleanup(h.Close)
	return h
}

// TestHolderServesWhileGroupIsUnreachable guards against a holder that draws too
// few tokens ahead: it would refuse requests within seconds after the control
// group became unreachable, or after it became reachable again.
func TestHolderServesWhileGroupIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{}
		g.account.SetTotal(10_000_000)
		h := startHolder(t, g, "one")
		const size = 1000
		serve := func(seconds int) (refused int) {
			for range seconds * 20 {
				reservation, err := h.Reserve(t.Context(), "w", size)
				if err != nil {
					refused++
				} else {
					reservation.Settle(size)
				}
				time.Sleep(50 * time.Millisecond)
			}
			return refused
		}
		if refused := serve(5); refused > 0 {
			t.Errorf("%d requests refused while the control group was reachable, want 0", refused)
		}
		g.update(func() { g.unreachable = true })
		if refused := serve(8); refused > 0 {
			t.Errorf("%d requests refused within 8 s after the control group became unreachable, want 0", refused)
		}
		g.update(func() { g.unreachable = false })
		time.Sleep(3 * time.Second)
		if refused := serve(1); refused > 0 {
			t.Errorf("%d requests refused after the control group became reachable again, want 0", refused)
		}
	})
}

// TestHoldersSpendNoMoreThanTheTotal guards against tokens that are granted twice
// or lost when the response to an exchange is lost. Three holders spend the whole
// budget while responses are lost.
func TestHoldersSpendNoMoreThanTheTotal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 400_000
		g := &fakeGroup{}
		g.account.SetTotal(total)
		var mu sync.Mutex
		var spent, remainingAtRefusal int64
		var running sync.WaitGroup
		for _, name := range []string{"one", "two", "three"} {
			h := startHolder(t, g, name)
			running.Go(func() {
				for i := range 400 {
					if i%17 == 0 {
						g.update(func() { g.responsesToLose++ })
					}
					size := int64(500 + 37*(i%100))
					reservation, err := h.Reserve(t.Context(), "w", size)
					mu.Lock()
					if err == nil {
						reservation.Settle(size)
						spent += size
					} else if errors.Is(err, escrow.ErrExhausted) {
						remainingAtRefusal = max(remainingAtRefusal, total-spent-size)
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		running.Wait()
		if spent > total {
			t.Errorf("%d tokens spent, want at most %d", spent, total)
		}
		if spent < total*97/100 {
			t.Errorf("%d tokens spent of a total of %d, want at least 97%%", spent, total)
		}
		if remainingAtRefusal > total*3/100 {
			t.Errorf("a request was refused as exhausted with %d tokens unspent, want at most 3%% of the total", remainingAtRefusal)
		}
	})
}

// TestReserveFailsFastWhileGroupIsUnreachable guards against requests that each
// wait for an exchange to time out: only the first request may wait.
func TestReserveFailsFastWhileGroupIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{unreachable: true}
		h := startHolder(t, g, "one")
		_, err := h.Reserve(t.Context(), "w", 100)
		if !errors.Is(err, escrow.ErrUnavailable) {
			t.Fatalf("%v", err)
		}
		start := time.Now()
		_, err = h.Reserve(t.Context(), "w", 100)
		if !errors.Is(err, escrow.ErrUnavailable) || time.Since(start) > 0 {
			t.Errorf("second Reserve: got error %v after %s, want ErrUnavailable at once", err, time.Since(start))
		}
	})
}

// TestReserveReportsExhaustedBudget guards against reporting an exhausted budget as
// temporarily unavailable, and against reporting it as exhausted after a top-up.
func TestReserveReportsExhaustedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{}
		g.account.SetTotal(1000)
		h := startHolder(t, g, "one")
		_, err := h.Reserve(t.Context(), "w", 5000)
		if !errors.Is(err, escrow.ErrExhausted) {
			t.Errorf("%v", err)
		}
		g.update(func() { g.account.SetTotal(10_000) })
		time.Sleep(time.Second)
		reservation, err := h.Reserve(t.Context(), "w", 5000)
		if err != nil {
			t.Fatalf("Reserve one second after a top-up: %v", err)
		}
		reservation.Settle(5000)
	})
}

// TestLeavingHolderReturnsAllTokens guards against tokens lost in a rolling
// restart. It stops holders one after the other; each must serve requests while it
// is leaving and return its unspent tokens before it ends.
func TestLeavingHolderReturnsAllTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total = 1_000_000
		g := &fakeGroup{}
		g.account.SetTotal(total)
		var spent int64
		for _, name := range []string{"one", "two", "three", "four"} {
			h := startHolder(t, g, name)
			for range 60 {
				reservation, err := h.Reserve(t.Context(), "w", 1000)
				if err != nil {
					t.Fatal(err)
				}
				reservation.Settle(600)
				spent += 600
				time.Sleep(20 * time.Millisecond)
			}
			h.Leave()
			reservation, err := h.Reserve(t.Context(), "w", 1000)
			if err != nil {
				t.Fatalf("Reserve on a leaving holder: %v", err)
			}
			reservation.Settle(1000)
			spent += 1000
			h.ReturnAll(t.Context())
		}
		g.update(func() {
			if lost := total - total/100 - spent - g.account.Pool; lost != 0 {
				t.Errorf("%d tokens lost with the holders, want 0", lost)
			}
		})
	})
}
