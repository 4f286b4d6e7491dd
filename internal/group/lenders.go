package group

import (
	"hash/fnv"
	"slices"

	"github.com/cactusbay/cactusbay/internal/budget"
)

const (
	// maxNearLenders and lendersFar bound the lenders that a holder is told of in
	// its own failure domain and elsewhere.
	maxNearLenders = 3
	maxFarLenders  = 3
	// designatedLenders is how many holders of a failure domain hold tokens for the
	// small holders there: one may be gone.
	designatedLenders = 2
	// smallHolderLimit is the demand, in tokens an hour, below which a holder's own
	// tokens do not cover single large requests.
	smallHolderLimit = 3000 * 3600
)

// lender is a holder as others may borrow from it.
type lender struct {
	address string
	unspent int64
}

// lenderRanking is the lenders with most tokens, most first.
type lenderRanking struct {
	lenders []lender
	limit   int
}

func (r *lenderRanking) add(l lender) {
	at := len(r.lenders)
	for at > 0 && r.lenders[at-1].unspent < l.unspent {
		at--
	}
	if at == r.limit {
		return
	}
	r.lenders = slices.Insert(r.lenders, at, l)
	r.lenders = r.lenders[:min(len(r.lenders), r.limit)]
}

// lenders returns the addresses of the holders with the most unspent tokens of
// a workspace, but for epoch's own.
func (g *Group) lenders(epoch, workspace string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	domain := g.state.Epochs[epoch].FailureDomain
	near := lenderRanking{limit: maxNearLenders}
	far := lenderRanking{limit: maxFarLenders}
	for name, grant := range g.state.Accounts[workspace].Grants {
		if name == epoch || grant.Closed || grant.Unspent() <= 0 {
			continue
		}
		other := g.state.Epochs[name]
		if other.Address == "" {
			continue
		}
		rank := &far
		if other.FailureDomain == domain {
			rank = &near
		}
		rank.add(lender{address: other.Address, unspent: grant.Unspent()})
	}
	var addresses []string
	for _, l := range append(near.lenders, far.lenders...) {
		addresses = append(addresses, l.address)
	}
	return addresses
}

// smallHolderDemand returns the demand of the small holders of epoch's failure domain for
// which epoch holds tokens, in tokens an hour: 0 unless it is a home of the
// workspace there.
func (s *state) smallHolderDemand(epoch, workspace string, account *budget.Account) int64 {
	domain := s.Epochs[epoch].FailureDomain
	holders := s.openHolders(domain)
	if !isDesignatedLender(holders, epoch, workspace) {
		return 0
	}
	var demand int64
	for _, name := range holders {
		grant := account.Grants[name]
		if name != epoch && !grant.Closed && grant.Demand < smallHolderLimit {
			demand += grant.Demand
		}
	}
	return demand / designatedLenders
}

// isDesignatedLender tells whether epoch is one of the workspace's homes among holders. The
// workspaces are spread over the holders.
func isDesignatedLender(holders []string, epoch, workspace string) bool {
	if len(holders) <= designatedLenders {
		return false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(workspace))
	first := int(hash.Sum32() % uint32(len(holders)))
	for i := range designatedLenders {
		if holders[(first+i)%len(holders)] == epoch {
			return true
		}
	}
	return false
}

// openHolders returns the open epochs of a failure domain in order.
func (s *state) openHolders(domain string) []string {
	if s.holdersByDomain == nil {
		s.holdersByDomain = make(map[string][]string)
		for name, epoch := range s.Epochs {
			if !epoch.Closed && epoch.Address != "" {
				s.holdersByDomain[epoch.FailureDomain] = append(s.holdersByDomain[epoch.FailureDomain], name)
			}
		}
		for _, names := range s.holdersByDomain {
			slices.Sort(names)
		}
	}
	return s.holdersByDomain[domain]
}
