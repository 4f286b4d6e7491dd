// Package backend speaks to backend servers: model engines and plain services.
package backend

import (
	"context"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/route"
)

// subsetSize bounds the servers of one work that an instance routes over.
const subsetSize = 768

// Pool admits an entry's requests to backend servers; its zero value works.
type Pool struct {
	FailureDomain string
	// Instance decides the subset of servers at the large size.
	Instance string
	Check    *invariant.Checker
	// Departures says which servers are leaving; nil means none but those of the
	// configuration.
	Departures Departures

	mu       sync.Mutex
	document *config.Document
	servers  map[string]*route.Server
	// domains are the servers' failure domains.
	domains map[string]string
	// candidates are the servers of each work.
	candidates  map[string][]*route.Server
	controllers map[string]*admit.Controller
	retries     route.RetryBudget
}

// Ask describes a request that needs a place.
type Ask struct {
	Document  *config.Document
	Workspace string
	WorkName  string
	// Prefix is the prompt's affinity; 0 is none.
	Prefix uint64
	// Cost is the worst case in tokens.
	Cost int64
	// Tried are names of servers that are left out.
	Tried map[string]bool
}

// Busy is a refusal before any dispatch.
type Busy struct {
	// RetryAfter tells when to come back.
	RetryAfter time.Duration
}

// Result is what a request showed of its backend server.
type Result struct {
	// Sent is true once the request may have been sent.
	Sent bool
	// Failed is true when the server is at fault.
	Failed bool
	// Refused is true when it refused for its load.
	Refused bool
	// First is the time from the dispatch to the first token; 0 is unknown.
	First time.Duration
	// Gap is the mean time between tokens; 0 is unknown.
	Gap time.Duration
}

// Lease is a place at a backend server. Release it once.
type Lease struct {
	Name    string
	Address string
	// Result is set before Release.
	Result Result

	pool   *Pool
	kind   string
	work   string
	server *route.Server
	since  time.Time
}

// ticket is a request that waits for a place.
type ticket struct {
	request *admit.Request
	kind    string
	// placed has one slot for the final decision.
	placed chan outcome
}

// outcome is a place or a refusal.
type outcome struct {
	server *route.Server
	busy   *Busy
}

// Acquire takes a place at a backend server for the work, waits for one while
// the deadline of ctx can still be met, or refuses at once.
func (p *Pool) Acquire(ctx context.Context, ask Ask) (*Lease, *Busy) {
	t, decision := p.offer(ctx, ask)
	switch decision := decision.(type) {
	case admit.Placed:
		return p.lease(t, decision.Server), nil
	case admit.Queued:
		return p.await(ctx, t, decision.GiveUpAt)
	case admit.Refused:
		return nil, &Busy{RetryAfter: decision.RetryAfter}
	default:
		return nil, &Busy{}
	}
}

func (p *Pool) offer(ctx context.Context, ask Ask) (*ticket, admit.Decision) {
	now := time.Now()
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = now.Add(config.DefaultDeadline)
	}
	work := ask.Document.Works[ask.WorkName]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.document == nil {
		p.sync(ask.Document)
	}
	if len(ask.Tried) == 0 {
		p.retries.Request()
	}
	request := &admit.Request{
		Class:     classOf(work.Priority),
		Workspace: ask.Workspace,
		Weight:    ask.Document.Workspaces[ask.Workspace].Weight,
		Work:      ask.WorkName,
		Servers:   p.candidates[ask.WorkName],
		Prefix:    ask.Prefix,
		Tried:     ask.Tried,
		Cost:      ask.Cost,
		Deadline:  deadline,
	}
	t := &ticket{request: request, kind: work.Kind, placed: make(chan outcome, 1)}
	request.Owner = t
	decision, victim := p.controller(work.Kind).Offer(request, now)
	if victim != nil {
		p.refuse(victim)
	}
	return t, decision
}

// refuse answers a waiting request; mu is held.
func (p *Pool) refuse(r *admit.Request) {
	t := r.Owner.(*ticket)
	t.placed <- outcome{busy: &Busy{RetryAfter: p.controller(t.kind).Expire(r)}}
}

func (p *Pool) await(ctx context.Context, t *ticket, giveUp time.Time) (*Lease, *Busy) {
	timer := time.NewTimer(time.Until(giveUp))
	defer timer.Stop()
	select {
	case o := <-t.placed:
		return p.settle(t, o)
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	if len(t.placed) == 0 {
		p.refuse(t.request)
	}
	p.mu.Unlock()
	return p.settle(t, <-t.placed)
}

func (p *Pool) settle(t *ticket, o outcome) (*Lease, *Busy) {
	if o.busy != nil {
		return nil, o.busy
	}
	return p.lease(t, o.server), nil
}

func (p *Pool) lease(t *ticket, server *route.Server) *Lease {
	return &Lease{
		Name:    server.Name,
		Address: server.Address,
		pool:    p,
		kind:    t.kind,
		work:    t.request.Work,
		server:  server,
		since:   time.Now(),
	}
}

// Release gives the place back and lets the next request have it.
func (l *Lease) Release() {
	now := time.Now()
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller(l.kind).Finish(l.server, l.work, l.held(now), now)
	l.learn(now)
	p.wake(now)
}

// held returns how long an answer took; 0 when there was none.
func (l *Lease) held(now time.Time) time.Duration {
	if !l.Result.Sent || l.Result.Failed || l.Result.Refused {
		return 0
	}
	return now.Sub(l.since)
}

func (l *Lease) learn(now time.Time) {
	if !l.Result.Sent {
		return
	}
	switch {
	case l.Result.Failed:
		l.server.Failed(now)
	case l.Result.Refused:
		l.server.Overloaded(now)
	default:
		l.server.Succeeded(now)
	}
	if l.Result.First > 0 {
		l.server.LatencyObserved(l.Result.First, l.Result.Gap, now)
	}
}

// wake places the waiting requests that now fit; mu is held.
func (p *Pool) wake(now time.Time) {
	for _, controller := range p.controllers {
		for {
			r, server := controller.Next(now)
			if r == nil {
				break
			}
			_ = p.Check.Check(!server.Leaving, invariant.NoDispatchToLeavingServer, "place at %s, which is leaving", server.Name)
			r.Owner.(*ticket).placed <- outcome{server: server}
		}
	}
}

func (p *Pool) controller(kind string) *admit.Controller {
	c := p.controllers[kind]
	if c == nil {
		c = &admit.Controller{FailureDomain: p.FailureDomain, QueueLimit: p.queueLimit()}
		if p.controllers == nil {
			p.controllers = make(map[string]*admit.Controller)
		}
		p.controllers[kind] = c
	}
	return c
}

func (p *Pool) queueLimit() int {
	if p.document == nil {
		return 0
	}
	return p.document.Limits.QueuedRequests
}

// Retry tells whether the retry budget allows another try, and counts it.
func (p *Pool) Retry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retries.Retry()
}

// Running returns the number of own requests in progress at a backend server.
func (p *Pool) Running(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[name]
	if server == nil {
		return 0
	}
	return server.Running()
}

func classOf(priority string) admit.Class {
	switch priority {
	case config.PriorityInteractive:
		return admit.Interactive
	case config.PriorityBatch:
		return admit.Batch
	default:
		return admit.Standard
	}
}
