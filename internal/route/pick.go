package route

import (
	"math/rand/v2"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// affinityBound is the highest load of a server, relative to the mean load,
	// at which it is preferred for a prompt prefix.
	affinityBound = 1.25
	// affinitySlack is added to the load bound, so that prefix affinity also
	// holds while almost no requests run.
	affinitySlack = 0.1
	// spilloverLoad is the relative load of the entry's own failure domain
	// above which servers of other domains are preferred too.
	spilloverLoad = 0.8
	// nearbyPenalty is the cost added for a server in another failure domain below
	// spilloverLoad, and spilloverPenalty above it.
	nearbyPenalty    = 60 * time.Millisecond
	spilloverPenalty = 4 * time.Millisecond
	// maxCosted is about how many candidates' costs are compared. Of more, a random
	// part is, with those that hold the prompt's prefix and the preferred one.
	maxCosted = 128
	// refusalMemory is how long a refusal counts against a server.
	refusalMemory = 2 * time.Second
)

var (
	// engineWeights are the weights for model engines, which process long prompts in
	// chunks, so that only a part of the backlog delays a request. A pick adds
	// CrossDomain.
	engineWeights = place.Weights{
		Refusal:   200 * time.Millisecond,
		Occupancy: 60 * time.Millisecond,
		Backlog:   0.3,
		Affinity:  60 * time.Millisecond,
	}
	// plainWeights are the weights for servers that run no model. Occupancy is how
	// long a request holds a slot.
	plainWeights = place.Weights{
		Refusal:   200 * time.Millisecond,
		Occupancy: 25 * time.Millisecond,
	}
	// engineSpeed is the speed of a model engine that also generates tokens.
	engineSpeed = place.Speed{TokensPerMs: 4.2}
)

// Query describes the request to route. It may be reused, but not by several
// goroutines at once.
type Query struct {
	Now           time.Time
	FailureDomain string
	// Prompt is nil for requests that run no model.
	Prompt *place.Prompt
	// Headroom is the percentage of each limit that must stay free.
	Headroom int
	// Tried holds the names of servers that must not be picked.
	Tried map[string]bool
	// Random chooses between equal candidates; nil means the global source.
	Random *rand.Rand

	// Prefixes holds what was sent to the servers; nil means that nothing is known.
	Prefixes *Prefixes

	// candidates is a buffer that the next pick reuses.
	candidates []candidate
}

// Dispatch counts the request as sent to a server. Call Server.Finish when it ends.
func (q *Query) Dispatch(s *Server) {
	s.Dispatch(q.Now)
	if q.Prompt == nil {
		return
	}
	q.Prefixes.mark(q.Prompt)
	prefill := s.prefillTime(q.Prompt)
	q.Prefixes.unmark(q.Prompt)
	s.prefillUntil = max(s.prefillUntil, q.Now.UnixNano()) + prefill.Nanoseconds()
	q.Prefixes.record(q.Prompt, s, q.Now)
}

// Policy chooses among the servers with room: LowestCost, *RoundRobin, Random or
// LeastReported. Nil means LowestCost.
type Policy interface {
	isPolicy()
}

// LowestCost picks the server with the lowest cost by place.Weights, and a random one
// of those with the same cost. It prefers the entry's own failure domain.
type LowestCost struct{}

func (LowestCost) isPolicy() {}

// Pick returns a server that has room, which means that its load is below its
// limit, or nil. It counts nothing: the caller calls Query.Dispatch.
func Pick(policy Policy, servers []*Server, q *Query) *Server {
	switch policy := policy.(type) {
	case *RoundRobin:
		return policy.pick(servers, q)
	case Random:
		return pickRandom(servers, q)
	case LeastReported:
		return pickLeastReported(servers, q)
	default:
		return pickLowestCost(servers, q)
	}
}

// HasCandidate reports whether any server could take the request once it has
// room.
func HasCandidate(servers []*Server, tried map[string]bool) bool {
	for _, s := range servers {
		if !s.isExcluded() && !tried[s.Name] {
			return true
		}
	}
	return false
}

// candidate is a server that may be picked, with its load and limit at the time
// of the query.
type candidate struct {
	server *Server
	load   int
	limit  int
}

func (c *candidate) hasRoom() bool {
	return c.load < c.limit
}

// totals sums the loads and limits of candidates and counts those with room.
type totals struct {
	load     int
	limit    int
	withRoom int
}

func (t *totals) add(c *candidate) {
	t.load += c.load
	t.limit += c.limit
	if c.load < c.limit {
		t.withRoom++
	}
}

// relativeLoad returns the total load as a fraction of the total limit.
func (t totals) relativeLoad() float64 {
	return float64(t.load) / float64(max(1, t.limit))
}

// pickLowestCost considers other failure domains only if the own one has no cheaper
// server. Ejected servers are picked only if there is no other candidate.
func pickLowestCost(servers []*Server, q *Query) *Server {
	if q.Prompt != nil {
		q.Prefixes.mark(q.Prompt)
		defer q.Prefixes.unmark(q.Prompt)
	}
	ownDomain := collectCandidates(servers, q, true, false)
	nearby := ownDomain.withRoom > 0 && ownDomain.relativeLoad() < spilloverLoad
	if nearby {
		best, cost := cheapest(q, ownDomain, nearby)
		if cost <= q.minOtherCost() {
			return best
		}
	}
	all := collectCandidates(servers, q, false, false)
	if len(q.candidates) == 0 {
		all = collectCandidates(servers, q, false, true)
	}
	if nearby {
		all = ownDomain
	}
	best, _ := cheapest(q, all, nearby)
	return best
}

