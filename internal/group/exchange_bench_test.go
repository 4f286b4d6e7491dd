package group

import (
	"fmt"
	"testing"

	"github.com/cactusbay/cactusbay/internal/budget"
)

// BenchmarkExchange exchanges the counters of the workspaces in use for one entry at a
// time, among entries of which each has restarted once and holds tokens of all 40
// workspaces. Planning, applying and ranking lenders must cost the same at any number of
// entries.
func BenchmarkExchange(b *testing.B) {
	for _, entries := range []int{90, 300, 510, 1000} {
		for _, used := range []int{4, 40} {
			b.Run(fmt.Sprintf("entries=%d/workspaces=%d", entries, used), func(b *testing.B) {
				g := &Group{state: stateWithHolders(entries, 40)}
				workspaces := make([]string, used)
				for w := range used {
					workspaces[w] = workspaceName(w)
				}
				b.Run("plan", func(b *testing.B) {
					for i := range b.N {
						g.planExchange(exchangeOf(g.state, i%entries, 1, workspaces))
					}
				})
				b.Run("apply", func(b *testing.B) {
					for i := range b.N {
						exchange := exchangeOf(g.state, i%entries, 1, workspaces)
						exchange.Planned = true
						if r := g.state.apply(*exchange, nil); r.Code != CodeDone {
							b.Fatal(r)
						}
					}
				})
				b.Run("restart", func(b *testing.B) {
					for i := range b.N {
						exchange := exchangeOf(g.state, i%entries, 2+i/entries, nil)
						exchange.Planned = true
						if r := g.state.apply(*exchange, nil); r.Code != CodeDone {
							b.Fatal(r)
						}
					}
				})
				b.Run("lenders", func(b *testing.B) {
					for i := range b.N {
						for _, workspace := range workspaces {
							g.lenders(fmt.Sprintf("e%d/1", i%entries), workspace)
						}
					}
				})
			})
		}
	}
}

func workspaceName(number int) string {
	return fmt.Sprintf("w%02d", number)
}

// stateWithHolders returns a state in which each of the entries has started twice and
// holds tokens of all workspaces.
func stateWithHolders(entries, workspaces int) *state {
	s := newState()
	totals := make(map[string]int64)
	var names []string
	for w := range workspaces {
		totals[workspaceName(w)] = 200_000_000
		names = append(names, workspaceName(w))
	}
	s.setBudgets(totals, nil)
	for start := range 2 {
		for entry := range entries {
			for _, w := range names {
				account := s.Accounts[w]
				account.Draw(fmt.Sprintf("e%d/%d", entry, start), 0, 10_000)
				s.Accounts[w] = account
			}
			exchange := exchangeOf(s, entry, start, names)
			exchange.Planned = true
			s.apply(*exchange, nil)
		}
	}
	s.sums = nil
	return s
}

// exchangeOf returns an exchange of the given run of an entry.
func exchangeOf(s *state, entry, start int, workspaces []string) *Exchange {
	epoch := fmt.Sprintf("e%d/%d", entry, start)
	items := make(map[string]ExchangeItem, len(workspaces))
	for _, w := range workspaces {
		items[w] = ExchangeItem{Demand: int64(1+entry) * 100_000, Counters: budget.Counters{Billed: 1}, KnownGrant: s.Accounts[w].Grants[epoch].Granted}
	}
	return &Exchange{Epoch: epoch, Instance: fmt.Sprintf("e%d", entry), FailureDomain: fmt.Sprint(entry % 6), Address: fmt.Sprintf("10.0.%d.%d:7", entry/250, entry%250), Workspaces: items}
}

// TestSumsFollowEveryChange guards against sums of a workspace's grants that are no longer
// those of its account, which would plan draws from wrong figures: exchanges, planned or
// not, closed and forgotten grants and changed totals.
func TestSumsFollowEveryChange(t *testing.T) {
	s := stateWithHolders(12, 3)
	workspaces := []string{workspaceName(0), workspaceName(1), workspaceName(2)}
	check := func(step string) {
		t.Helper()
		for _, w := range workspaces {
			account := s.Accounts[w]
			if got, want := *s.sumsOf(w), account.Sums(); got != want {
				t.Errorf("after %s: sums of %s are %+v, want %+v", step, w, got, want)
			}
		}
	}
	check("the start")
	for entry := range 12 {
		exchange := exchangeOf(s, entry, 1, workspaces)
		for w, item := range exchange.Workspaces {
			item.Need = int64(1000 * entry)
			item.Counters.Billed = int64(10 * entry)
			item.Counters.Reserved = int64(7 * entry)
			exchange.Workspaces[w] = item
		}
		exchange.Planned = entry%2 == 0
		s.apply(*exchange, nil)
		check("an exchange")
	}
	s.apply(*exchangeOf(s, 3, 2, workspaces), nil)
	check("a restart")
	s.apply(CloseEpoch{Epoch: "e4/1"}, nil)
	check("the end of an epoch")
	s.setBudgets(map[string]int64{workspaceName(1): 90_000_000}, nil)
	check("a lower total")
	s.apply(Deposit{ID: "d", Workspace: workspaceName(2), Tokens: 5000}, nil)
	check("a deposit")
}
