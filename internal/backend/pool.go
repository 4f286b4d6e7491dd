// Package backend sends requests to backend servers (model engines and plain
// services), polls their load and places requests on them.
package backend

import (
	"context"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/route"
)

// subsetSize is the maximum number of servers of one work that an instance uses.
const subsetSize = 768

// Pool places an entry's requests on backend servers or queues them. Its zero value
// is ready to use.
type Pool struct {
	FailureDomain string
	// Instance is the entry's instance id. It determines the subset of servers for
	// a work that has more than subsetSize.
	Instance string
	Check    *invariant.Checker
	// Departures tracks the leaving servers by address. If it is nil, only those
	// marked in the configuration are leaving.
	Departures *instances.Departures

	mu       sync.Mutex
	document *config.Document
	servers  map[string]*route.Server
	// failureDomains maps server names to failure domains.
	failureDomains map[string]string
	// evacuatedDomains counts the evacuated failure domains.
	evacuatedDomains int
	// candidates maps work names to the servers that may run the work.
	candidates map[string][]*route.Server
	// controllers maps kinds of work to their admission controllers.
	controllers map[string]*admit.Controller
	retries     retry.Budget
}

// PlacementRequest describes a request that is to be placed on a backend server.
type PlacementRequest struct {
	Document  *config.Document
	Workspace string
	WorkName  string
	// Prompt is nil for a request that runs no model.
	Prompt *place.Prompt
	// Cost is the worst case in tokens.
	Cost int64
	// Tried holds the names of servers to exclude.
	Tried map[string]bool
}

// Busy reports that no backend server can take the request; nothing was
// dispatched.
type Busy struct {
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Result records how a backend server handled a request, for placement and outlier
// ejection.
type Result struct {
	// Sent is true if the request may have been sent.
	Sent bool
	// Failed is true if the request failed because of the server.
	Failed bool
	// Refused is true if the server refused the request.
	Refused bool
	// TimeToFirstToken is the time from the dispatch to the first token; 0 is
	// unknown.
	TimeToFirstToken time.Duration
	// InterTokenTime is the mean time between tokens; 0 is unknown.
	InterTokenTime time.Duration
}

// Lease is permission to run one request at a backend server. Release it exactly
// once.
type Lease struct {
	// Name is the backend server's name in the configuration.
	Name    string
	Address string
	// Result is set by the holder before Release.
	Result Result

	pool       *Pool
	kind       string
	work       string
	server     *route.Server
	acquiredAt time.Time
}

// waiter is a request that was offered to an admission controller.
type waiter struct {
	request *admit.Request
	kind    string
	// decided receives the outcome of a queued request; its buffer of one lets the
	// sender hold mu.
	decided chan outcome
}

// outcome is a server or, if busy is set, a refusal.
type outcome struct {
	server *route.Server
	busy   *Busy
}

// Acquire returns a lease of a backend server for the work. If all servers are
// full, it waits for one as long as the deadline of ctx can still be met, or
// returns Busy at once if it cannot.
func (p *Pool) Acquire(ctx context.Context, req PlacementRequest) (*Lease, *Busy) {
	w, decision := p.offer(ctx, req)
	switch decision := decision.(type) {
	case admit.Placed:
		return p.lease(w, decision.Server), nil
	case admit.Queued:
		return p.awaitPlacement(ctx, w, decision.GiveUpAt)
	case admit.Refused:
		return nil, &Busy{RetryAfter: decision.RetryAfter}
	default:
		return nil, &Busy{}
	}
}

// offer passes the request to the admission controller for its kind of work. If
// that displaces a queued request, offer refuses the displaced one.
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
		p.retryBudget().CountRequest(retry.AllUpstreams, now)
	}
	request := &admit.Request{
		Class:     classOf(work.Priority),
		Workspace: req.Workspace,
		Weight:    req.Document.Workspaces[req.Workspace].Weight,
		Work:      req.WorkName,
		Servers:   p.candidates[req.WorkName],
		Prompt:    req.Prompt,
		Tried:     req.Tried,
		Cost:      req.Cost,
		Deadline:  deadline,
	}
	w := &waiter{request: request, kind: work.Kind, decided: make(chan outcome, 1)}
	request.Owner = w
	decision, victim := p.controller(work.Kind).Offer(request, now)
	if victim != nil {
		p.refuse(victim)
	}
	return w, decision
}

