package place

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

const (
	// crossDomainPenalty is the cost added for a server in another failure
	// domain. It exceeds the extra latency because traffic between failure
	// domains is billed.
	crossDomainPenalty = 4 * time.Millisecond
	// failurePenalty is the cost added at a failure rate of 1; it scales with
	// the rate.
	failurePenalty = 2 * time.Second
	// occupancyPenalty is the cost added when all slots of a model engine are
	// in use; it scales with occupancy because each request in flight slows the
	// engine down.
	occupancyPenalty = 60 * time.Millisecond
	// delayedStreamPenalty is the cost of each stream that a prompt delays.
	delayedStreamPenalty = 40 * time.Millisecond
	// stallThreshold is the longest uninterrupted prefill that delays no event
	// of a running stream. At stallThreshold + stallRange, every stream has a
	// late event.
	stallThreshold = 180 * time.Millisecond
	stallRange     = 200 * time.Millisecond
	// plainServiceTime is how long a request holds a slot of a server that runs
	// no model.
	plainServiceTime = 25 * time.Millisecond
	// affinityBonus is subtracted from the cost of the preferred server of a
	// prompt prefix, so that entries pick the same server before any of them
	// has sent the prefix.
	affinityBonus = 25 * time.Millisecond
	// maxOccupancy is the number of requests, running and queued, per slot at
	// which a server counts as full.
	maxOccupancy = 2.5
	// maxSegments is the number of remembered prefix segments per server above
	// which unused ones are removed.
	maxSegments = 4096
	// segmentTTL is how long an unused prefix segment counts as cached.
	segmentTTL = 60 * time.Second
	// sweepInterval is the least time between two sweeps of a server's
	// segments. Without it, each placement would scan all segments whenever
	// more than maxSegments are recent.
	sweepInterval = time.Second
	// returnAfter is how long after a list or a response last showed that a server
	// leaves a list may show it as available. It exceeds the age of any list in use,
	// so that what a later list shows is another run of the server.
	returnAfter = 15 * time.Second
	// fullRetryAfter is the retry delay returned when all servers are full.
	fullRetryAfter = 300 * time.Millisecond
)

// Fleet tracks the backend servers known to an entry and picks one for each
// request. Its zero value is ready to use, and it is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	// PromptSent, if not nil, is called for each prompt placed at a server, so
	// that the entry can announce it to other entries. It must not call the
	// fleet.
	PromptSent func(server string, prefillTime time.Duration, segments []PrefixSegment)

	// Changed, if not nil, is called when the state of a server changes. It
	// must not call the fleet.
	Changed func(Change)

	// departures tracks the leaving servers by departureKey, also after they were
	// removed, because an outdated list may show them again as available.
	departures instances.Departures
}

// Placement counts a request in flight at a server. Done must be called once.
type Placement struct {
	// ID is the instance id of the server.
	ID      string
	Address string
	// PrefillTime is the estimated time that the engine needs to process the
	// uncached part of the prompt.
	PrefillTime time.Duration
	// CachedTokens is the estimated number of prompt tokens in the engine's
	// prefix cache.
	CachedTokens int64

	fleet  *Fleet
	server *server
}

// Update replaces the list of servers. Servers that are missing from list are
// removed.
func (f *Fleet) Update(list []instances.Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers == nil {
		f.servers = make(map[string]*server)
		f.departures.ReturnAfter = returnAfter
	}
	f.departures.Prune(now)
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
		f.apply(instance, now)
	}
	for id, s := range f.servers {
		if !listed[id] {
			delete(f.servers, id)
			f.notify(s, EventRemoved, 0)
		}
	}
}

// departureKey names one server at one address: a server that starts again elsewhere
// is another one.
func departureKey(id, address string) string {
	return id + " " + address
}

// notify reports an event of s to Changed; mu is held.
func (f *Fleet) notify(s *server, event string, ejectedFor time.Duration) {
	if f.Changed == nil {
		return
	}
	f.Changed(Change{Server: s.id, Upstream: s.upstream, Address: s.address, Event: event, FailureRate: s.failureRate, EjectedFor: ejectedFor})
}

