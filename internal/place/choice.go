package place

import (
	"slices"
	"time"
)

const (
	// randomCandidates is how many random servers are compared for a request, and
	// prefixCandidates how many of those that hold most of its prompt.
	randomCandidates = 6
	prefixCandidates = 4
	// preferredWeight is the part of the time to read the prompt's prefix that counts in favour
	// of the preferred server: later requests with this prefix find it there.
	preferredWeight = 0.5
	// evictedWeight is the part of the time to read evicted segments again that does not
	// count at the server that had them: it may have kept them, and then reading them
	// elsewhere would occupy the memory of a second engine.
	evictedWeight = 0.5
)

// adaptiveWeights are engineWeights for estimated loads. Occupancy is larger because a slot
// in use may also make other requests wait. Affinity is larger so that fewer prompts are
// read again. Still larger values make more first events late near the capacity of the
// engines.
var adaptiveWeights = func() Weights {
	w := engineWeights
	w.Occupancy = 200 * time.Millisecond
	w.Affinity = 50 * time.Millisecond
	return w
}()

// candidates are the servers among which the cheapest is chosen.
type candidates struct {
	servers [1 + prefixCandidates + randomCandidates]*server
	count   int
}

func (c *candidates) add(s *server) {
	if !slices.Contains(c.servers[:c.count], s) {
		c.servers[c.count] = s
		c.count++
	}
}

func (c *candidates) list() []*server {
	return c.servers[:c.count]
}

// cheapestAdaptive is cheapest for upstreams whose servers' loads are estimated. It compares
// only some servers, so that entries with the same knowledge do not all choose the same one.
// If none of them takes the request, it compares all.
func (f *Fleet) cheapestAdaptive(u *upstreamState, q *Query, allowed eligible) (cheapest *server, full time.Duration) {
	eligibles := f.eligibles[:0]
	for _, s := range u.servers {
		if q.permits(s) && f.isEligible(s, allowed, q.Now) {
			eligibles = append(eligibles, s)
		}
	}
	f.eligibles = eligibles
	preferred := f.preferred(u, q)
	chosen := f.candidates(u, q, eligibles, preferred)
	cheapest, full = f.cheapestOf(u, q, chosen.list(), preferred)
	if cheapest == nil && len(eligibles) > chosen.count {
		cheapest, full = f.cheapestOf(u, q, eligibles, preferred)
	}
	return cheapest, full
}

// candidates returns the preferred server, those that hold most of the prompt and a few
// random ones; mu is held.
func (f *Fleet) candidates(u *upstreamState, q *Query, eligibles []*server, preferred *server) candidates {
	var c candidates
	if len(eligibles) == 0 {
		return c
	}
	if preferred != nil && slices.Contains(eligibles, preferred) {
		c.add(preferred)
	}
	f.addHolders(&c, q, eligibles)
	for range randomCandidates {
		c.add(eligibles[f.random(len(eligibles))])
	}
	return c
}

// addHolders adds the servers that hold most of the prompt. The search begins at a random
// one, because many may hold equally much.
func (f *Fleet) addHolders(c *candidates, q *Query, eligibles []*server) {
	if q.Prompt == nil || len(q.Prompt.Prefix) == 0 {
		return
	}
	type holder struct {
		server *server
		tokens int64
	}
	var best [prefixCandidates]holder
	count := 0
	// The search ends when prefixCandidates servers hold the whole prefix and keep all of it:
	// no other one counts for more.
	whole := 2 * min(q.Prompt.prefixTokens(), q.Prompt.Tokens)
	next := f.random(len(eligibles))
	for range eligibles {
		s := eligibles[next]
		next++
		if next == len(eligibles) {
			next = 0
		}
		used, kept := s.prefixes.leadingTokens(q.Prompt)
		tokens := used + kept
		if tokens == 0 {
			continue
		}
		at := count
		for at > 0 && best[at-1].tokens < tokens {
			at--
		}
		if at == len(best) {
			continue
		}
		count = min(count+1, len(best))
		copy(best[at+1:count], best[at:])
		best[at] = holder{server: s, tokens: tokens}
		if count == len(best) && best[count-1].tokens >= whole {
			break
		}
	}
	for _, h := range best[:count] {
		c.add(h.server)
	}
}

