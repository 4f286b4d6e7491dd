package place

import (
	"math/rand/v2"
	"time"
)

const (
	// rejectionUse is the part of the rejections that brittle servers bear which all entries
	// together risk.
	rejectionUse = 0.5
	// minBrittleHold and maxBrittleHold bound how long an entry sends nothing to a brittle
	// server that has turned a request away.
	minBrittleHold = 500 * time.Millisecond
	maxBrittleHold = 10 * time.Second
	// brittleTTL is how long servers count as brittle that have not said so again.
	brittleTTL = 30 * time.Second
	// manyEntries is the number of entries for each slot of a server from which no slot
	// can belong to one entry.
	manyEntries = 2
	// brittleFullRetryAfter is the retry delay returned when all servers are brittle and
	// full.
	brittleFullRetryAfter = 100 * time.Millisecond
)

// Brittle is what a response states about the rejections that its server bears.
type Brittle struct {
	// Named is set if the server is brittle: it falls over if it has to turn away more
	// requests in a second than PerSecond.
	Named     bool
	PerSecond float64
}

// brittleness is what the servers of an upstream have stated. Its zero value says that they
// are not brittle.
type brittleness struct {
	Brittle
	// namedAt is when a server last stated it.
	namedAt time.Time
}

// RecordBrittle records what the server has stated about itself in its response. As with
// limits, a response that states nothing ends it only if its request was sent later.
func (p *Placement) RecordBrittle(brittle Brittle, now time.Time) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.brittle[p.server.upstream]
	switch {
	case brittle.Named:
		if f.brittle == nil {
			f.brittle = make(map[string]brittleness)
		}
		f.brittle[p.server.upstream] = brittleness{Brittle: brittle, namedAt: now}
		if !known.Named {
			f.notify(p.server, EventBrittle, 0)
		}
	case known.Named && p.StartedAt.After(known.namedAt):
		delete(f.brittle, p.server.upstream)
		f.notify(p.server, EventNotBrittle, 0)
	}
}

// isBrittle reports whether the servers of an upstream are brittle; mu is held.
func (f *Fleet) isBrittle(upstream string, now time.Time) bool {
	known := f.brittle[upstream]
	return known.Named && now.Sub(known.namedAt) < brittleTTL
}

// IsBrittle reports whether the servers of an upstream are brittle.
func (f *Fleet) IsBrittle(upstream string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isBrittle(upstream, now)
}

// brittleWait returns how long a brittle server takes no request of this entry: its slots
// are taken, or this entry's part of them; mu is held.
func (f *Fleet) brittleWait(s *server, now time.Time) time.Duration {
	if !f.isBrittle(s.upstream, now) {
		return 0
	}
	if now.Sub(s.ownSlotsAt) >= shareInterval {
		s.ownSlots = f.brittleSlots(s)
		s.ownSlotsAt = now
	}
	if s.occupancy(now) >= s.slots || s.inFlight >= s.ownSlots {
		return brittleFullRetryAfter
	}
	return 0
}

// brittleSlots returns how many requests this entry may have at a brittle server. The parts
// of all entries add up to its slots; where there are many more entries than slots, each
// may have one request, and brittleHold spreads the rejections. mu is held.
func (f *Fleet) brittleSlots(s *server) int {
	share := f.limitShare(s, s.slots)
	entries := 1 / f.limitShare(s, maxCountedEntries)
	if share == 0 && entries <= float64(manyEntries*s.slots) {
		return 0
	}
	return max(1, int(share*float64(s.slots)))
}

// recordBrittleOutcome makes this entry send nothing for a time to a brittle server that has
// turned a request away, so that all entries together are turned away less often than the
// server bears. mu is held.
func (f *Fleet) recordBrittleOutcome(s *server, outcome Outcome, now time.Time) {
	if _, ok := outcome.(Declined); ok && f.isBrittle(s.upstream, now) {
		s.heldOffUntil = later(s.heldOffUntil, now.Add(f.brittleHold(s)))
	}
}

// brittleHold returns a random time for which this entry sends nothing to a brittle server;
// mu is held.
func (f *Fleet) brittleHold(s *server) time.Duration {
	seconds := maxBrittleHold.Seconds()
	risked := rejectionUse * f.brittle[s.upstream].PerSecond * f.limitShare(s, maxCountedEntries)
	if risked > 0 {
		seconds = min(seconds, max(minBrittleHold.Seconds(), 1/risked))
	}
	mean := time.Duration(seconds * float64(time.Second))
	return mean/2 + rand.N(mean)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
