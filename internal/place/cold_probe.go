package place

import (
	"math/rand/v2"
	"time"
)

const (
	// coldProbeInterval is the least time between two probes of a server, and maxColdProbes
	// how many probes are started at once.
	coldProbeInterval = 250 * time.Millisecond
	maxColdProbes     = 8
	// probeRequestTTL is how long a server is probed at the request of another entry, unless it
	// answers before.
	probeRequestTTL = 1500 * time.Millisecond
	// probeRequestInterval is the least time between two requests to other entries to probe
	// the same server.
	probeRequestInterval = time.Second
)

// coldProbe is the state of the probes that find out whether a server has started again. Its
// zero value is a server that needs none.
type coldProbe struct {
	// running is set while a probe is on its way, and startedAt is when the last one began.
	running   bool
	startedAt time.Time
	// tookToken is set if it counts against this entry's share.
	tookToken bool
	// requestedUntil is the time until which the server is probed because another entry, which
	// could not reach it, has asked for it.
	requestedUntil time.Time
	// unstated is set once the server has answered a probe and not stated whether it is cold.
	unstated bool
	// askedAt is when this entry last asked others to probe the server.
	askedAt time.Time
}

// recordUnreachable makes the server count as cold until it answers, or for a random time of
// one to two times ColdStart: after a fixed time all entries without a share would send it
// requests at once. mu is held.
func (f *Fleet) recordUnreachable(s *server, now time.Time) {
	coldStart := f.upstreamOf(s.upstream).policy.ColdStart
	s.cold.unreachableAt = now
	s.cold.retryAt = now.Add(coldStart + rand.N(coldStart))
	f.isCold(s, now)
}

// askForProbes asks the entries that may send the server requests while it is cold to probe
// it. They learn how long it stays cold, and tell all others. Nothing is asked if this entry
// has lost its path to the servers; mu is held.
func (f *Fleet) askForProbes(s *server, now time.Time) {
	p := &s.cold.probe
	if f.Unreached == nil || now.Sub(p.askedAt) < probeRequestInterval || !f.reachOf(s.upstream).cutOffSince.IsZero() {
		return
	}
	p.askedAt = now
	f.Unreached(s.id, maxColdEntries(f.upstreamOf(s.upstream).policy.ColdRequestsPerSecond))
}

// RecordProbeRequest records that another entry, which could not reach the server with the
// given id, has asked this one to probe it. Unknown ids are ignored.
func (f *Fleet) RecordProbeRequest(id string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || !f.boundsColdStart(s.upstream) {
		return
	}
	s.cold.probe.requestedUntil = now.Add(probeRequestTTL)
}

// takePathProbe counts a probe of the path that sends a request: against this entry's share of
// a cold server, or as the only request to an unconfirmed one. The unconfirmed server is then
// probed only if it is still unconfirmed after coldProbeInterval. mu is held.
func (f *Fleet) takePathProbe(s *server, now time.Time) {
	switch {
	case f.isCold(s, now):
		s.cold.tokens--
	case f.isUnconfirmed(s, now):
		s.cold.unconfirmed.sent = true
		s.cold.probe.startedAt = now
	}
}

// boundsColdStart reports whether the servers of an upstream are cold after their start, and
// then take only some requests; mu is held.
func (f *Fleet) boundsColdStart(upstream string) bool {
	policy := f.upstreamOf(upstream).policy
	return policy.ColdRequestsPerSecond > 0 && policy.ColdStart > 0
}

// StartColdProbes returns servers that may have started again, or are cold, and must be
// probed now. The caller must call EndColdProbe for each.
func (f *Fleet) StartColdProbes(now time.Time) []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []Endpoint
	for _, s := range f.servers {
		if len(endpoints) == maxColdProbes {
			break
		}
		if f.mayProbeCold(s) && f.startColdProbe(s, now) {
			endpoints = append(endpoints, s.endpoint())
		}
	}
	return endpoints
}

// mayProbeCold reports whether the server is neither leaving nor evacuated and its upstream
// bounds cold starts, so that it may be probed; mu is held.
func (f *Fleet) mayProbeCold(s *server) bool {
	return !s.leaving && !f.isEvacuated(s) && f.boundsColdStart(s.upstream)
}

// endpoint returns the server as the target of a probe.
func (s *server) endpoint() Endpoint {
	return Endpoint{ID: s.id, Address: s.address, Upstream: s.upstream}
}

// startColdProbe reports whether the server must be probed now, and counts a probe of a cold
// one against this entry's share. It waits for no token, because requests would leave it none
// and entries that join would not learn that the server is cold. A probe of an unconfirmed
// server needs no share. mu is held.
func (f *Fleet) startColdProbe(s *server, now time.Time) bool {
	p := &s.cold.probe
	if p.running || !f.needsColdProbe(s, now) {
		return false
	}
	if f.isCold(s, now) && f.coldWait(s, now) > 0 && s.cold.share == 0 {
		return false
	}
	p.running = true
	p.startedAt = now
	p.tookToken = f.isCold(s, now)
	if p.tookToken {
		s.cold.tokens--
	}
	return true
}

// needsColdProbe reports whether a probe would tell whether the server is back, or, to all
// entries, how long it stays cold; mu is held.
func (f *Fleet) needsColdProbe(s *server, now time.Time) bool {
	c := &s.cold
	switch {
	case !c.unreachableAt.IsZero() || now.Before(c.probe.requestedUntil) || f.needsUnconfirmedProbe(s, now):
		return now.Sub(c.probe.startedAt) >= coldProbeInterval
	case c.probe.unstated || !f.isCold(s, now):
		return false
	default:
		return now.Sub(c.probe.startedAt) >= coldAnnounceInterval && now.Sub(c.announcedAt) >= coldAnnounceInterval
	}
}

// Probed is the result of a probe.
type Probed int

const (
	// NotConnected means that no connection was opened, so that nothing was sent.
	NotConnected Probed = iota
	// NotAnswered means that the server has not answered.
	NotAnswered
	// Answered means that the server has answered, or accepted a connection if it has no
	// health check.
	Answered
)

// EndColdProbe ends a probe that was begun by StartColdProbes.
func (f *Fleet) EndColdProbe(endpoint Endpoint, result Probed, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[endpoint.ID]
	if s == nil || s.address != endpoint.Address {
		return
	}
	p := &s.cold.probe
	p.running = false
	if p.tookToken && result == NotConnected {
		s.cold.tokens++
	}
	p.tookToken = false
	if result != Answered {
		f.recordUnreachable(s, now)
		if f.isUnconfirmed(s, now) {
			f.askForProbes(s, now)
		}
		return
	}
	s.cold.confirmBy(p.startedAt)
	p.requestedUntil = time.Time{}
	p.unstated = s.cold.statedAt.Before(p.startedAt)
	f.recordReachable(s, p.startedAt, now)
}

// recordReachable makes a server count as cold that was unreachable and answers again. The
// answer to a request that was sent before shows that it has not started again. mu is held.
func (f *Fleet) recordReachable(s *server, sentAt, now time.Time) {
	c := &s.cold
	if c.unreachableAt.IsZero() {
		return
	}
	if !sentAt.Before(c.unreachableAt) {
		c.assume(coldReachable, c.unreachableAt, now)
	}
	c.forgetUnreachable()
	f.isCold(s, now)
}
