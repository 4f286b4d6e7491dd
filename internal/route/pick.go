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
	// Tried are names of servers that are left out.
	Tried map[string]bool
	// Random picks between equals; nil means a random seed.
	Random *rand.Rand
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

func pickBalanced(servers []*Server, q *Query) *Server {
	all := survey(servers, q, false, false)
	if all.usable == 0 {
		all = survey(servers, q, false, true)
	}
	near := survey(servers, q, true, all.panic)
	if near.open > 0 && (near.relative() < spillLoad || all.open == near.open) {
		return choose(servers, q, near)
	}
	if all.open == 0 {
		return nil
	}
	return choose(servers, q, all)
}

// view is a set of candidates and their sums.
type view struct {
	nearOnly bool
	// panic counts ejected servers in, since no other is left.
	panic  bool
	usable int
	// open are the usable servers with room.
	open  int
	load  int
	limit int
}

func survey(servers []*Server, q *Query, nearOnly, panicking bool) view {
	v := view{nearOnly: nearOnly, panic: panicking}
	for _, s := range servers {
		if !v.includes(s, q) {
			continue
		}
		load, limit := s.Load(q.Now), s.Limit(q.Now)
		v.usable++
		v.load += load
		v.limit += limit
		if load < limit {
			v.open++
		}
	}
	return v
}

func (v view) includes(s *Server, q *Query) bool {
	if v.nearOnly && s.FailureDomain != q.FailureDomain {
		return false
	}
	if s.leaves() || q.Tried[s.Name] {
		return false
	}
	return v.panic || !s.health.isEjected(q.Now)
}

func (v view) relative() float64 {
	return float64(v.load) / float64(max(1, v.limit))
}

// choose returns the server with the highest rendezvous weight that is not too
// busy, else the less loaded of two random ones.
func choose(servers []*Server, q *Query, v view) *Server {
	if q.Prefix != 0 {
		s := chooseAffine(servers, q, v)
		if s != nil {
			return s
		}
	}
	first := nth(servers, q, v, random(q, v.open))
	second := nth(servers, q, v, random(q, v.open))
	if relative(second, q.Now) < relative(first, q.Now) {
		return second
	}
	return first
}

func chooseAffine(servers []*Server, q *Query, v view) *Server {
	bound := v.relative()*affinityBound + affinitySlack
	var best *Server
	var bestWeight uint64
	for _, s := range servers {
		if !v.includes(s, q) {
			continue
		}
		w := weight(s.hash, q.Prefix)
		if best != nil && w <= bestWeight {
			continue
		}
		load, limit := s.Load(q.Now), s.Limit(q.Now)
		if load >= limit || float64(load) > bound*float64(limit) {
			continue
		}
		best = s
		bestWeight = w
	}
	return best
}

// nth returns the nth server that is included and has room.
func nth(servers []*Server, q *Query, v view, n int) *Server {
	for _, s := range servers {
		if !v.includes(s, q) || s.Load(q.Now) >= s.Limit(q.Now) {
			continue
		}
		if n == 0 {
			return s
		}
		n--
	}
	return nil
}

func relative(s *Server, now time.Time) float64 {
	return float64(s.Load(now)+1) / float64(s.Limit(now))
}

func random(q *Query, n int) int {
	if q.Random == nil {
		return rand.IntN(n)
	}
	return q.Random.IntN(n)
}
