package budget

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestPlannedExchangesApplyAlikeInAllVersions guards against members of the control group
// that come to different accounts from the same log: earlier versions apply a planned
// exchange as one of a leaving holder, which draws what it needs and no more.
func TestPlannedExchangesApplyAlikeInAllVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newer, older := &Account{}, &Account{}
		setTotal := func(total int64) {
			newer.SetTotal(total)
			older.SetTotal(total)
		}
		setTotal(rapid.Int64Range(0, 2_000_000).Draw(t, "total"))
		escrows := map[string]*Escrow{"a": {}, "b": {}, "c": {}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			e := escrows[name]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				request := DrawRequest{UpToTarget: true, Need: rapid.Int64Range(0, 50_000).Draw(t, "need"), Demand: rapid.Int64Range(0, 1_000_000_000).Draw(t, "demand")}
				var target int64
				request.Need, target = newer.PlanDraw(name, e.Counters(), request, newer.Sums())
				request.UpToTarget = false
				granted, err := newer.ExchangePlanned(name, e.Counters(), e.Granted, request)
				result, olderErr := older.Exchange(name, e.Counters(), e.Granted, request)
				if err != nil || olderErr != nil || granted != result.Granted {
					t.Fatalf("granted %d (%v), by an earlier version %d (%v)", granted, err, result.Granted, olderErr)
				}
				e.Granted = granted
				e.Return(e.IdleUnreserved(target))
			case 2:
				size := rapid.Int64Range(0, 80_000).Draw(t, "size")
				if e.Reserve(size) {
					e.Settle(size, rapid.Int64Range(0, size).Draw(t, "actual"))
				}
			case 3:
				setTotal(rapid.Int64Range(0, 2_000_000).Draw(t, "new total"))
			}
			if !reflect.DeepEqual(newer, older) {
				t.Fatalf("accounts differ: %+v and, in an earlier version, %+v", newer, older)
			}
		}
	})
}