// refuse removes a waiting request from the queue and reports Busy to its waiter;
// mu is held.
func (p *Pool) refuse(r *admit.Request) {
	w := r.Owner.(*waiter)
	w.decided <- outcome{busy: &Busy{RetryAfter: p.controller(w.kind).Expire(r)}}
}

// awaitPlacement waits until the queued request of w is placed or refused. It
// refuses the request itself at giveUp or when ctx is done.
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

// leaseOrBusy returns the lease or the refusal that o holds for the request of w.
func (p *Pool) leaseOrBusy(w *waiter, o outcome) (*Lease, *Busy) {
	if o.busy != nil {
		return nil, o.busy
	}
	return p.lease(w, o.server), nil
}

// lease returns the lease of server for the request of w.
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

// Release ends the lease, records its Result and places waiting requests.
func (l *Lease) Release() {
	now := time.Now()
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.controller(l.kind).Finish(l.server, l.work, l.responseTime(now), now)
	l.recordResult(now)
	p.placeWaiting(now)
}

// responseTime returns the duration of a successful request, else 0.
func (l *Lease) responseTime(now time.Time) time.Duration {
	if !l.Result.Sent || l.Result.Failed || l.Result.Refused {
		return 0
	}
	return now.Sub(l.acquiredAt)
}

// recordResult updates the server's health and latency from the result; mu of the
// pool is held.
func (l *Lease) recordResult(now time.Time) {
	if !l.Result.Sent {
		return
	}
	switch {
	case l.Result.Failed:
		l.server.Failed(now)
	case l.Result.Refused:
		l.server.Refused(now)
	default:
		l.server.Succeeded(now)
	}
	if l.Result.TimeToFirstToken > 0 {
		l.server.LatencyObserved(l.Result.TimeToFirstToken, l.Result.InterTokenTime, now)
	}
}

// placeWaiting places the waiting requests for which a server has capacity; mu is
// held.
func (p *Pool) placeWaiting(now time.Time) {
	for _, controller := range p.controllers {
		for {
			r, server := controller.Next(now)
			if r == nil {
				break
			}
			_ = p.Check.Check(!server.Leaving, invariant.NoDispatchToLeavingServer, "placed a request on leaving server %s", server.Name)
			r.Owner.(*waiter).decided <- outcome{server: server}
		}
	}
}

// controller returns the admission controller for a kind of work; mu is held.
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

// queueLimit returns the configured limit on queued requests, or 0 for the default;
// mu is held.
func (p *Pool) queueLimit() int {
	if p.document == nil {
		return 0
	}
	return p.document.Limits.QueuedRequests
}

// Retry reports whether the retry budget allows a retry, and counts it if so.
func (p *Pool) Retry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget().TryRetry(retry.AllUpstreams, 1, time.Now())
}

// AllowsRetry reports whether Retry would allow a retry, and counts none.
func (p *Pool) AllowsRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget().Allows(retry.AllUpstreams, 1, time.Now())
}

// retryBudget returns the entry's retry budget; mu is held.
func (p *Pool) retryBudget() *retry.Budget {
	p.retries.Limits = retry.EntryLimits()
	return &p.retries
}

// Counts sums up the state of a pool.
type Counts struct {
	// Ready, Leaving, Evacuated and Ejected count servers; each is counted once.
	Ready     int
	Leaving   int
	Evacuated int
	Ejected   int
	// EvacuatedDomains counts the evacuated failure domains.
	EvacuatedDomains int
	// InFlight counts this entry's requests at servers, and Waiting those in the
	// queues.
	InFlight int
	Waiting  int
}

// Counts returns the state of the servers and queues.
func (p *Pool) Counts() Counts {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := Counts{EvacuatedDomains: p.evacuatedDomains}
	for _, server := range p.servers {
		switch {
		case server.Evacuated && !server.Leaving:
			counts.Evacuated++
		case server.Usable(now):
			counts.Ready++
		case server.IsEjected(now) && !server.Leaving:
			counts.Ejected++
		default:
			counts.Leaving++
		}
		counts.InFlight += server.Running()
	}
	for _, controller := range p.controllers {
		counts.Waiting += controller.Waiting()
	}
	return counts
}

// Running returns the number of this entry's requests in flight at the backend
// server called name.
func (p *Pool) Running(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := p.servers[name]
	if server == nil {
		return 0
	}
	return server.Running()
}

// classOf returns the admission class of a configured priority.
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
