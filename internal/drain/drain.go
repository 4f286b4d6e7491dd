// Package drain ends the work of an entry that is shutting down: it decides which requests
// are still taken, and interrupts those that are in progress at the end.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInterrupted is the cause with which the context of a request ends when the shutdown
// interrupts it.
var ErrInterrupted = errors.New("the shutdown has interrupted the request")

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
// request is refused, because most end much sooner than at their deadline; after the end
// every one would be interrupted at once. A nil Plan refuses none.
func (p *Plan) Refuses(now, deadline time.Time) bool {
	if p.HasEnded(now) {
		return true
	}
	return p != nil && !p.End.IsZero() && now.After(p.NoticedBy) && deadline.After(p.End)
}

// HasEnded reports whether requests in progress are interrupted at now. A nil Plan never
// ends.
func (p *Plan) HasEnded(now time.Time) bool {
	return p != nil && !p.End.IsZero() && !now.Before(p.End)
}

// Drain is the shutdown of an instance. Its zero value is an instance that is not shutting
// down. It is safe for concurrent use.
type Drain struct {
	plan atomic.Pointer[Plan]

	prepare sync.Once
	// ended is done once requests in progress are interrupted.
	ended     context.Context
	interrupt context.CancelFunc
}

// Begin starts the shutdown.
func (d *Drain) Begin(plan Plan) {
	d.prepare.Do(d.init)
	d.plan.Store(&plan)
	if !plan.End.IsZero() {
		time.AfterFunc(time.Until(plan.End), d.interrupt)
	}
}

// init creates the context that ends with the shutdown.
func (d *Drain) init() {
	d.ended, d.interrupt = context.WithCancel(context.Background())
}

// Plan returns the plan of the shutdown, or nil if the instance is not shutting down.
func (d *Drain) Plan() *Plan {
	return d.plan.Load()
}

// Context returns a context for a request that ends with parent, and with the cause
// ErrInterrupted at the end of the shutdown. The caller must call cancel.
func (d *Drain) Context(parent context.Context) (ctx context.Context, cancel context.CancelFunc) {
	d.prepare.Do(d.init)
	ctx, end := context.WithCancelCause(parent)
	stop := context.AfterFunc(d.ended, func() { end(ErrInterrupted) })
	return ctx, func() {
		stop()
		end(context.Canceled)
	}
}

// IsInterrupted reports whether the end of the shutdown has ended ctx.
func IsInterrupted(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrInterrupted)
}
