package route

import (
	"math/rand/v2"
	"time"
)

const (
	// affinityBound is the highest load of a server, relative to the mean load,
	// at which requests still go to it for its cached prefix.
	affinityBound = 1.25
	// affinitySlack is added to the load bound, so that prefix affinity also
	// holds while almost no requests run.
	affinitySlack = 0.1
	// spilloverLoad is the relative load of the entry's own failure domain
	// above which servers of other domains are used too.
	spilloverLoad = 0.9
)

// Query describes the request to route. It may be reused, but not by several
// goroutines at once.
type Query struct {
	Now           time.Time
	FailureDomain string
	// Prefix is the affinity key of the prompt, from PrefixHash; 0 means no
	// affinity.
	Prefix uint64
	// Headroom is the percentage of each limit that must stay free.
	Headroom int
	// Tried holds the names of servers that must not be picked.
	Tried map[string]bool
	// Random chooses between equal candidates; nil means the global source.
	Random *rand.Rand

	// candidates is a buffer that the next pick reuses.
	candidates []candidate
}

// Policy chooses among the servers with room: Balanced, *RoundRobin, Random or
// LeastReported. Nil means Balanced.
type Policy interface {
	isPolicy()
}

// Balanced picks the server preferred for the prompt prefix unless it is too
// loaded, and otherwise the less loaded of two random servers. It prefers the
// entry's own failure domain.
type Balanced struct{}

func (Balanced) isPolicy() {}

// Pick returns a server that has room, which means that its load is below its
// limit, or nil. It counts nothing: the caller calls Server.Dispatch.
func Pick(policy Policy, servers []*Server, q *Query) *Server {
	switch policy := policy.(type) {
	case *RoundRobin:
		return policy.pick(servers, q)
	case Random:
		return pickRandom(servers, q)
	case LeastReported:
		return pickLeastReported(servers, q)
	default:
		return pickBalanced(servers, q)
	}
}

// HasCandidate reports whether any server could take the request once it has
// room.
func HasCandidate(servers []*Server, tried map[string]bool) bool {
	for _, s := range servers {
		if !s.isLeaving() && !tried[s.Name] {
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

// relativeLoad returns the load, including the new request, as a fraction of
// the limit.
func (c *candidate) relativeLoad() float64 {
	return float64(c.load+1) / float64(c.limit)
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

// pickBalanced picks in the entry's own failure domain while that is below
// spilloverLoad, and in all domains otherwise. Ejected servers are picked only if
// there is no other candidate.
func pickBalanced(servers []*Server, q *Query) *Server {
	ownDomain := collectCandidates(servers, q, true, false)
	if ownDomain.withRoom > 0 && ownDomain.relativeLoad() < spilloverLoad {
		return chooseCandidate(q, ownDomain)
	}
	all := collectCandidates(servers, q, false, false)
	if len(q.candidates) == 0 {
		all = collectCandidates(servers, q, false, true)
	}
	if all.withRoom == 0 {
		return nil
	}
	return chooseCandidate(q, all)
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
		if s.Leaving || s.draining || !includeEjected && now < s.ejectedUntil {
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

// chooseCandidate returns the server preferred for the prefix, if there is one
// below the load bound, or else the less loaded of two random candidates with
// room.
func chooseCandidate(q *Query, t totals) *Server {
	if q.Prefix != 0 {
		best := chooseByPrefix(q, t)
		if best != nil {
			return best
		}
	}
	first := nthWithRoom(q, random(q, t.withRoom))
	second := nthWithRoom(q, random(q, t.withRoom))
	if second.relativeLoad() < first.relativeLoad() {
		return second.server
	}
	return first.server
}

// chooseByPrefix returns the candidate with the highest rendezvous weight among
// those with room and below the load bound, or nil.
func chooseByPrefix(q *Query, t totals) *Server {
	bound := t.relativeLoad()*affinityBound + affinitySlack
	var best *Server
	var bestWeight uint64
	for i := range q.candidates {
		c := &q.candidates[i]
		if !c.hasRoom() || float64(c.load) > bound*float64(c.limit) {
			continue
		}
		w := rendezvousWeight(c.server.hash, q.Prefix)
		if best == nil || w > bestWeight {
			best = c.server
			bestWeight = w
		}
	}
	return best
}

// nthWithRoom returns the nth candidate that has room, or nil.
func nthWithRoom(q *Query, n int) *candidate {
	for i := range q.candidates {
		c := &q.candidates[i]
		if !c.hasRoom() {
			continue
		}
		if n == 0 {
			return c
		}
		n--
	}
	return nil
}

// random returns a random number in [0, n).
func random(q *Query, n int) int {
	if q.Random == nil {
		return rand.IntN(n)
	}
	return q.Random.IntN(n)
}