// cheapestOf returns the server with the lowest cost among the given ones, or nil, and the
// time until the first of those that it skipped may take a request; mu is held.
func (f *Fleet) cheapestOf(u *upstreamState, q *Query, servers []*server, preferred *server) (cheapest *server, full time.Duration) {
	var lowest time.Duration
	for _, s := range servers {
		load := u.estimate(s, q.Now)
		if wait, reason := f.timeUntilTaken(s, u.fullFor(s, q, load), q); wait > 0 {
			if q.trace != nil {
				q.trace.skip(s, reason, wait)
			}
			full = minPositive(full, wait)
			continue
		}
		cost, firstEvent := f.adaptiveCost(u, s, q, load, s == preferred)
		late := q.lateBy(firstEvent)
		if q.trace != nil {
			q.trace.compare(s, cost, firstEvent, late)
		}
		if late > 0 {
			q.late = true
			full = minPositive(full, late)
			continue
		}
		if cheapest == nil || cost < lowest || cost == lowest && f.precedesAtEqualCost(s, cheapest, q.Now) {
			cheapest = s
			lowest = cost
		}
	}
	return cheapest, full
}

// fullFor returns how long a server whose load is given takes no request of the priority; 0
// if it takes one now.
func (u *upstreamState) fullFor(s *server, q *Query, load estimate) time.Duration {
	excess := load.requests - float64(q.urgency.maxOccupancy*float64(s.slots))
	if excess < 0 {
		return 0
	}
	// Requests end at the rate of the slots divided by the time that each holds one.
	return roomWait(time.Duration((excess + 1) / float64(s.slots) * float64(u.holdTime.or(defaultHoldTime))))
}

// adaptiveCost returns the estimated cost of placing the request at s, whose load is given, and
// the time to the first event; mu is held.
func (f *Fleet) adaptiveCost(u *upstreamState, s *server, q *Query, load estimate, preferred bool) (cost, firstEvent time.Duration) {
	c := Candidate{
		OtherDomain: s.failureDomain != q.FailureDomain,
		FailureRate: s.failureRate,
		Running:     int(load.requests + 0.5),
		Slots:       s.slots,
		Preferred:   preferred,
		Backlog:     u.slotWait(load.requests, s.slots),
		Connect:     f.connectTime(s, q),
	}
	if q.Prompt == nil {
		weights := plainWeights
		weights.Backlog = 1
		weights.Occupancy = load.duration(weights.Occupancy)
		if q.trace != nil {
			q.trace.weigh(&weights, &c)
		}
		return weights.Cost(&c), c.Connect + c.Backlog
	}
	u.evictPrefixes(s, load)
	used, kept := s.prefixes.leadingTokens(q.Prompt)
	prefill := u.prefillTime(s, q.Prompt, kept)
	backlog := s.backlog(q.Now)
	wait := load.duration(backlog)
	c.Backlog += wait
	c.Prefill = load.duration(backlog+prefill) - wait
	// The engine reads one prompt after another: what it reads again delays the following
	// prompts by the same time.
	cost = adaptiveWeights.Cost(&c) + prefill
	var evictedDiscount, preferredDiscount time.Duration
	if used > kept {
		reread := prefill - u.prefillTime(s, q.Prompt, used)
		evictedDiscount = time.Duration(evictedWeight * float64(2*reread))
		cost -= evictedDiscount
	}
	if preferred {
		preferredDiscount = time.Duration(preferredWeight * u.paceFactor(s) * float64(engineSpeed.Prefill(0, q.Prompt.prefixTokens())))
		cost -= preferredDiscount
	}
	if q.trace != nil {
		q.trace.weigh(&adaptiveWeights, &c)
		q.trace.add("delayed_prompts", prefill)
		q.trace.add("evicted_segments", -evictedDiscount)
		q.trace.add("preferred_prefix", -preferredDiscount)
	}
	return cost, c.Connect + c.Backlog + c.Prefill
}

// connectTime returns the time until the request can be sent to s; mu is held.
func (f *Fleet) connectTime(s *server, q *Query) time.Duration {
	if f.ConnectTime == nil {
		return 0
	}
	return f.ConnectTime(s.id, q.Once)
}

// prefillTime returns how long the engine needs at usual speed for a prompt of which it has
// cached some tokens.
func (u *upstreamState) prefillTime(s *server, prompt *Prompt, cached int64) time.Duration {
	return time.Duration(u.paceFactor(s) * float64(engineSpeed.Prefill(cached, prompt.Tokens-cached)))
}

// backlog returns the time that the engine needs at usual speed for the prompts sent to it.
func (s *server) backlog(now time.Time) time.Duration {
	return max(0, s.prefillUntil.Sub(now))
}

// random returns a number from 0 to n-1. It depends only on the fleet's seed and on how many
// numbers were drawn before.
func (f *Fleet) random(n int) int {
	f.draws++
	x := f.Seed + f.draws*0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	x ^= x >> 31
	return int(x % uint64(n))
}
