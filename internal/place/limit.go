package place

import (
	"time"
)

// rateLimit is the limit that a server has named: how many requests it takes from all
// entries together. Its zero value is no limit.
type rateLimit struct {
	named bool
	// perSecond is the number of requests a second.
	perSecond float64
	// namedAt is when the server last named the limit.
	namedAt time.Time
}

// RecordLimit records the limit that the server has named in its response, in requests a
// second from all entries together, or nil if it named none. A response without a limit
// ends the limit only if its request was sent after the limit was last named: responses
// may overtake each other.
func (p *Placement) RecordLimit(perSecond *float64, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if perSecond == nil {
		p.fleet.endLimit(p.server, p.startedAt)
		return
	}
	p.fleet.nameLimit(p.server, *perSecond, now)
}

// nameLimit records a limit that the server named at the given time; mu is held.
func (f *Fleet) nameLimit(s *server, perSecond float64, at time.Time) {
	if s.limit.named && !at.After(s.limit.namedAt) {
		return
	}
	changed := !s.limit.named || s.limit.perSecond != perSecond
	s.limit.named = true
	s.limit.perSecond = perSecond
	s.limit.namedAt = at
	if changed {
		f.notify(s, EventLimited, 0)
	}
}

// endLimit ends the server's limit unless it was named after the given time; mu is held.
func (f *Fleet) endLimit(s *server, at time.Time) {
	if !s.limit.named || !at.After(s.limit.namedAt) {
		return
	}
	s.limit = rateLimit{}
	f.notify(s, EventUnlimited, 0)
}
