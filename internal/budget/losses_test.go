package budget

import (
	"fmt"
	"testing"
)

// TestRepeatedCrashesLeaveTokens guards against holders that lose the same part of what is
// left each time they crash together, so that a few crashes use up a total that nobody
// spent. Eight holders with high demand draw up to their targets, crash, and start again
// as new ones, five times.
func TestRepeatedCrashesLeaveTokens(t *testing.T) {
	const (
		total   = 2_000_000
		holders = 8
		crashes = 5
		demand  = 50_000 * 3600
	)
	account := &Account{}
	account.SetTotal(total)
	for crash := range crashes {
		escrows := make([]Escrow, holders)
		for range 3 {
			for holder := range escrows {
				exchangeUpToTarget(t, account, fmt.Sprintf("%d/%d", holder, crash), &escrows[holder], demand)
			}
		}
		for holder := range holders {
			account.Forget(fmt.Sprintf("%d/%d", holder, crash))
		}
		t.Logf("%d tokens left after crash %d", account.Remaining(), crash+1)
	}
	if account.Remaining() < total*3/10 {
		t.Errorf("%d of %d tokens left after %d crashes, want three tenths or more", account.Remaining(), total, crashes)
	}
}

// exchangeUpToTarget draws the tokens that a holder lacks, or returns those that it has
// beyond its target.
func exchangeUpToTarget(t *testing.T, account *Account, name string, e *Escrow, demand int64) {
	t.Helper()
	request := DrawRequest{UpToTarget: true, Demand: demand}
	var target int64
	request.Need, target = account.PlanDraw(name, e.Counters(), request, account.Sums())
	granted, err := account.ExchangePlanned(name, e.Counters(), e.Granted, request)
	if err != nil {
		t.Fatal(err)
	}
	e.Granted = granted
	e.Return(e.IdleUnreserved(target))
}
