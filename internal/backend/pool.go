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
	// failureDomains are the servers' failure failureDomains.
	failureDomains map[string]string
	// candidates are the servers of each work.
	candidates  map[string][]*route.Server
	controllers map[string]*admit.Controller
	retryBudget route.RetryBudget
}

// PlacementRequest describes a request that needs a place.
type PlacementRequest struct {
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
	// TimeToFirstToken is the time from the dispatch to the first token; 0 is unknown.
	TimeToFirstToken time.Duration
	// InterTokenTime is the mean time between tokens; 0 is unknown.
	InterTokenTime time.Duration
}

// Lease is a place at a backend server. Release it once.
type Lease struct {
	Name    string
	Address string
	// Result is set before Release.
	Result Result

	pool       *Pool
	kind       string
	work       string
	server     *route.Server
	acquiredAt time.Time
}

// waiter is a request that waits for a place.
type waiter struct {
	request *admit.Request
	kind    string
	// decided has one slot for the final decision.
	decided chan outcome
}

// outcome is a place or a refusal.
type outcome struct {
	server *route.Server
	busy   *Busy
}

// Acquire takes a place at a backend server for the work, waits for one while
// the deadline of ctx can still be met, or refuses at once.
func (p *Pool) Acquire(ctx context.Context, req PlacementRequest) (*Lease, *Busy) {
	w, decision := p.offer(ctx, req)
	switch decision := decision.(type) {
	case admit.Placed:
		return p.lease(w, decision.Server), nil
	case admit.Queued:
		return p.awaitPlacement(ctx, w, decision.GiveUp)
	case admit.Refused:
		return nil, &Busy{RetryAfter: decision.RetryAfter}
	default:
		return nil, &Busy{}
	}
}

func (p *Pool) offer(ctx context.Context, req PlacementRequest) (*waiter, admit.Decision) {
	now := time.Now()
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = now.Add(config.DefaultDeadline)
	}
	work := req.Document.Works[req.WorkName]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.document == nil {
		p.applyDocument(req.Document)
	}
	if len(req.Tried) == 0 {
		p.retryBudget.Request()
	}
	request := &admit.Request{
		Class:     classOf(work.Priority),
		Workspace: req.Workspace,
		Weight:    req.Document.Workspaces[req.Workspace].Weight,
		Work:      req.WorkName,
		Servers:   p.candidates[req.WorkName],
		Prefix:    req.Prefix,
		Tried:     req.Tried,
		Cost:      req.Cost,
		Deadline:  deadline,
	}
	w := &waiter{request: request, kind: work.Kind, decided: make(chan outcome, 1)}
	request.Owner = w
	decision, displaced := p.controller(work.Kind).Offer(request, now)
	if displaced != nil {
		p.refuse(displaced)
	}
	return w, decision
}

// refuse answers a waiting request; mu is held.
func (p *Pool) refuse(r *admit.Request) {
	w := r.Owner.(*waiter)
	w.decided <- outcome{busy: &Busy{RetryAfter: p.controller(w.kind).Expire(r)}}
}

func (p *Pool) awaitPlacement(ctx context.Context, w *waiter, giveUp time.Time) (*Lease, *Busy) {
	timer := time.NewTimer(time.Until(giveUp))
	defer timer.Stop()
	select {
	case o := <-w.decided:
		return p.leaseOrBusy(w, o)
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	if len(w.decided) == 0 {
		p.refuse(w.request)
	}
	p.mu.Unlock()
	return p.leaseOrBusy(w, <-w.decided)
}

func (p *Pool) leaseOrBusy(w *waiter, o outcome) (*Lease, *Busy) {
	if o.busy != nil {
		return nil, o.busy
	}
	return p.lease(w, o.server), nil
}

func (p *Pool) lease(w *waiter, server *route.Server) *Lease {
	return &Lease{
		Name:       server.Name,
		Address:    server.Address,
		pool:       p,
		kind:       w.kind,
		work:       w.request.Work,
		server:     server,
		acquiredAt: time.Now(),
	}
}

// Release gives the place back and lets the next request have it.
func (l *Lease) Release() {
	now := time.Now()
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller(l.kind).Finish(l.server, l.work, l.responseTime(now), now)
	l.recordResult(now)
	p.placeWaiting(now)
}

// responseTime returns how long an answer took; 0 when there was none.
func (l *Lease) responseTime(now time.Time) time.Duration {
	if !l.Result.Sent || l.Result.Failed || l.Result.Refused {
		return 0
	}
	return now.Sub(l.acquiredAt)
}

func (l *Lease) recordResult(now time.Time) {
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
	if l.Result.TimeToFirstToken > 0 {
		l.server.Observed(l.Result.TimeToFirstToken, l.Result.InterTokenTime, now)
	}
}

// placeWaiting places the waiting requests that now fit; mu is held.
func (p *Pool) placeWaiting(now time.Time) {
	for _, controller := range p.controllers {
		for {
			r, server := controller.Next(now)
			if r == nil {
				break
			}
			_ = p.Check.Check(!server.Leaving, invariant.LeavingServer, "place at %s, which is leaving", server.Name)
			r.Owner.(*waiter).decided <- outcome{server: server}
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
	return p.retryBudget.Retry()
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
