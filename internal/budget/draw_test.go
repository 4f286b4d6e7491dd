package budget

import "testing"

// TestDrawAheadLeavesTokensInPool has a second ledger draw ahead before the
// first gave anything back; a third still finds tokens.
func TestDrawAheadLeavesTokensInPool(t *testing.T) {
	account := &Account{}
	account.Deposit(1_000_000)
	for _, epoch := range []string{"first", "second"} {
		account.DrawFor(epoch, 0, DrawRequest{Ahead: true, Demand: 1})
	}
	if account.Pool < 1_000_000/poolDivisor {
		t.Errorf("pool of %d left", account.Pool)
	}
	granted, _ := account.DrawFor("third", 0, DrawRequest{Need: 600})
	if granted != 600 {
		t.Errorf("granted %d of 600 needed", granted)
	}
}
