package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestTotalIsNeverOverspent guards against spending more than the highest total.
// Holders draw, spend, return tokens and crash while the total rises and falls.
func TestTotalIsNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := &Account{}
		highest := int64(0)
		setTotal := func(total int64) {
			account.SetTotal(total)
			highest = max(highest, total)
		}
		setTotal(rapid.Int64Range(0, 2_000_000).Draw(t, "total"))
		escrows := make(map[string]*Escrow)
		var spent int64
		names := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "holder")
			if escrows[name] == nil {
				escrows[name] = &Escrow{}
			}
			e := escrows[name]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				e.Return(e.Idle(account.boundedTarget(account.Grants[name], account.Sums(), account.Remaining())))
				err := account.Report(name, e.Counters())
				if err != nil {
					t.Fatal(err)
				}
				granted := account.drawToBoundedTarget(name, e.Granted, DrawRequest{Need: rapid.Int64Range(0, 80_000).Draw(t, "need"), UpToTarget: true, Demand: rapid.Int64Range(0, 1_000_000_000).Draw(t, "demand")}).Granted
				e.Granted = granted
			case 2, 3:
				size := rapid.Int64Range(0, 80_000).Draw(t, "size")
				if e.Reserve(size) {
					spent += e.Settle(size, rapid.Int64Range(0, size).Draw(t, "actual"))
				}
			case 4:
				account.Close(name)
				delete(escrows, name)
				names = append(names, name+"'")
				names[0] = names[len(names)-1]
			case 5:
				setTotal(rapid.Int64Range(0, 2_000_000).Draw(t, "new total"))
			}
			if err := account.Check(); err != nil {
				t.Fatal(err)
			}
		}
		if spent > highest {
			t.Fatalf("spent %d tokens, want at most the highest total of %d", spent, highest)
		}
	})
}

// TestLoweredTotalIsCollectedFromReturns guards against a lowered total that leaves
// tokens spendable: the pool holds too few to cover the difference, so the tokens
// that a holder returns must cover it.
func TestLoweredTotalIsCollectedFromReturns(t *testing.T) {
	account := &Account{}
	account.SetTotal(1000)
	granted := account.drawToBoundedTarget("a", 0, DrawRequest{Need: 900}).Granted
	account.SetTotal(500)
	if account.Remaining() != 495 {
		t.Errorf("got %d tokens remaining, want the total of 500 less its margin", account.Remaining())
	}
	err := account.Report("a", Counters{Returned: granted})
	if err != nil {
		t.Fatal(err)
	}
	account.drawToBoundedTarget("a", granted, DrawRequest{})
	if account.Pool != 495 || account.Owed != 0 {
		t.Errorf("got a pool of %d and %d owed, want 495 and 0", account.Pool, account.Owed)
	}
}

// TestPoolCoversLargeRequest guards against targets that spread a budget so thinly
// over holders that a large request is refused. Nine holders with equal demand draw
// ahead and return the excess over their targets, as they do each second: the pool
// must still cover a large request.
func TestPoolCoversLargeRequest(t *testing.T) {
	const (
		total   = 1_200_000
		largest = 80_000
	)
	account := &Account{}
	account.SetTotal(total)
	escrows := make(map[string]*Escrow)
	for range 3 {
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			e := escrows[name]
			if e == nil {
				e = &Escrow{}
				escrows[name] = e
			}
			e.Return(e.Idle(account.boundedTarget(account.Grants[name], account.Sums(), account.Remaining())))
			err := account.Report(name, e.Counters())
			if err != nil {
				t.Fatal(err)
			}
			e.Granted = account.drawToBoundedTarget(name, e.Granted, DrawRequest{UpToTarget: true, Demand: 500_000_000}).Granted
		}
	}
	before := escrows["a"].Granted
	granted := account.drawToBoundedTarget("a", before, DrawRequest{Need: largest, UpToTarget: true, Demand: 500_000_000}).Granted
	if granted-before < largest {
		t.Errorf("a request for %d tokens drew %d, want at least as many as requested; %d remain in the pool", largest, granted-before, account.Pool)
	}
}
