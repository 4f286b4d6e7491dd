package escrow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/escrow"
)

// nearlySpent returns a holder of a budget most of which a request in progress
// has reserved.
func nearlySpent(t *testing.T) (*escrow.Holder, *escrow.Hold) {
	t.Helper()
	p := &pool{}
	p.account.SetTotal(10_000)
	h := holder(t, p, "one")
	first, err := h.Reserve(t.Context(), "w", 8000)
	if err != nil {
		t.Fatal(err)
	}
	return h, first
}

// TestRequestTakesWhatAnotherFrees plays a budget that is nearly spent: a
// request in progress holds the rest and needs less in the end.
func TestRequestTakesWhatAnotherFrees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first := nearlySpent(t)
		time.AfterFunc(100*time.Millisecond, func() { first.Settle(3000) })
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		asked := time.Now()
		second, err := h.Reserve(ctx, "w", 6000)
		if err != nil || time.Since(asked) > 110*time.Millisecond {
			t.Fatalf("%v after %s", err, time.Since(asked))
		}
		second.Settle(6000)
	})
}

// TestReservedRestIsSaidToBe asks for what a request in progress holds.
func TestReservedRestIsSaidToBe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, first := nearlySpent(t)
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
