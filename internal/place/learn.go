package place

import "time"

// expectation is what the entry expected of a server when it placed a request there.
type expectation struct {
	// wait is the time until the engine begins with the prompt.
	wait time.Duration
	// usualPrefill is the time for the prompt by engineSpeed; 0 if none is to be learned.
	usualPrefill time.Duration
	// eventSeen is set once the first event has arrived.
	eventSeen bool
}

// expectPrefill returns the time that the engine is expected to need for the prompt of a new
// placement, and records what else is expected of it; mu is held.
func (f *Fleet) expectPrefill(p *Placement, q Query) time.Duration {
	s := p.server
	u := f.upstreamOf(s.upstream)
	usual := s.prefillTime(q.Prompt)
	if !f.isAdaptive(u, q.Now) {
		return usual
	}
	load := u.estimate(s, q.Now)
	p.expected.wait = load.duration(s.backlog(q.Now)) + u.slotWait(load.requests-1, s.slots)
	p.expected.usualPrefill = usual
	return time.Duration(u.paceFactor(s) * float64(usual))
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
	if p.expected.usualPrefill == 0 || !f.isAdaptive(u, now) {
		return
	}
	load := u.estimate(p.server, now)
	slowdown := load.slowdown * (1 + load.excess)
	u.recordPrefill(p.server, time.Duration(float64(elapsed)/slowdown), time.Duration(float64(p.expected.wait)/slowdown), p.expected.usualPrefill)
}

// recordHold records for how long the server held a request that it served; mu is held.
func (p *Placement) recordHold(outcome Outcome, now time.Time) {
	if _, served := outcome.(Served); !served || p.Peer {
		return
	}
	p.fleet.upstreamOf(p.server.upstream).holdTime.record(now.Sub(p.StartedAt))
}
