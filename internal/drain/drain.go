// Package drain decides which requests an entry that is shutting down still takes.
package drain

import (
	"sync/atomic"
	"time"
)

// Plan describes the shutdown of an instance.
type Plan struct {
	// Start is when the shutdown began.
	Start time.Time
	// NoticedBy is when callers and load balancers have had the time to notice that the
	// instance is leaving. It may still accept connections for longer.
	NoticedBy time.Time
	// End is when requests in progress are interrupted; zero means never.
	End time.Time
}

// Refuses reports whether a request that is complete at now and has the given deadline
// must be refused because the end of the shutdown may interrupt it. Before NoticedBy no
// request is refused, because most end much sooner than at their deadline. A nil Plan
// refuses none.
func (p *Plan) Refuses(now, deadline time.Time) bool {
	return p != nil && !p.End.IsZero() && now.After(p.NoticedBy) && deadline.After(p.End)
}

// HasEnded reports whether requests in progress are interrupted at now. A nil Plan never
// ends.
func (p *Plan) HasEnded(now time.Time) bool {
	return p != nil && !p.End.IsZero() && !now.Before(p.End)
}

// Drain holds the plan of an instance once it is shutting down. Its zero value is an
// instance that is not. It is safe for concurrent use.
type Drain struct {
	plan atomic.Pointer[Plan]
}

// Begin starts the shutdown.
func (d *Drain) Begin(plan Plan) {
	d.plan.Store(&plan)
}

// Plan returns the plan of the shutdown, or nil if the instance is not shutting down.
func (d *Drain) Plan() *Plan {
	return d.plan.Load()
}
