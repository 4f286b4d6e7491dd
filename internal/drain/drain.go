// Package drain decides which requests an entry that is shutting down still takes.
package drain

import "time"

// Plan describes the shutdown of an instance.
type Plan struct {
	// AcceptUntil is the time until which new connections still arrive.
	AcceptUntil time.Time
	// End is when requests in progress are interrupted; zero means never.
	End time.Time
}

// Refuses reports whether a request that arrives at now with the given deadline must
// be refused because the end of the shutdown may interrupt it. While new connections
// still arrive no request is refused: their callers don't know yet that the instance
// is leaving. A nil Plan refuses none.
func (p *Plan) Refuses(now, deadline time.Time) bool {
	return p != nil && !p.End.IsZero() && now.After(p.AcceptUntil) && deadline.After(p.End)
}
