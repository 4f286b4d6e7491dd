package escrow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/escrow"
)

// nearlySpentHolder returns a holder of a budget most of which a request in progress
// has reserved.
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

// TestReserveTakesReleasedTokens plays a budget that is nearly spent: a
// request in progress holds the rest and needs less in the end.
func TestReserveTakesReleasedTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first := nearlySpentHolder(t)
		time.AfterFunc(100*time.Millisecond, func() { first.Settle(3000) })
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		start := time.Now()
		second, err := h.Reserve(ctx, "w", 6000)
		if err != nil || time.Since(start) > 110*time.Millisecond {
			t.Fatalf("%v after %s", err, time.Since(start))
		}
		second.Settle(6000)
	})
}

// TestReserveReportsReservedBudget asks for what a request in progress holds.
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
