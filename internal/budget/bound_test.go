package budget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestPlannedTargetsGrowByATenthAtMost guards against holders that together lose much more
// of a total when all crash than the bound of earlier versions allows, whatever their
// number, their demand and what is left.
func TestPlannedTargetsGrowByATenthAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := &Account{}
		account.SetTotal(rapid.Int64Range(0, 50_000_000).Draw(t, "total"))
		demand := rapid.OneOf(rapid.Int64Range(0, 1_000_000), rapid.Int64Range(0, 1_000_000_000))
		for holder := range rapid.IntRange(1, 90).Draw(t, "holders") {
			account.setGrant(fmt.Sprint(holder), Grant{Demand: demand.Draw(t, "demand"), DelegatedDemand: demand.Draw(t, "delegated demand")})
		}
		remaining := rapid.Int64Range(0, account.Deposited).Draw(t, "remaining")
		sums := account.Sums()
		var before, planned int64
		for _, grant := range account.Grants {
			before += account.boundedTarget(grant, sums, remaining)
			planned += account.targetBoundedBy(grant, sums, remaining, plannedManyHoldersDivisor)
		}
		if float64(planned) > float64(before)*1.1+float64(sums.Holders) {
			t.Fatalf("targets of %d tokens in all, more than a tenth above %d", planned, before)
		}
	})
}
