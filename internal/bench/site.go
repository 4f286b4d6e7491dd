package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/route"
)

const (
	domains          = 3
	enginesPerDomain = 8
	entriesPerDomain = 2
	pollInterval     = time.Second
	defaultLag       = 200 * time.Millisecond
	hop              = time.Millisecond
	maxDispatches    = 3
	maxCallerTries   = 4
)

var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// site is the model of one site.
type site struct {
	clock   clock
	random  *rand.Rand
	engines []*engine
	entries []*entry
	lag     time.Duration
	// impatient callers come back at once, whatever they were told.
	impatient bool
	figures   *Figures
}

// entry is one entry instance: the real controller over modelled engines.
type entry struct {
	site       *site
	domain     string
	down       bool
	controller admit.Controller
	servers    []*route.Server
	engines    map[*route.Server]*engine
	retries    route.RetryBudget
}

func newSite(policy func() route.Policy, seed uint64, lag time.Duration) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), lag: lag, figures: newFigures()}
	s.clock.now = epoch
	for i := range domains * enginesPerDomain {
		domain := string(rune('a' + i%domains))
		s.engines = append(s.engines, &engine{clock: &s.clock, name: fmt.Sprintf("engine-%d", i), domain: domain})
	}
	for i := range domains * entriesPerDomain {
		s.entries = append(s.entries, s.newEntry(policy(), string(rune('a'+i%domains)), seed+uint64(i)))
	}
	return s
}

func (s *site) newEntry(policy route.Policy, domain string, seed uint64) *entry {
	e := &entry{site: s, domain: domain, engines: make(map[*route.Server]*engine)}
	e.controller.Policy = policy
	e.controller.FailureDomain = domain
	e.controller.Query.Random = rand.New(rand.NewPCG(seed, 2))
	for _, engine := range s.engines {
		server := route.NewServer(engine.name, engine.domain)
		e.servers = append(e.servers, server)
		e.engines[server] = engine
	}
	s.clock.after(time.Duration(seed%7)*100*time.Millisecond, e.poll)
	return e
}

// poll takes in every engine's lagging report.
func (e *entry) poll() {
	now := e.site.clock.now
	for _, server := range e.servers {
		engine := e.engines[server]
		if engine.down {
			server.Failed(now)
			continue
		}
		load := engine.loadAt(now.Add(-e.site.lag))
		server.SetReport(route.Report{At: load.at, Running: load.running, Waiting: load.waiting, MaxBatch: engineBatch})
	}
	e.wake()
	e.site.clock.after(pollInterval, e.poll)
}

// arrive lets a caller's request come to an entry that is up.
func (s *site) arrive(r *request) {
	s.figures.arrived(r)
	s.submit(r)
}

func (s *site) submit(r *request) {
	for {
		e := s.entries[s.random.IntN(len(s.entries))]
		if !e.down {
			e.retries.Request()
			e.offer(r, nil)
			return
		}
	}
}

func (e *entry) offer(r *request, tried map[string]bool) {
	now := e.site.clock.now
	ask := &admit.Request{
		Class:     r.work.class,
		Workspace: r.workspace,
		Work:      r.work.name,
		Servers:   e.servers,
		Prefix:    r.prefix,
		Tried:     tried,
		Cost:      r.work.prompt + r.work.output,
		Deadline:  r.deadline,
		Owner:     r,
	}
	decision, victim := e.controller.Offer(ask, now)
	if victim != nil {
		e.refuse(victim.Owner.(*request), e.controller.Expire(victim))
	}
	switch decision := decision.(type) {
	case admit.Placed:
		e.dispatch(r, decision.Server, tried)
	case admit.Queued:
		e.site.clock.after(decision.GiveUpAt.Sub(now), func() { e.expire(ask) })
	case admit.Refused:
		e.refuse(r, decision.RetryAfter)
	}
}

func (e *entry) expire(ask *admit.Request) {
	if !ask.IsQueued() {
		return
	}
	e.refuse(ask.Owner.(*request), e.controller.Expire(ask))
}

// refuse answers a caller, who comes back when told to while it still helps.
func (e *entry) refuse(r *request, after time.Duration) {
	s := e.site
	r.tries++
	if s.impatient {
		after = 10 * time.Millisecond
	}
	if r.tries >= maxCallerTries || !s.clock.now.Add(after).Before(r.deadline) {
		s.figures.refused(r)
		return
	}
	s.clock.after(after, func() { s.submit(r) })
}

func (e *entry) wake() {
	for {
		ask, server := e.controller.Next(e.site.clock.now)
		if ask == nil {
			return
		}
		e.dispatch(ask.Owner.(*request), server, ask.Tried)
	}
}

// dispatch sends a request to an engine and follows its tokens.
func (e *entry) dispatch(r *request, server *route.Server, tried map[string]bool) {
	d := &dispatched{entry: e, request: r, server: server, tried: tried, at: e.site.clock.now}
	r.dispatch++
	e.site.figures.dispatches++
	e.site.clock.after(hop, d.send)
}

// dispatched is a request at an engine.
type dispatched struct {
	entry   *entry
	request *request
	server  *route.Server
	tried   map[string]bool
	at      time.Time
	first   time.Time
	last    time.Time
	tokens  int
	job     *job
}

func (d *dispatched) send() {
	engine := d.entry.engines[d.server]
	if engine.down {
		d.retry(func(now time.Time) { d.server.Failed(now) })
		return
	}
	d.job = &job{request: d.request, token: d.token, done: d.done, failed: d.failed}
	if !engine.submit(d.job) {
		d.retry(func(now time.Time) { d.server.Overloaded(now) })
	}
}

func (d *dispatched) token() {
	now := d.entry.site.clock.now
	d.tokens++
	if d.tokens == 1 {
		d.first = now
		d.entry.site.figures.firstToken(d.request, now)
	} else {
		d.entry.site.figures.gap(d.request, now.Sub(d.last))
	}
	d.last = now
	if now.After(d.request.deadline) {
		d.job.gone = true
	}
}

func (d *dispatched) done() {
	now := d.entry.site.clock.now
	d.server.Succeeded(now)
	if d.tokens > 1 {
		d.server.LatencyObserved(d.first.Sub(d.at), d.last.Sub(d.first)/time.Duration(d.tokens-1), now)
	}
	d.finish(now.Sub(d.at))
	d.entry.site.figures.answered(d.request, now, d.job.gone)
}

func (d *dispatched) finish(held time.Duration) {
	d.entry.controller.Finish(d.server, d.request.work.name, held, d.entry.site.clock.now)
	d.entry.wake()
}

func (d *dispatched) failed() {
	d.retry(func(now time.Time) { d.server.Failed(now) })
}

// retry gives the place back and tries another engine within the budget.
func (d *dispatched) retry(learn func(time.Time)) {
	e := d.entry
	learn(e.site.clock.now)
	d.finish(0)
	tried := map[string]bool{d.server.Name: true}
	for name := range d.tried {
		tried[name] = true
	}
	if len(tried) < maxDispatches && e.retries.Retry() {
		e.offer(d.request, tried)
		return
	}
	e.refuse(d.request, time.Second)
}
