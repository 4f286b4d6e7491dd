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
	// crossDomainPenalty is what another failure domain adds, beyond its distance,
	// because bytes between domains cost.
	crossDomainPenalty = 4 * time.Millisecond
	// failurePenalty is what a server that always fails adds.
	failurePenalty = 2 * time.Second
	// occupancyPenalty is what a full server adds: the more run, the slower.
	occupancyPenalty = 60 * time.Millisecond
	// delayedStreamPenalty is what one delayed stream weighs.
	delayedStreamPenalty = 40 * time.Millisecond
	// stallThreshold is the reading of prompts that streams bear without a late
	// event, and after stallSpan more all of them have one.
	stallThreshold = 180 * time.Millisecond
	stallRange     = 200 * time.Millisecond
	// plainServiceTime is the time that a request holds a slot of a plain server.
	plainServiceTime = 25 * time.Millisecond
	// affinityBonus is what the home server of a prompt's parts is preferred by, so
	// that entries agree before any has sent them.
	affinityBonus = 25 * time.Millisecond
	// maxOccupancy is how many times its slots a server may hold, queue included.
	maxOccupancy = 2.5
	// maxSegments bounds the remembered parts of a server.
	maxSegments = 4096
	// segmentTTL is how long a part counts as kept without use.
	segmentTTL = 60 * time.Second
	// sweepInterval is the least time between two looks at all parts of a
	// server: many young ones must not make each placement look at them.
	sweepInterval  = time.Second
	fullRetryAfter = 300 * time.Millisecond
)

// Fleet is the backend servers that an entry knows. Its zero value works.
type Fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	// PromptSent is called with each prompt that is sent, to tell other entries; nil
	// means not called.
	PromptSent func(server string, prefillTime time.Duration, segments []PrefixSegment)

	// Changed is called when what is believed of a server changes; nil means
	// not called. It must not call the fleet.
	Changed func(Change)

	// departed remembers leaving servers that a late list may show again.
	departed map[string]bool
}

// Placement is a place taken at a server. Call Done once.
type Placement struct {
	ID      string
	Address string
	// PrefillTime is how long the engine was expected to read the prompt.
	PrefillTime time.Duration
	// CachedTokens is how many tokens of the prompt it was expected to keep.
	CachedTokens int64

	fleet  *Fleet
	server *server
}

// Update takes a newer list in.
func (f *Fleet) Update(list []instances.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers == nil {
		f.servers = make(map[string]*server)
		f.departed = make(map[string]bool)
	}
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
		f.apply(instance)
	}
	for id, s := range f.servers {
		if !listed[id] {
			delete(f.servers, id)
			if s.leaving {
				f.departed[id] = true
			}
			f.notify(s, EventRemoved, 0)
		}
	}
}

func (f *Fleet) notify(s *server, event string, ejectedFor time.Duration) {
	if f.Changed == nil {
		return
	}
	f.Changed(Change{Server: s.id, Upstream: s.upstream, Address: s.address, Event: event, FailureRate: s.failureRate, EjectedFor: ejectedFor})
}

func (f *Fleet) apply(instance instances.Instance) {
	s := f.servers[instance.ID]
	known := s != nil && s.address == instance.Address && s.upstream == instance.Upstream
	if !known {
		s = &server{id: instance.ID, segments: make(map[uint64]time.Time)}
		f.servers[instance.ID] = s
	}
	s.upstream = instance.Upstream
	s.address = instance.Address
	s.failureDomain = instance.FailureDomain
	s.slots = max(1, instance.Slots)
	leaving := s.leaving || instance.Leaving || f.departed[instance.ID]
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

// Has tells whether a server is listed.
func (f *Fleet) Has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id] != nil
}

// Pick takes a place at the server that will answer first.
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

// cheapest returns the server with the lowest cost; servers that are out count
// only when there is no other. It also tells whether full ones were passed.
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

// cost estimates the time to the first byte, with what else weighs.
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

// streamDelayCost is what a prompt costs the streams that run beside it: while an engine
// reads prompts without a break, their events come late.
func (s *server) streamDelayCost(backlog, prefillTime time.Duration, now time.Time) time.Duration {
	added := stalledFraction(backlog+prefillTime) - stalledFraction(backlog)
	return time.Duration(added * float64(s.occupancy(now)) * float64(delayedStreamPenalty))
}

// stalledFraction tells how much of a stream's pause targets is missed, from 0 to 1,
// when its engine reads prompts for a time without a break.
func stalledFraction(prefillTime time.Duration) float64 {
	return min(1, max(0, float64(prefillTime-stallThreshold)/float64(stallRange)))
}

// preferred returns the server that all entries prefer for a prompt's last shared
// part: the one with the highest hash.
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

func rendezvousWeight(segment uint64, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64() ^ segment*0x9E3779B97F4A7C15
	x ^= x >> 32
	x *= 0xD6E8FEB86659FD93
	return x ^ x>>32
}

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

// addPrefill notes that the engine reads a prompt for some time.
func (s *server) addPrefill(prompt *Prompt, prefillTime time.Duration, now time.Time) {
	if s.prefillUntil.Before(now) {
		s.prefillUntil = now
	}
	s.prefillUntil = s.prefillUntil.Add(prefillTime)
	s.recordPrefix(prompt.Prefix, now)
}

func (s *server) recordPrefix(segments []PrefixSegment, now time.Time) {
	if len(s.segments) > maxSegments && now.Sub(s.lastSweep) > sweepInterval {
		s.lastSweep = now
		maps.DeleteFunc(s.segments, func(_ uint64, used time.Time) bool { return now.Sub(used) > segmentTTL })
	}
	for _, segment := range segments {
		s.segments[segment.ID] = now
	}
}

// SetLoad takes in what the server says of its load.
func (p *Placement) SetLoad(load Load, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.load = load
	p.server.loadReportedAt = now
}

// Done gives the place back.
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

// cancelPrefill takes back the work that the engine never began.
func (p *Placement) cancelPrefill(now time.Time) {
	p.server.prefillUntil = p.server.prefillUntil.Add(-p.PrefillTime)
	if p.server.prefillUntil.Before(now) {
		p.server.prefillUntil = now
	}
}

// MarkReplaced tells that another server has the address: this one is gone.
func (p *Placement) MarkReplaced() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.leaving = true
	p.fleet.notify(p.server, EventReplaced, 0)
}

// RecordRemotePrompt notes a prompt that another entry sent to a server.
func (f *Fleet) RecordRemotePrompt(id string, prefillTime time.Duration, segments []PrefixSegment, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.addPrefill(&Prompt{Prefix: segments}, prefillTime, now)
}
