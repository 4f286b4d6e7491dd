package place

import "time"

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