// minOtherCost returns the lowest cost that a server of another failure domain can have
// below spilloverLoad.
func (q *Query) minOtherCost() time.Duration {
	if q.Prompt == nil {
		return nearbyPenalty
	}
	var prefix int64
	for _, segment := range q.Prompt.Prefix {
		prefix += segment.Tokens
	}
	return nearbyPenalty + engineSpeed.Prefill(0, max(0, q.Prompt.Tokens-prefix))
}

// cheapest returns the candidate with room that has the lowest cost, and the cost. t are
// the totals of the servers of which one is preferred: with nearby set, those of the own
// failure domain, and others cost more.
func cheapest(q *Query, t totals, nearby bool) (*Server, time.Duration) {
	weights := plainWeights
	var preferred *Server
	if q.Prompt != nil {
		weights = engineWeights
		preferred = q.preferred(t, nearby)
	}
	weights.CrossDomain = spilloverPenalty
	if nearby {
		weights.CrossDomain = nearbyPenalty
	}
	stride := max(1, len(q.candidates)/maxCosted)
	best, lowest := cheapestOf(q, &weights, preferred, stride)
	if best == nil && stride > 1 {
		return cheapestOf(q, &weights, preferred, 1)
	}
	return best, lowest
}

// cheapestOf compares the costs of every stride-th candidate, from a random one on, of
// those that hold the prefix and of the preferred one. It returns nil if none of them
// has room.
func cheapestOf(q *Query, weights *place.Weights, preferred *Server, stride int) (*Server, time.Duration) {
	domain := Hash(q.FailureDomain)
	now := q.Now.UnixNano()
	var best *Server
	var lowest, uncachedPrefill time.Duration
	if q.Prompt != nil {
		uncachedPrefill = engineSpeed.Prefill(0, q.Prompt.Tokens)
	}
	var input place.Candidate
	ties := 1
	next := 0
	if stride > 1 {
		next = random(q, stride)
	}
	for i := range q.candidates {
		c := &q.candidates[i]
		if i == next {
			next += stride
		} else if c.server.cached == 0 && c.server != preferred {
			continue
		}
		if !c.hasRoom() {
			continue
		}
		input.OtherDomain = c.server.domain != domain
		input.Refusal = c.server.refusal(now)
		input.Running = c.load
		input.Slots = c.limit
		input.Backlog = c.server.backlog(now)
		input.Prefill = uncachedPrefill
		if c.server.cached > 0 {
			input.Prefill = c.server.prefillTime(q.Prompt)
		}
		input.Preferred = c.server == preferred
		cost := weights.Cost(&input)
		switch {
		case best == nil || cost < lowest:
			best, lowest, ties = c.server, cost, 1
		case cost == lowest:
			ties++
			if random(q, ties) == 0 {
				best = c.server
			}
		}
	}
	return best, lowest
}

// preferred returns the candidate with the highest rendezvous weight for the last
// prefix segment among those with room and below the load bound, or nil.
func (q *Query) preferred(t totals, nearby bool) *Server {
	if len(q.Prompt.Prefix) == 0 {
		return nil
	}
	prefix := q.Prompt.Prefix[len(q.Prompt.Prefix)-1].ID
	bound := t.relativeLoad()*affinityBound + affinitySlack
	domain := Hash(q.FailureDomain)
	var best *Server
	var bestWeight uint64
	for i := range q.candidates {
		c := &q.candidates[i]
		if !c.hasRoom() || float64(c.load) > bound*float64(c.limit) || nearby && c.server.domain != domain {
			continue
		}
		weight := rendezvousWeight(c.server.hash, prefix)
		if best == nil || weight > bestWeight {
			best = c.server
			bestWeight = weight
		}
	}
	return best
}

// collectCandidates fills q.candidates with the servers that may be picked and
// returns their totals. With ownDomainOnly it skips other failure domains;
// ejected servers are included only with includeEjected.
func collectCandidates(servers []*Server, q *Query, ownDomainOnly, includeEjected bool) totals {
	var total totals
	if cap(q.candidates) < len(servers) {
		q.candidates = make([]candidate, len(servers))
	}
	q.candidates = q.candidates[:len(servers)]
	now := q.Now.UnixNano()
	domain := Hash(q.FailureDomain)
	n := 0
	for _, s := range servers {
		if ownDomainOnly && s.domain != domain {
			continue
		}
		if s.isExcluded() || !includeEjected && now < s.ejectedUntil {
			continue
		}
		if len(q.Tried) > 0 && q.Tried[s.Name] {
			continue
		}
		c := &q.candidates[n]
		n++
		c.server = s
		c.load = s.load(now)
		c.limit = s.limit(now)
		c.limit -= c.limit * q.Headroom / 100
		total.add(c)
	}
	q.candidates = q.candidates[:n]
	return total
}

// random returns a random number in [0, n).
func random(q *Query, n int) int {
	if q.Random == nil {
		return rand.IntN(n)
	}
	return q.Random.IntN(n)
}
