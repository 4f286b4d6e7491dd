package budget

import "testing"

// TestDrawAheadLeavesTokensInPool guards against draws ahead that empty the pool:
// two ledgers draw ahead and return nothing, and a third must still find tokens.
func TestDrawAheadLeavesTokensInPool(t *testing.T) {
	account := &Account{}
	account.Deposit(1_000_000)
	for _, epoch := range []string{"first", "second"} {
		account.DrawFor(epoch, 0, DrawRequest{UpToTarget: true, Demand: 1})
	}
	if account.Pool < 1_000_000/poolDivisor {
		t.Errorf("got a pool of %d tokens, want at least 1/8 of the deposit", account.Pool)
	}
	granted, _ := account.DrawFor("third", 0, DrawRequest{Need: 600})
	if granted != 600 {
		t.Errorf("granted %d tokens, want the 600 needed", granted)
	}
}
