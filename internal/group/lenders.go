package group

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/budget"
)

const (
	// maxNearLenders and maxFarLenders bound the lenders that an exchange
	// returns to a holder, inside and outside its failure domain.
	maxNearLenders = 3
	maxFarLenders  = 3
	// designatedLenders is how many holders in a failure domain hold extra
	// tokens of a workspace for the small holders there. A second one covers
	// the failure of the first.
	designatedLenders = 2
	// smallHolderLimit is the demand, in tokens per hour, below which a holder's
	// own tokens do not cover a single large request.
	smallHolderLimit = 3000 * 3600
	// rankingIntervalPerHolder is the time for each holder of a workspace's tokens
	// between two comparisons of these holders.
	rankingIntervalPerHolder = time.Millisecond
)

// lender is a holder that other holders may borrow from, with its unspent
// tokens.
type lender struct {
	address string
	unspent int64
}

// lenderRanking holds up to limit lenders, those with the most unspent tokens
// first.
type lenderRanking struct {
	lenders []lender
	limit   int
}

// add inserts a lender at its rank. Beyond the limit, the last one is dropped.
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

// workspaceLenders are the holders with the most unspent tokens of a workspace in each
// failure domain, as of rankedAt.
type workspaceLenders struct {
	rankedAt time.Time
	// holders is the number of grants that were compared.
	holders  int
	byDomain map[string]*lenderRanking
}

// expired reports whether the holders must be compared again. The time between two
// comparisons grows with their number, so that these cost the same at any number.
func (w *workspaceLenders) expired(now time.Time) bool {
	return w == nil || now.Sub(w.rankedAt) >= time.Duration(w.holders)*rankingIntervalPerHolder
}

// lenders returns the addresses of the holders with the most unspent tokens of
// a workspace, except epoch itself. Those in its failure domain come first.
func (g *Group) lenders(epoch, workspace string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	ranked := g.rankedLenders(workspace)
	domain := g.state.Epochs[epoch].FailureDomain
	own := g.state.Epochs[epoch].Address
	near := lenderRanking{limit: maxNearLenders}
	far := lenderRanking{limit: maxFarLenders}
	for name, ranking := range ranked.byDomain {
		nearOrFar := &far
		if name == domain {
			nearOrFar = &near
		}
		for _, l := range ranking.lenders {
			if l.address != own {
				nearOrFar.add(l)
			}
		}
	}
	var addresses []string
	for _, l := range append(near.lenders, far.lenders...) {
		addresses = append(addresses, l.address)
	}
	return addresses
}

// rankedLenders returns the lenders of a workspace; mu is held.
func (g *Group) rankedLenders(workspace string) *workspaceLenders {
	now := time.Now()
	ranked := g.lendersByWorkspace[workspace]
	if !ranked.expired(now) {
		return ranked
	}
	ranked = g.state.rankLenders(workspace)
	ranked.rankedAt = now
	if g.lendersByWorkspace == nil {
		g.lendersByWorkspace = make(map[string]*workspaceLenders)
	}
	g.lendersByWorkspace[workspace] = ranked
	return ranked
}

// rankLenders compares all holders of a workspace's tokens.
func (s *state) rankLenders(workspace string) *workspaceLenders {
	grants := s.Accounts[workspace].Grants
	ranked := &workspaceLenders{holders: len(grants), byDomain: make(map[string]*lenderRanking)}
	for name, grant := range grants {
		if grant.Closed || grant.Unspent() <= 0 {
			continue
		}
		holder := s.Epochs[name]
		if holder.Address == "" {
			continue
		}
		ranking := ranked.byDomain[holder.FailureDomain]
		if ranking == nil {
			// One more than a holder is told of, because it may be among them.
			ranking = &lenderRanking{limit: max(maxNearLenders, maxFarLenders) + 1}
			ranked.byDomain[holder.FailureDomain] = ranking
		}
		ranking.add(lender{address: holder.Address, unspent: grant.Unspent()})
	}
	return ranked
}

// smallHolderDemand returns the part of the small holders' demand, in tokens per
// hour, that epoch holds tokens for. It is 0 unless epoch is a designated
// lender of the workspace in its failure domain.
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

// isDesignatedLender reports whether epoch is one of the workspace's designated
// lenders among holders. A hash of the name spreads the workspaces over the
// holders. With no more holders than designatedLenders there are none.
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

// openHolders returns the sorted open epochs of the holders in a failure
// domain.
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
