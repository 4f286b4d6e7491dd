package overload

import (
	"maps"
	"time"
)

// Outlook tells how a request would be decided on.
type Outlook struct {
	// Hopeless is set if the delay exceeds the time that the caller still has.
	Hopeless bool
	// Refusal is the probability, from 0 to 1, with which the request would be shed.
	Refusal float64
	// Delay and Level are those of the last step; Known is false if no delay was measured.
	Delay time.Duration
	Known bool
	Level float64
}

// Outlook tells how Admit would decide on a request by what was measured at the last step. It
// neither draws nor counts, and later decisions are the same as without it.
func (c *Controller) Outlook(now time.Time, r Request) Outlook {
	c.mu.Lock()
	defer c.mu.Unlock()
	saved := c.usage
	c.usage.bytes = maps.Clone(saved.bytes)
	defer func() { c.usage = saved }()
	o := Outlook{Hopeless: c.isHopeless(r), Delay: c.measured, Known: c.known, Level: c.sheddingLevel()}
	if c.mayShed(r) {
		o.Refusal = c.refusalProbability(now, r)
	}
	return o
}

// isHopeless reports whether a request is refused because the delay exceeds the time that the
// caller still has; mu is held.
func (c *Controller) isHopeless(r Request) bool {
	return !c.MeasureOnly && c.known && c.measured > r.Remaining
}

// mayShed reports whether requests like r are shed; mu is held.
func (c *Controller) mayShed(r Request) bool {
	return !r.Resumes && c.sheddingLevel() > 0
}
