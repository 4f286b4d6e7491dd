package place

import (
	"slices"
	"time"
)

const (
	// maxOccupancy is the number of requests, running and queued, per slot at
	// which a server counts as full.
	maxOccupancy = 2.5
	// leavingGrace is how long after it became known that a server leaves it may still get
	// a request that only servers of its version can take. Leaving servers go on for
	// longer than that.
	leavingGrace = time.Second
	// fullRetryAfter is the retry delay returned when all servers are full.
	fullRetryAfter = 300 * time.Millisecond
)

// Pick places a request at the server with the lowest estimated cost. The
// caller must call Done on the placement of a Chosen decision.
func (f *Fleet) Pick(q Query) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	cheapest, full := f.choose(&q)
	switch {
	case cheapest != nil:
		return Chosen{Placement: f.startPlacement(cheapest, q)}
	case full > 0:
		return Full{RetryAfter: full, Late: q.late}
	default:
		return NoServer{}
	}
}

// choose returns the server with the lowest estimated cost, or nil. If servers were full, full
// is the time until the first of them may take the request; mu is held.
func (f *Fleet) choose(q *Query) (cheapest *server, full time.Duration) {
	if u := f.upstreams[q.Upstream]; u != nil && f.isAdaptive(u, q.Now) {
		return f.pickAdaptive(u, q)
	}
	return f.cheapestEligible(q)
}

// cheapestEligible is cheapest among the servers that are neither ejected nor leaving, or
// among others if there are none.
func (f *Fleet) cheapestEligible(q *Query) (cheapest *server, full time.Duration) {
	cheapest, full = f.cheapest(q, eligible{})
	if cheapest == nil && full == 0 {
		cheapest, full = f.cheapest(q, eligible{ejected: true})
	}
	if cheapest == nil && full == 0 && q.Version.Limited {
		cheapest, full = f.cheapest(q, eligible{ejected: true, leaving: true})
	}
	return cheapest, full
}

// cheapest returns the server with the lowest cost, or nil. If it skipped full servers or
// ones that want no requests now, full is the time until the first of them may take one.
func (f *Fleet) cheapest(q *Query, allowed eligible) (cheapest *server, full time.Duration) {
	u := f.upstreams[q.Upstream]
	if u == nil {
		return nil, 0
	}
	if f.isAdaptive(u, q.Now) {
		return f.cheapestAdaptive(u, q, allowed)
	}
	preferred := f.preferred(u, q)
	var lowest time.Duration
	for _, s := range u.servers {
		if !q.permits(s) || !f.isEligible(s, allowed, q.Now) {
			continue
		}
		if wait, reason := f.timeUntilFree(s, q); wait > 0 {
			if q.trace != nil {
				q.trace.skip(s, reason, wait)
			}
			full = minPositive(full, wait)
			continue
		}
		cost := s.cost(*q, s == preferred)
		if q.trace != nil {
			q.trace.compare(s, cost, 0, 0)
		}
		if cheapest == nil || cost < lowest || cost == lowest && f.precedesAtEqualCost(s, cheapest, q.Now) {
			cheapest = s
			lowest = cost
		}
	}
	return cheapest, full
}

// permits reports whether the request may go to a server by its software version, its region
// and the earlier attempts.
func (q *Query) permits(s *server) bool {
	return q.Version.allows(s.version) && q.Regions.Allows(s.region) && !slices.Contains(q.Tried, s.id)
}

// eligible says which servers may be chosen beside those that are neither ejected nor
// leaving.
type eligible struct {
	ejected bool
	// leaving allows servers that have been leaving for less than leavingGrace.
	leaving bool
}

// isEligible reports whether a server may be chosen; mu is held.
func (f *Fleet) isEligible(s *server, allowed eligible, now time.Time) bool {
	if f.isEvacuated(s) {
		return false
	}
	if s.leaving {
		since, known := f.departures.Since(departureKey(s.id, s.address))
		return allowed.leaving && !s.replaced && known && now.Sub(since) < leavingGrace
	}
	return allowed.ejected || !s.isEjected(now)
}

// timeUntilFree returns how long the server does not take the request, or 0 if it takes it now.
// The reason is one of the reason constants and means nothing if the time is 0. mu is held.
func (f *Fleet) timeUntilFree(s *server, q *Query) (wait time.Duration, reason string) {
	var full time.Duration
	if float64(s.occupancy(q.Now)) >= maxOccupancy*float64(s.slots) {
		full = fullRetryAfter
	}
	return f.timeUntilTaken(s, full, q)
}

// timeUntilTaken is timeUntilFree for a server that is full for the given time.
func (f *Fleet) timeUntilTaken(s *server, full time.Duration, q *Query) (wait time.Duration, reason string) {
	wait, reason = f.unboundedWait(s, full, q.Now)
	if outstanding := f.outstandingWait(s, q.Bytes); outstanding > wait {
		return outstanding, reasonOutstanding
	}
	return wait, reason
}

// unboundedWait is timeUntilTaken without the bound of this entry's bytes at the server.
func (f *Fleet) unboundedWait(s *server, full time.Duration, now time.Time) (wait time.Duration, reason string) {
	if held := s.heldOffUntil.Sub(now); held > 0 {
		return held, reasonHeldOff
	}
	if full > 0 {
		return full, reasonFull
	}
	if wait := f.brittleWait(s, now); wait > 0 {
		return wait, reasonBrittle
	}
	if wait := f.limitWait(s, now); wait > 0 {
		return wait, reasonLimit
	}
	return f.coldWait(s, now), reasonCold
}

// minPositive returns the smaller of two durations, of which a may be 0 for none.
func minPositive(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// cost returns the estimated cost of placing the request at s.
func (s *server) cost(q Query, preferred bool) time.Duration {
	c := Candidate{
		OtherDomain: s.failureDomain != q.FailureDomain,
		FailureRate: s.failureRate,
		Running:     s.occupancy(q.Now),
		Slots:       s.slots,
		Preferred:   preferred,
	}
	weights := &plainWeights
	if q.Prompt != nil {
		weights = &engineWeights
		c.Backlog = max(0, s.prefillUntil.Sub(q.Now))
		c.Prefill = s.prefillTime(q.Prompt)
	}
	if q.trace != nil {
		q.trace.weigh(weights, &c)
	}
	return weights.Cost(&c)
}