// apply adds or updates one listed server; mu is held. A leaving server that is
// available again has been restarted, and nothing is known of its new run.
func (f *Fleet) apply(instance instances.Instance, now time.Time) {
	key := departureKey(instance.ID, instance.Address)
	f.departures.ReportListed(key, instance.Leaving, now)
	leaving := f.departures.IsLeaving(key)
	s := f.servers[instance.ID]
	known := s != nil && s.address == instance.Address && s.upstream == instance.Upstream && (leaving || !s.leaving)
	if !known {
		s = &server{id: instance.ID, segments: make(map[uint64]time.Time)}
		f.servers[instance.ID] = s
	}
	s.upstream = instance.Upstream
	s.address = instance.Address
	s.failureDomain = instance.FailureDomain
	s.slots = max(1, instance.Slots)
	if known && leaving == s.leaving {
		return
	}
	s.leaving = leaving
	if leaving {
		f.notify(s, EventLeaving, 0)
	} else {
		f.notify(s, EventListed, 0)
	}
}

// Has reports whether the server with the given id is listed.
func (f *Fleet) Has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id] != nil
}

// Pick places a request at the server with the lowest estimated cost. The
// caller must call Done on the placement of a Chosen decision.
func (f *Fleet) Pick(q Query) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	cheapest, full := f.cheapest(q, false)
	if cheapest == nil && !full {
		cheapest, full = f.cheapest(q, true)
	}
	switch {
	case cheapest != nil:
		return Chosen{Placement: f.startPlacement(cheapest, q)}
	case full:
		return Full{RetryAfter: fullRetryAfter}
	default:
		return NoServer{}
	}
}

// cheapest returns the server with the lowest cost, or nil, and whether a full
// server was skipped. Ejected servers are candidates only with includeEjected.
func (f *Fleet) cheapest(q Query, includeEjected bool) (cheapest *server, full bool) {
	preferred := f.preferred(q)
	var lowest time.Duration
	for _, s := range f.servers {
		if s.upstream != q.Upstream || s.leaving || slices.Contains(q.Tried, s.id) {
			continue
		}
		if !includeEjected && s.isEjected(q.Now) {
			continue
		}
		if float64(s.occupancy(q.Now)) >= maxOccupancy*float64(s.slots) {
			full = true
			continue
		}
		cost := s.cost(q)
		if s == preferred {
			cost -= affinityBonus
		}
		if cheapest == nil || cost < lowest || cost == lowest && s.id < cheapest.id {
			cheapest = s
			lowest = cost
		}
	}
	return cheapest, full
}

// cost estimates the time to the first byte, plus penalties for failures, for
// traffic between failure domains and for delayed streams.
func (s *server) cost(q Query) time.Duration {
	cost := time.Duration(s.failureRate * float64(failurePenalty))
	if s.failureDomain != q.FailureDomain {
		cost += crossDomainPenalty
	}
	occupancy := float64(s.occupancy(q.Now)) / float64(s.slots)
	if q.Prompt == nil {
		return cost + time.Duration(occupancy*float64(plainServiceTime))
	}
	cost += time.Duration(occupancy * float64(occupancyPenalty))
	backlog := max(0, s.prefillUntil.Sub(q.Now))
	prefillTime := s.prefillTime(q.Prompt)
	return cost + backlog + prefillTime + s.streamDelayCost(backlog, prefillTime, q.Now)
}

// streamDelayCost is the cost of delaying the streams that run on the same
// engine: events are late while the engine processes prompts without a break.
func (s *server) streamDelayCost(backlog, prefillTime time.Duration, now time.Time) time.Duration {
	added := stalledFraction(backlog+prefillTime) - stalledFraction(backlog)
	return time.Duration(added * float64(s.occupancy(now)) * float64(delayedStreamPenalty))
}

// stalledFraction returns the fraction of streams, from 0 to 1, that have a
// late event when their engine processes prompts for prefillTime without a
// break.
func stalledFraction(prefillTime time.Duration) float64 {
	return min(1, max(0, float64(prefillTime-stallThreshold)/float64(stallRange)))
}

