package group

import (
	"fmt"
	"testing"

	"github.com/cactusbay/cactusbay/internal/budget"
)

// BenchmarkExchange exchanges the counters of 24 workspaces for one entry at a
// time, among 90 entries of which each has restarted once.
func BenchmarkExchange(b *testing.B) {
	const entries, workspaces = 90, 24
	s := newState()
	totals := make(map[string]int64)
	for w := range workspaces {
		totals[fmt.Sprintf("w%02d", w)] = 20_000_000
	}
	s.setBudgets(totals, nil)
	exchange := func(entry, start int) Exchange {
		items := make(map[string]ExchangeItem)
		for w := range totals {
			items[w] = ExchangeItem{Demand: int64(1+entry) * 100_000, Counters: budget.Counters{Billed: 1}, KnownGrant: s.Accounts[w].Grants[fmt.Sprintf("e%d/%d", entry, start)].Granted}
		}
		return Exchange{Epoch: fmt.Sprintf("e%d/%d", entry, start), Instance: fmt.Sprintf("e%d", entry), FailureDomain: fmt.Sprint(entry % 3), Address: fmt.Sprintf("10.0.0.%d:7", entry), Workspaces: items}
	}
	for start := range 2 {
		for entry := range entries {
			for w := range totals {
				account := s.account(w)
				account.Draw(fmt.Sprintf("e%d/%d", entry, start), 0, 10_000)
				s.Accounts[w] = account
			}
			s.apply(exchange(entry, start), nil)
		}
	}
	g := &Group{state: s}
	b.Run("apply", func(b *testing.B) {
		for i := range b.N {
			if r := s.apply(exchange(i%entries, 1), nil); r.Code != CodeDone {
				b.Fatal(r)
			}
		}
	})
	b.Run("lenders", func(b *testing.B) {
		for i := range b.N {
			for w := range totals {
				g.lenders(fmt.Sprintf("e%d/1", i%entries), w)
			}
		}
	})
}
