package place

import "time"

// expectation is what the entry expected of a server when it placed a request there.
type expectation struct {
	// wait is the time until the engine begins with the prompt.
	wait time.Duration
	// usualPrefill is the time for the prompt by engineSpeed; 0 if none is to be learned.
	usualPrefill time.Duration
	// heldTokens is what the request holds of the engine's memory beside its prefix.
	heldTokens int64
	// class and timeLeft are those of the request; timeLeft is 0 if it is not known.
	class    class
	timeLeft time.Duration
	// eventSeen is set once the first event has arrived.
	eventSeen bool
}

// expectPrefill records what is expected of the engine of a new placement; mu is held.
func (f *Fleet) expectPrefill(p *Placement, q Query) {
	s := p.server
	u := f.upstreamOf(s.upstream)
	u.recordSegments(q.Prompt)
	p.expected.heldTokens = q.Prompt.heldTokens()
	used, kept := s.prefixes.leadingTokens(q.Prompt)
	if !f.isAdaptive(u, q.Now) {
		p.CachedTokens = used
		p.PrefillTime = engineSpeed.Prefill(used, q.Prompt.Tokens-used)
		return
	}
	if len(q.Tried) == 0 {
		p.expected.class = u.room.classOf(&q)
		p.expected.timeLeft = q.TimeLeft
	}
	load := u.estimate(s, q.Now)
	p.CachedTokens = kept
	p.expected.usualPrefill = engineSpeed.Prefill(kept, q.Prompt.Tokens-kept)
	p.expected.wait = load.duration(s.backlog(q.Now)) + u.slotWait(load.requests-1, s.slots)
	p.PrefillTime = u.prefillTime(s, q.Prompt, kept)
}

// recordReport records the load that the server reported at now; mu is held.
func (p *Placement) recordReport(load Load, now time.Time) {
	if !p.Peer {
		p.fleet.upstreamOf(p.server.upstream).recordReport(p.server, load, now)
	}
}

// RecordFirstEvent records that the first event of a stream has arrived, which shows how
// fast the engine has read the prompt.
func (p *Placement) RecordFirstEvent(now time.Time) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Peer || p.expected.eventSeen {
		return
	}
	p.expected.eventSeen = true
	u := f.upstreamOf(p.server.upstream)
	elapsed := now.Sub(p.StartedAt)
	u.firstEventTime.record(elapsed)
	p.recordFirstEventInTime(u, elapsed <= p.expected.timeLeft)
	if p.expected.usualPrefill == 0 || !f.isAdaptive(u, now) {
		return
	}
	load := u.estimate(p.server, now)
	slowdown := load.slowdown * (1 + load.excess)
	u.recordPrefill(p.server, time.Duration(float64(elapsed)/slowdown), time.Duration(float64(p.expected.wait)/slowdown), p.expected.usualPrefill)
}

// recordHold records for how long the server held a request that it served, or that the
// caller left before the first event; mu is held.
func (p *Placement) recordHold(outcome Outcome, now time.Time) {
	if _, abandoned := outcome.(Abandoned); abandoned && !p.Peer && !p.expected.eventSeen {
		elapsed := now.Sub(p.StartedAt)
		p.recordFirstEventInTime(p.fleet.upstreamOf(p.server.upstream), elapsed < p.expected.timeLeft)
	}
	if _, served := outcome.(Served); !served || p.Peer {
		return
	}
	u := p.fleet.upstreamOf(p.server.upstream)
	u.holdTime.record(now.Sub(p.StartedAt))
	u.held.record(p.expected.heldTokens, now.Sub(p.StartedAt))
}