// preferred returns the server with the highest rendezvous weight for the last
// prefix segment of the prompt, or nil. All entries compute the same one.
func (f *Fleet) preferred(q Query) *server {
	if q.Prompt == nil || len(q.Prompt.Prefix) == 0 {
		return nil
	}
	segment := q.Prompt.Prefix[len(q.Prompt.Prefix)-1].ID
	var preferred *server
	var highest uint64
	for _, s := range f.servers {
		if s.upstream != q.Upstream || s.leaving || s.isEjected(q.Now) {
			continue
		}
		weight := rendezvousWeight(segment, s.id)
		if preferred == nil || weight > highest {
			preferred = s
			highest = weight
		}
	}
	return preferred
}

// rendezvousWeight hashes a segment and a server id for rendezvous hashing.
func rendezvousWeight(segment uint64, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64() ^ segment*0x9E3779B97F4A7C15
	x ^= x >> 32
	x *= 0xD6E8FEB86659FD93
	return x ^ x>>32
}

// startPlacement counts the request as in flight at s and adds its prompt to
// the engine's expected load; mu is held.
func (f *Fleet) startPlacement(s *server, q Query) *Placement {
	p := &Placement{ID: s.id, Address: s.address, fleet: f, server: s}
	s.inFlight++
	if q.Prompt != nil {
		p.CachedTokens = s.cachedTokens(q.Prompt)
		p.PrefillTime = s.prefillTime(q.Prompt)
		s.addPrefill(q.Prompt, p.PrefillTime, q.Now)
		if f.PromptSent != nil {
			f.PromptSent(s.id, p.PrefillTime, q.Prompt.Prefix)
		}
	}
	return p
}

// addPrefill extends the engine's prefill backlog by prefillTime and records
// the prompt's prefix as cached.
func (s *server) addPrefill(prompt *Prompt, prefillTime time.Duration, now time.Time) {
	if s.prefillUntil.Before(now) {
		s.prefillUntil = now
	}
	s.prefillUntil = s.prefillUntil.Add(prefillTime)
	s.recordPrefix(prompt.Prefix, now)
}

// recordPrefix records segments as cached at now. Above maxSegments it first
// removes expired ones, at most once per sweepInterval.
func (s *server) recordPrefix(segments []PrefixSegment, now time.Time) {
	if len(s.segments) > maxSegments && now.Sub(s.lastSweep) > sweepInterval {
		s.lastSweep = now
		maps.DeleteFunc(s.segments, func(_ uint64, used time.Time) bool { return now.Sub(used) > segmentTTL })
	}
	for _, segment := range segments {
		s.segments[segment.ID] = now
	}
}

// SetLoad records the load that the server reported at now.
func (p *Placement) SetLoad(load Load, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.load = load
	p.server.loadReportedAt = now
}

// Done ends the placement and records how the request ended.
func (p *Placement) Done(outcome Outcome, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.inFlight--
	previouslyEjectedUntil, wasHalfOpen := p.server.ejectedUntil, p.server.halfOpen
	p.server.recordOutcome(outcome, now)
	if p.server.ejectedUntil != previouslyEjectedUntil {
		p.fleet.notify(p.server, EventEjected, p.server.ejectedUntil.Sub(now))
	}
	if wasHalfOpen && !p.server.halfOpen {
		p.fleet.notify(p.server, EventReadmitted, 0)
	}
	switch outcome.(type) {
	case Declined, Unreachable:
		p.cancelPrefill(now)
	case Served, Failed, Abandoned:
	}
}

// cancelPrefill removes the prompt from the engine's backlog when the engine
// never started it.
func (p *Placement) cancelPrefill(now time.Time) {
	p.server.prefillUntil = p.server.prefillUntil.Add(-p.PrefillTime)
	if p.server.prefillUntil.Before(now) {
		p.server.prefillUntil = now
	}
}

// MarkReplaced records that another server now has the address; the fleet
// treats the old one as leaving.
func (p *Placement) MarkReplaced(now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.leaving = true
	p.fleet.departures.ReportListed(departureKey(p.server.id, p.server.address), true, now)
	p.fleet.notify(p.server, EventReplaced, 0)
}

// RecordRemotePrompt records a prompt that another entry sent to the server
// with the given id. Unknown ids are ignored.
func (f *Fleet) RecordRemotePrompt(id string, prefillTime time.Duration, segments []PrefixSegment, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.addPrefill(&Prompt{Prefix: segments}, prefillTime, now)
}
