package group

import (
	"fmt"
	"slices"
	"testing"
)

// newGroupWithHolders returns a group with four holders in each of two failure
// domains, each with more tokens than the one before.
func newGroupWithHolders(t *testing.T) *Group {
	t.Helper()
	s := newState()
	s.apply(replacement(t, 1, 10_000_000), nil)
	for number := range 8 {
		result := s.apply(Exchange{
			Epoch:         fmt.Sprintf("e%d", number),
			Instance:      fmt.Sprintf("entry-%d", number),
			FailureDomain: []string{"a", "b"}[number%2],
			Address:       fmt.Sprintf("10.0.0.%d:7", number),
			Workspaces:    map[string]ExchangeItem{"north": {Need: int64(1000 * (number + 1)), Demand: 3600 * 100}},
		}, nil)
		if result.Code != CodeDone {
			t.Fatalf("%+v", result)
		}
	}
	return &Group{state: s}
}

// TestLenderAddressesAreSortedByDomainAndTokens guards against a holder that is
// sent to lenders with few tokens or in another failure domain: lenders of its
// own domain come first, and in each part those with more tokens come first.
func TestLenderAddressesAreSortedByDomainAndTokens(t *testing.T) {
	g := newGroupWithHolders(t)
	got := g.lenders("e0", "north")
	if len(got) != maxNearLenders+maxFarLenders || slices.Contains(got, "10.0.0.0:7") {
		t.Fatalf("lenders %v, want the maximum number without the holder itself", got)
	}
	account := g.state.Accounts["north"]
	last := int64(1 << 62)
	for i, address := range got {
		if i == maxNearLenders {
			last = 1 << 62
		}
		for name, epoch := range g.state.Epochs {
			if epoch.Address != address {
				continue
			}
			if near := epoch.FailureDomain == "a"; near != (i < maxNearLenders) {
				t.Errorf("lender %d is in failure domain %s, want the holder's own domain first", i, epoch.FailureDomain)
			}
			if account.Grants[name].Unspent() > last {
				t.Errorf("lenders %v are not sorted by unspent tokens", got)
			}
			last = account.Grants[name].Unspent()
		}
	}
}

// TestDomainHasTwoDesignatedLenders guards against a failure domain in which no
// holder, or every holder, keeps extra tokens for holders whose own demand is
// far below a large request.
func TestDomainHasTwoDesignatedLenders(t *testing.T) {
	g := newGroupWithHolders(t)
	for _, domain := range []string{"a", "b"} {
		designated := 0
		for name, epoch := range g.state.Epochs {
			account := g.state.Accounts["north"]
			if epoch.FailureDomain == domain && g.state.smallHolderDemand(name, "north", &account) > 0 {
				designated++
			}
		}
		if designated != designatedLenders {
			t.Errorf("failure domain %s has %d designated lenders, want 2", domain, designated)
		}
	}
	g.state.apply(CloseEpoch{Epoch: "e0"}, nil)
	if slices.Contains(g.state.openHolders("a"), "e0") {
		t.Error("a closed epoch is still listed as a holder")
	}
}
