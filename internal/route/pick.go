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
	// spillLoad is the relative load of the own failure domain above which
	// others are used too.
	spillLoad = 0.9
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

// Exists tells whether any server might take the request once it has room.
func Exists(servers []*Server, tried map[string]bool) bool {
	for _, s := range servers {
		if !s.leaves() && !tried[s.Name] {
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

func (c *candidate) isOpen() bool {
	return c.load < c.limit
}

func (c *candidate) relative() float64 {
	return float64(c.load+1) / float64(c.limit)
}

// sums add up candidates.
type sums struct {
	load  int
	limit int
	open  int
}

func (s *sums) add(c *candidate) {
	s.load += c.load
	s.limit += c.limit
	if c.load < c.limit {
		s.open++
	}
}

func (s sums) relative() float64 {
	return float64(s.load) / float64(max(1, s.limit))
}

func pickBalanced(servers []*Server, q *Query) *Server {
	near := survey(servers, q, true, false)
	if near.open > 0 && near.relative() < spillLoad {
		return choose(q, near)
	}
	all := survey(servers, q, false, false)
	if len(q.candidates) == 0 {
		all = survey(servers, q, false, true)
	}
	if all.open == 0 {
		return nil
	}
	return choose(q, all)
}

// survey lists the candidates in q, of the own failure domain only or all, and
// adds them up. Ejected servers count only when no other is left.
func survey(servers []*Server, q *Query, nearOnly, ejected bool) sums {
	var total sums
	if cap(q.candidates) < len(servers) {
		q.candidates = make([]candidate, len(servers))
	}
	q.candidates = q.candidates[:len(servers)]
	now := q.Now.UnixNano()
	domain := Hash(q.FailureDomain)
	n := 0
	for _, s := range servers {
		if nearOnly && s.domain != domain {
			continue
		}
		if s.Leaving || s.draining || !ejected && now < s.ejectedUntil {
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

// choose returns the server with the highest rendezvous weight that is not too
// busy, else the less loaded of two random ones.
func choose(q *Query, s sums) *Server {
	if q.Prefix != 0 {
		best := chooseAffine(q, s)
		if best != nil {
			return best
		}
	}
	first := nth(q, random(q, s.open))
	second := nth(q, random(q, s.open))
	if second.relative() < first.relative() {
		return second.server
	}
	return first.server
}

func chooseAffine(q *Query, s sums) *Server {
	bound := s.relative()*affinityBound + affinitySlack
	var best *Server
	var bestWeight uint64
	for i := range q.candidates {
		c := &q.candidates[i]
		if !c.isOpen() || float64(c.load) > bound*float64(c.limit) {
			continue
		}
		w := weight(c.server.hash, q.Prefix)
		if best == nil || w > bestWeight {
			best = c.server
			bestWeight = w
		}
	}
	return best
}

// nth returns the nth candidate that has room.
func nth(q *Query, n int) *candidate {
	for i := range q.candidates {
		c := &q.candidates[i]
		if !c.isOpen() {
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
