package route

import (
	"math/rand/v2"
	"time"
)

const (
	// affinityBound is how much busier than the mean a server may be and still
	// be picked for its cached prefix.
	affinityBound = 1.25
	// affinitySlack keeps affinity while nearly nothing runs.
	affinitySlack = 0.1
	// spilloverLoad is the relative load of the own failure domain above which
	// others are used too.
	spilloverLoad = 0.9
)

// Query asks for a server.
type Query struct {
	Now           time.Time
	FailureDomain string
	// Prefix is the prompt's affinity; 0 is none.
	Prefix uint64
	// Headroom is the part of each limit, in percent, that stays free.
	Headroom int
	// Tried are names of servers that are left out.
	Tried map[string]bool
	// Random picks between equals; nil means a random seed.
	Random *rand.Rand

	// candidates is reused by the next pick.
	candidates []candidate
}

// Policy picks a server out of those that have room: one of Balanced,
// RoundRobin, Random and LeastReported.
type Policy interface {
	isPolicy()
}

// Balanced routes by prefix affinity with bounded load, else to the less
// loaded of two, the own failure domain first.
type Balanced struct{}

func (Balanced) isPolicy() {}

// Pick returns a server that has room, or nil.
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

// HasCandidate tells whether any server might take the request once it has room.
func HasCandidate(servers []*Server, tried map[string]bool) bool {
	for _, s := range servers {
		if !s.isLeaving() && !tried[s.Name] {
			return true
		}
	}
	return false
}

// candidate is a server that may be picked, as it is now.
type candidate struct {
	server *Server
	load   int
	limit  int
}

func (c *candidate) hasRoom() bool {
	return c.load < c.limit
}

func (c *candidate) relativeLoad() float64 {
	return float64(c.load+1) / float64(c.limit)
}

// totals add up candidates.
type totals struct {
	load     int
	limit    int
	withRoom int
}

func (s *totals) add(c *candidate) {
	s.load += c.load
	s.limit += c.limit
	if c.load < c.limit {
		s.withRoom++
	}
}

func (s totals) relativeLoad() float64 {
	return float64(s.load) / float64(max(1, s.limit))
}

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

// collectCandidates lists the candidates in q, of the own failure domain only or all, and
// adds them up. Ejected servers count only when no other is left.
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

// chooseCandidate returns the server with the highest rendezvous weight that is not too
// busy, else the less loaded of two random ones.
func chooseCandidate(q *Query, s totals) *Server {
	if q.Prefix != 0 {
		best := chooseByPrefix(q, s)
		if best != nil {
			return best
		}
	}
	first := nthWithRoom(q, random(q, s.withRoom))
	second := nthWithRoom(q, random(q, s.withRoom))
	if second.relativeLoad() < first.relativeLoad() {
		return second.server
	}
	return first.server
}

func chooseByPrefix(q *Query, s totals) *Server {
	bound := s.relativeLoad()*affinityBound + affinitySlack
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

// nthWithRoom returns the nth candidate that has room.
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

func random(q *Query, n int) int {
	if q.Random == nil {
		return rand.IntN(n)
	}
	return q.Random.IntN(n)
}
