package escrow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/escrow"
)

// nearlySpentHolder returns a holder and a reservation of most of its workspace's
// budget.
func nearlySpentHolder(t *testing.T) (*escrow.Holder, *escrow.Reservation) {
	t.Helper()
	g := &fakeGroup{}
	g.account.SetTotal(10_000)
	h := startHolder(t, g, "one")
	first, err := h.Reserve(t.Context(), "w", 8000)
	if err != nil {
		t.Fatal(err)
	}
	return h, first
}

// TestReserveTakesReleasedTokens guards against a waiting request that misses
// tokens released by another one: the budget is nearly spent, and a request in
// progress spends fewer tokens than it reserved.
func TestReserveTakesReleasedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first := nearlySpentHolder(t)
		time.AfterFunc(100*time.Millisecond, func() { first.Settle(3000) })
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		start := time.Now()
		second, err := h.Reserve(ctx, "w", 6000)
		if err != nil || time.Since(start) > 110*time.Millisecond {
			t.Fatalf("got error %v after %s, want a reservation within 110 ms", err, time.Since(start))
		}
		second.Settle(6000)
	})
}

// TestReserveReportsReservedBudget guards against reporting a budget as exhausted
// or unavailable while a request in progress may still release its tokens.
func TestReserveReportsReservedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first := nearlySpentHolder(t)
		defer first.Settle(0)
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := h.Reserve(ctx, "w", 6000)
		if !errors.Is(err, escrow.ErrReserved) {
			t.Errorf("%v", err)
		}
	})
}
