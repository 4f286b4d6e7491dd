package escrow_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/group"
)

// countingGroup counts the exchanges with a fakeGroup.
type countingGroup struct {
	fakeGroup
	exchanges atomic.Int64
}

func (g *countingGroup) Exchange(ctx context.Context, exchange *group.Exchange) (map[string]group.ExchangeResult, error) {
	g.exchanges.Add(1)
	return g.fakeGroup.Exchange(ctx, exchange)
}

// TestExhaustedBudgetIsRefusedAtOnce guards against requests of an exhausted workspace that
// each wait for two exchanges. At a site of hundreds of entries these keep the control group
// too busy to grant tokens to others. A raised total must be noticed all the same.
func TestExhaustedBudgetIsRefusedAtOnce(t *testing.T) {
	const (
		size     = 1000
		requests = 100
		interval = 20 * time.Millisecond
		// maxExchanges is two for each half second, and the regular ones.
		maxExchanges = 16
	)
	synctest.Test(t, func(t *testing.T) {
		g := &countingGroup{}
		g.account.SetTotal(size / 2)
		h := &escrow.Holder{Exchanger: g, Log: log.New(io.Discard), Epoch: "one"}
		h.Start()
		t.Cleanup(h.Close)
		_, err := h.Reserve(t.Context(), "w", size)
		if !errors.Is(err, escrow.ErrExhausted) {
			t.Fatalf("got %v, want ErrExhausted", err)
		}
		g.exchanges.Store(0)
		slow := 0
		for range requests {
			start := time.Now()
			_, err := h.Reserve(t.Context(), "w", size)
			if !errors.Is(err, escrow.ErrExhausted) {
				t.Fatalf("got %v, want ErrExhausted", err)
			}
			if time.Since(start) > 0 {
				slow++
			}
			time.Sleep(interval)
		}
		if g.exchanges.Load() > maxExchanges || slow > requests/10 {
			t.Errorf("%d exchanges and %d of %d requests that waited, want at most %d and %d", g.exchanges.Load(), slow, requests, maxExchanges, requests/10)
		}
		g.update(func() { g.account.SetTotal(100 * size) })
		time.Sleep(500 * time.Millisecond)
		_, err = h.Reserve(t.Context(), "w", size)
		if err != nil {
			t.Errorf("500 ms after the total was raised: got %v, want no error", err)
		}
	})
}
