package place

import (
	"slices"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

const (
	// stallThreshold is the longest uninterrupted prefill that delays no event
	// of a running stream. At stallThreshold + stallRange, every stream has a
	// late event.
	stallThreshold = 180 * time.Millisecond
	stallRange     = 200 * time.Millisecond
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
	// leavingGrace is how long after it became known that a server leaves it may still get
	// a request that only servers of its version can take. Leaving servers go on for
	// longer than that.
	leavingGrace = time.Second
	// fullRetryAfter is the retry delay returned when all servers are full.
	fullRetryAfter = 300 * time.Millisecond
)

var (
	// engineWeights are the weights for model engines. CrossDomain exceeds the
	// extra latency because traffic between failure domains is billed, and
	// Occupancy stands for the slowdown by each request in flight.
	engineWeights = Weights{
		CrossDomain:   4 * time.Millisecond,
		Failure:       2 * time.Second,
		Occupancy:     60 * time.Millisecond,
		Backlog:       1,
		DelayedStream: 40 * time.Millisecond,
		Affinity:      25 * time.Millisecond,
	}
	// plainWeights are the weights for servers that run no model. Occupancy is how
	// long a request holds a slot.
	plainWeights = Weights{
		CrossDomain: 4 * time.Millisecond,
		Failure:     2 * time.Second,
		Occupancy:   25 * time.Millisecond,
	}
	// engineSpeed is the speed of the model engines.
	engineSpeed = Speed{TokensPerMs: 140, PairsPerMs: 3.4e6}
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

	// MaxServerBytes bounds the bytes of request bodies that this entry has outstanding at
	// one server; 0 bounds none. It must be set before the first Pick.
	MaxServerBytes int64

	// LimitShare returns the part, from 0 to 1, of the limit of a server that this entry
	// may use, of which at most the given number of entries may use any. If it is nil,
	// the entry uses all of it. It must not call the fleet.
	LimitShare func(server string, maxEntries int) float64
	// LimitStated, if not nil, is called with what a server has stated about its limit,
	// the given time ago, if other entries may not know it. It must not call the fleet.
	LimitStated func(server string, limit Limit, age time.Duration)

	// IsLearning reports whether this entry can't know yet how many other entries there are;
	// nil means that it does. It must not call the fleet.
	IsLearning func() bool
	// ColdStated, if not nil, is called when a server has stated that it stays cold for the
	// given time, if other entries may not know it. It must not call the fleet.
	ColdStated func(server string, coldFor time.Duration)
	// Unreached, if not nil, is called when a server could not be reached and may be cold
	// when it is reachable again, with the number of entries that may then send it requests.
	// These should probe it. It must not call the fleet.
	Unreached func(server string, maxEntries int)

	// ProbeNeeded, if not nil, is called when StartUnconfirmedProbes must be called at once. It
	// must not call the fleet and must not block.
	ProbeNeeded func()
	// unprobed holds the servers that StartUnconfirmedProbes has to look at.
	unprobed []*server

	// Regions maps the name of each failure domain to its region. Set it before the first
	// Update.
	Regions map[string]string

	// hasList is set once a list had servers, and firstList while that one is applied.
	hasList, firstList bool

	// departures tracks the leaving servers by departureKey, also after they were
	// removed, because an outdated list may show them again as available.
	departures instances.Departures

	versions versionHistory

	// paths holds the state of the path to each upstream, and peers that of other entries
	// that requests are passed to, by address.
	paths map[string]*reach
	peers map[string]*server

	evacuations evacuations

	// brittle holds what servers have stated about rejections, by upstream.
	brittle map[string]brittleness

	// Adaptive asks for estimates of load and speed at all upstreams. Without it, they are
	// used at those whose servers state a slowdown.
	Adaptive bool
	// AdaptiveChanged, if not nil, is called when an upstream begins or ceases to use
	// estimates, with the number of its servers. Counts calls it. It must not call the fleet.
	AdaptiveChanged func(upstream string, adaptive bool, servers int)
	// ConnectTime, if not nil, returns the time until a request can be sent to a server: 0 if
	// an idle connection is open that can carry it. Once is set for a request that must not
	// run twice. It counts in the choice by estimates. It is called with the lock of the
	// fleet held, must return at once and must not hold a lock under which the fleet is called.
	ConnectTime func(server string, once bool) time.Duration
	// Seed is the seed of the random choices among the servers of such upstreams.
	Seed uint64
	// draws counts the random numbers that were drawn.
	draws uint64
	// upstreams holds what the servers of each upstream have in common.
	upstreams map[string]*upstreamState
	// eligibles is the buffer for the servers that may take a request.
	eligibles []*server
	// preferables and groupWeights are buffers for the search of the preferred server.
	preferables  []*server
	groupWeights []uint64
}

// Placement counts a request in flight at a server. Done must be called once.
type Placement struct {
	// ID is the instance id of the server.
	ID      string
	Address string
	// Version is the version of the server's software; empty if none is known.
	Version string
	// PrefillTime is the estimated time that the engine needs to process the
	// uncached part of the prompt.
	PrefillTime time.Duration
	// CachedTokens is the estimated number of prompt tokens in the engine's
	// prefix cache.
	CachedTokens int64

	// Granted is set if the request uses the room of the most urgent ones, so that requests
	// of its priority are not starved. Its server must serve it as one of them.
	Granted bool
	// Peer is set if the request is placed at another entry, which places it at a server.
	Peer bool
	// StartedAt is when the request was placed.
	StartedAt time.Time

	fleet  *Fleet
	server *server
	// answered is set once the server has sent something for this request.
	answered bool
	// tookToken is set if the placement counts against the server's limit.
	tookToken bool
	// tookColdToken is set if it counts against this entry's share of a cold server.
	tookColdToken bool

	// expected is what the entry expected of the server when it placed the request.
	expected expectation
	// bytes is the size of the request body.
	bytes int64
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
	f.versions.update(list, now)
	f.firstList = !f.hasList
	f.hasList = f.hasList || len(list) > 0
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
	f.groupServers()
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
	f.Changed(Change{Server: s.id, Upstream: s.upstream, Address: s.address, Version: s.version, Event: event, FailureRate: s.failureRate, Limit: s.limit.PerSecond, Cold: s.cold.reported, EjectedFor: ejectedFor})
}

// apply adds or updates one listed server; mu is held. A leaving server that is
// available again, or one with another software version, has been restarted, and nothing
// is known of its new run.
func (f *Fleet) apply(instance instances.Instance, now time.Time) {
	key := departureKey(instance.ID, instance.Address)
	f.departures.ReportListed(key, instance.Leaving, now)
	leaving := f.departures.IsLeaving(key)
	s := f.servers[instance.ID]
	known := s != nil && s.address == instance.Address && s.upstream == instance.Upstream && s.version == instance.Version && (leaving || !s.leaving)
	if !known {
		s = &server{id: instance.ID, hash: hashID(instance.ID)}
		f.servers[instance.ID] = s
	}
	s.upstream = instance.Upstream
	s.address = instance.Address
	s.failureDomain = instance.FailureDomain
	s.region = f.Regions[s.failureDomain]
	s.slots = max(1, instance.Slots)
	s.version = instance.Version
	f.applyCold(s, instance, known, now)
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

// Counts sums up the state of a fleet's servers.
type Counts struct {
	// Ready, Leaving, Evacuated and Ejected count servers; each is counted once.
	Ready     int
	Leaving   int
	Evacuated int
	Ejected   int
	// EvacuatedDomains counts the evacuated failure domains.
	EvacuatedDomains int
	// Limited counts servers that name a limit, which are counted above too.
	Limited int
	// Cold counts servers that count as cold, which are counted above too.
	Cold int
	// Unconfirmed counts servers that get no further request until their probe is answered,
	// which are counted above too.
	Unconfirmed int
	// CutOff counts the upstreams whose servers this entry can't reach while others do.
	CutOff int
	// Adaptive sums up the upstreams whose servers are chosen by estimates.
	Adaptive AdaptiveCounts
	// InFlight counts this entry's requests at servers.
	InFlight int
	// ServerBytes is the most bytes of request bodies that this entry has outstanding at a
	// server.
	ServerBytes int64
	// Backlog is the longest prefill backlog of an engine.
	Backlog time.Duration
}

// Counts returns the state of the servers at now.
func (f *Fleet) Counts(now time.Time) Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts Counts
	for _, s := range f.servers {
		switch {
		case s.leaving:
			counts.Leaving++
		case f.isEvacuated(s):
			counts.Evacuated++
		case s.isEjected(now):
			counts.Ejected++
		default:
			counts.Ready++
		}
		if s.limit.Named {
			counts.Limited++
		}
		if f.isCold(s, now) {
			counts.Cold++
		} else if f.unconfirmedWait(s, now) > 0 {
			counts.Unconfirmed++
		}
		counts.InFlight += s.inFlight
		counts.ServerBytes = max(counts.ServerBytes, s.outstandingBytes)
		counts.Backlog = max(counts.Backlog, s.prefillUntil.Sub(now))
	}
	counts.Adaptive = f.adaptiveCounts(now)
	counts.EvacuatedDomains = len(f.evacuations.domains)
	for _, r := range f.paths {
		if !r.cutOffSince.IsZero() {
			counts.CutOff++
		}
	}
	return counts
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
		if !q.Version.allows(s.version) || !q.Regions.Allows(s.region) || slices.Contains(q.Tried, s.id) {
			continue
		}
		if !f.isEligible(s, allowed, q.Now) {
			continue
		}
		if wait, why := f.timeUntilFree(s, q); wait > 0 {
			if q.trace != nil {
				q.trace.skip(s, why, wait)
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

// timeUntilFree returns how long the server does not take the request, because it wants none,
// its limit is reached, it is full or has too many bytes of this entry, and which of these; 0 if
// it takes it now. mu is held.
func (f *Fleet) timeUntilFree(s *server, q *Query) (wait time.Duration, why string) {
	var full time.Duration
	if float64(s.occupancy(q.Now)) >= maxOccupancy*float64(s.slots) {
		full = fullRetryAfter
	}
	return f.timeUntilTaken(s, full, q)
}

// timeUntilTaken is timeUntilFree for a server that is full for the given time.
func (f *Fleet) timeUntilTaken(s *server, full time.Duration, q *Query) (wait time.Duration, why string) {
	wait, why = f.unboundedWait(s, full, q.Now)
	if outstanding := f.outstandingWait(s, q.Bytes); outstanding > wait {
		return outstanding, whyOutstanding
	}
	return wait, why
}

// unboundedWait is timeUntilTaken without the bound of this entry's bytes at the server.
func (f *Fleet) unboundedWait(s *server, full time.Duration, now time.Time) (wait time.Duration, why string) {
	if held := s.heldOffUntil.Sub(now); held > 0 {
		return held, whyHeldOff
	}
	if full > 0 {
		return full, whyFull
	}
	if wait := f.brittleWait(s, now); wait > 0 {
		return wait, whyBrittle
	}
	if wait := f.limitWait(s, now); wait > 0 {
		return wait, whyLimit
	}
	return f.coldWait(s, now), whyCold
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

// startPlacement counts the request as in flight at s and adds its prompt to
// the engine's expected load; mu is held.
func (f *Fleet) startPlacement(s *server, q Query) *Placement {
	p := &Placement{ID: s.id, Address: s.address, Version: s.version, fleet: f, server: s, StartedAt: q.Now, Granted: q.granted, bytes: q.Bytes}
	s.inFlight++
	s.outstandingBytes += q.Bytes
	f.reachOf(s.upstream).begin(q.Now)
	p.takeToken()
	p.takeColdToken(q.Now)
	if q.Prompt != nil {
		f.expectPrefill(p, q)
		f.addPrefill(s, q.Prompt, p.PrefillTime, q.Now)
		if f.PromptSent != nil {
			f.PromptSent(s.id, p.PrefillTime, q.Prompt.Prefix)
		}
	}
	return p
}

// addPrefill extends the engine's prefill backlog by prefillTime and records
// the prompt's prefix as cached; mu is held.
func (f *Fleet) addPrefill(s *server, prompt *Prompt, prefillTime time.Duration, now time.Time) {
	if s.prefillUntil.Before(now) {
		s.prefillUntil = now
	}
	s.prefillUntil = s.prefillUntil.Add(prefillTime)
	u := f.upstreamOf(s.upstream)
	s.prefixes.record(prompt.Prefix, int64(u.segmentTokens), now)
	if f.isAdaptive(u, now) {
		u.firstSegments.record(prompt.Prefix)
	}
	if u.policy.CacheTokens > 0 && f.isAdaptive(u, now) {
		u.evictPrefixes(s, u.estimate(s, now))
	}
}

// RecordAnswer records that the server has sent something.
func (p *Placement) RecordAnswer(now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.answered = true
	p.server.answered = true
	p.fleet.recordReachable(p.server, p.StartedAt, now)
	if !p.Peer {
		p.fleet.reachOf(p.server.upstream).recordAnswer(now)
	}
}

// HasAnswered reports whether the server has answered this entry.
func (p *Placement) HasAnswered() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.server.answered
}

// SetLoad records the load that the server reported at now.
func (p *Placement) SetLoad(load Load, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.recordReport(load, now)
}

// Done ends the placement and records how the request ended.
func (p *Placement) Done(outcome Outcome, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.inFlight--
	p.recordHold(outcome, now)
	p.server.outstandingBytes -= p.bytes
	p.recordPath(outcome, now)
	p.fleet.recordBrittleOutcome(p.server, outcome, now)
	previouslyEjectedUntil, wasHalfOpen := p.server.ejectedUntil, p.server.halfOpen
	p.server.recordOutcome(outcome, now)
	if p.Peer {
		return
	}
	ejected := p.server.ejectedUntil != previouslyEjectedUntil
	if ejected {
		p.fleet.notify(p.server, EventEjected, p.server.ejectedUntil.Sub(now))
	}
	p.recordColdOutcome(outcome, ejected, now)
	if wasHalfOpen && !p.server.halfOpen {
		p.fleet.notify(p.server, EventReadmitted, 0)
	}
	switch outcome.(type) {
	case Unreachable, Unused:
		p.returnToken()
		p.returnColdToken()
		p.cancelPrefill(now)
	case Declined:
		p.cancelPrefill(now)
	case Served, Failed, Abandoned:
	}
}

// recordPath records what the end of the placement says about the path to the server; mu is
// held. The failure of a server in an evacuated failure domain, which may be shut down, says
// nothing.
func (p *Placement) recordPath(outcome Outcome, now time.Time) {
	if p.Peer {
		return
	}
	r := p.fleet.reachOf(p.server.upstream)
	r.end()
	switch outcome.(type) {
	case Unreachable, Failed:
		if !p.answered && !p.fleet.isEvacuated(p.server) {
			r.recordUnreachable(p.server.id, now)
		}
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

// MarkLeaving records that the server has stated that it is about to stop. The fleet
// places no more requests at it.
func (p *Placement) MarkLeaving(now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.departures.ReportListed(departureKey(p.server.id, p.server.address), true, now)
	if p.server.leaving {
		return
	}
	p.server.leaving = true
	p.fleet.notify(p.server, EventLeaving, 0)
}

// HoldOff records that the server wants no requests until the given time.
func (p *Placement) HoldOff(until time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.heldOffUntil = later(p.server.heldOffUntil, until)
}

// MarkReplaced records that another server now has the address; the fleet
// treats the old one as leaving.
func (p *Placement) MarkReplaced(now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.leaving = true
	p.server.replaced = true
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
	s.report.announced++
	f.addPrefill(s, &Prompt{Prefix: segments}, prefillTime, now)
}
