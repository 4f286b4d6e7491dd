package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactusbay/cactusbay/internal/admit"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/route"
)

const (
	domains          = 3
	enginesPerDomain = 8
	entriesPerDomain = 2
	// pollInterval is the time between load reports that an entry reads.
	pollInterval = time.Second
	// defaultLag is the age of the load reports.
	defaultLag = 200 * time.Millisecond
	// networkDelay is the time from an entry to an engine.
	networkDelay = time.Millisecond
	// maxDispatches bounds the attempts of one submission.
	maxDispatches = 3
	// maxSubmissions bounds how often a caller submits a request.
	maxSubmissions = 4
)

// startTime is the virtual time at which a run starts.
var startTime = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// site is the simulated site: callers, entries and engines.
type site struct {
	clock   clock
	random  *rand.Rand
	engines []*engine
	entries []*entry
	// lag is the age of load reports.
	lag time.Duration
	// impatient makes callers submit again at once, whatever retry delay they
	// received.
	impatient bool
	results   *Results
}

// entry is one entry instance: the real admission controller in front of
// modelled engines.
type entry struct {
	site       *site
	domain     string
	down       bool
	controller admit.Controller
	servers    []*route.Server
	engines    map[*route.Server]*engine
	retries    retry.Budget
}

// newSite returns a site with all entries and engines, spread over the failure
// domains.
func newSite(policy func() route.Policy, seed uint64, lag time.Duration) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), lag: lag, results: newResults()}
	s.clock.now = startTime
	for i := range domains * enginesPerDomain {
		domain := string(rune('a' + i%domains))
		s.engines = append(s.engines, &engine{clock: &s.clock, name: fmt.Sprintf("engine-%d", i), domain: domain})
	}
	for i := range domains * entriesPerDomain {
		s.entries = append(s.entries, s.newEntry(policy(), string(rune('a'+i%domains)), seed+uint64(i)))
	}
	return s
}

// newEntry returns an entry and starts its polling. The first poll times of
// entries differ.
func (s *site) newEntry(policy route.Policy, domain string, seed uint64) *entry {
	e := &entry{site: s, domain: domain, engines: make(map[*route.Server]*engine)}
	e.retries.Limits = retry.EntryLimits()
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

// poll reads the lagging load reports of all engines and schedules the next
// poll.
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
	e.dispatchQueued()
	e.site.clock.after(pollInterval, e.poll)
}

// arrive counts a new request and submits it.
func (s *site) arrive(r *request) {
	s.results.arrived(r)
	s.submit(r)
}

// submit offers a request to a random entry that is up.
func (s *site) submit(r *request) {
	for {
		e := s.entries[s.random.IntN(len(s.entries))]
		if !e.down {
			e.retries.CountRequest(retry.AllUpstreams, s.clock.now)
			e.offer(r, nil)
			return
		}
	}
}

// offer passes a request to the admission controller and acts on its decision.
func (e *entry) offer(r *request, tried map[string]bool) {
	now := e.site.clock.now
	admission := &admit.Request{
		Class:     r.work.class,
		Workspace: r.workspace,
		Work:      r.work.name,
		Servers:   e.servers,
		Prompt:    r.prompt(),
		Tried:     tried,
		Cost:      r.work.prompt + r.work.output,
		Deadline:  r.deadline,
		Owner:     r,
	}
	decision, victim := e.controller.Offer(admission, now)
	if victim != nil {
		e.refuse(victim.Owner.(*request), e.controller.Expire(victim))
	}
	switch decision := decision.(type) {
	case admit.Placed:
		e.dispatch(r, decision.Server, tried)
	case admit.Queued:
		e.site.clock.after(decision.GiveUpAt.Sub(now), func() { e.expire(admission) })
	case admit.Refused:
		e.refuse(r, decision.RetryAfter)
	}
}

// expire refuses a request that is still queued when its deadline can no longer
// be met.
func (e *entry) expire(admission *admit.Request) {
	if !admission.IsQueued() {
		return
	}
	e.refuse(admission.Owner.(*request), e.controller.Expire(admission))
}

// refuse rejects a request. Its caller submits it again after the given delay,
// unless the deadline would have passed or maxSubmissions is reached.
func (e *entry) refuse(r *request, after time.Duration) {
	s := e.site
	r.submissions++
	if s.impatient {
		after = 10 * time.Millisecond
	}
	if r.submissions >= maxSubmissions || !s.clock.now.Add(after).Before(r.deadline) {
		s.results.refused(r)
		return
	}
	s.clock.after(after, func() { s.submit(r) })
}

// dispatchQueued dispatches queued requests until none fits.
func (e *entry) dispatchQueued() {
	for {
		admission, server := e.controller.Next(e.site.clock.now)
		if admission == nil {
			return
		}
		e.dispatch(admission.Owner.(*request), server, admission.Tried)
	}
}

// dispatch sends a request to an engine.
func (e *entry) dispatch(r *request, server *route.Server, tried map[string]bool) {
	a := &attempt{entry: e, request: r, server: server, tried: tried, at: e.site.clock.now}
	r.dispatch++
	e.site.results.dispatches++
	e.site.clock.after(networkDelay, a.send)
}

// attempt is one send of a request to one engine.
type attempt struct {
	entry   *entry
	request *request
	server  *route.Server
	tried   map[string]bool
	// at is when the request was dispatched; first and last are when the first
	// and the latest token arrived.
	at     time.Time
	first  time.Time
	last   time.Time
	tokens int
	job    *job
}

// send submits the request to the engine, or retries if the engine is down or
// refuses.
func (a *attempt) send() {
	engine := a.entry.engines[a.server]
	if engine.down {
		a.retry(func(now time.Time) { a.server.Failed(now) })
		return
	}
	a.job = &job{request: a.request, token: a.token, done: a.done, failed: a.failed}
	if !engine.submit(a.job) {
		a.retry(func(now time.Time) { a.server.Refused(now) })
	}
}

// token records an output token. The caller disconnects once the deadline has
// passed.
func (a *attempt) token() {
	now := a.entry.site.clock.now
	a.tokens++
	if a.tokens == 1 {
		a.first = now
		a.entry.site.results.firstToken(a.request, now)
	} else {
		a.entry.site.results.gap(a.request, now.Sub(a.last))
	}
	a.last = now
	if now.After(a.request.deadline) {
		a.job.abandoned = true
	}
}

// done records a complete or abandoned response.
func (a *attempt) done() {
	now := a.entry.site.clock.now
	a.server.Succeeded(now)
	if a.tokens > 1 {
		a.server.LatencyObserved(a.first.Sub(a.at), a.last.Sub(a.first)/time.Duration(a.tokens-1), now)
	}
	a.finish(now.Sub(a.at))
	a.entry.site.results.ended(a.request, now, a.job.abandoned)
}

// finish frees the slot at the server. held is 0 if it must not count for
// estimates.
func (a *attempt) finish(held time.Duration) {
	a.entry.controller.Finish(a.server, a.request.work.name, held, a.entry.site.clock.now)
	a.entry.dispatchQueued()
}

// failed handles a crash of the engine.
func (a *attempt) failed() {
	a.retry(func(now time.Time) { a.server.Failed(now) })
}

// retry frees the slot and offers the request again, without the engines
// already tried, if maxDispatches and the retry budget allow it. Otherwise it
// refuses the request.
func (a *attempt) retry(recordOutcome func(time.Time)) {
	e := a.entry
	recordOutcome(e.site.clock.now)
	a.finish(0)
	tried := map[string]bool{a.server.Name: true}
	for name := range a.tried {
		tried[name] = true
	}
	if len(tried) < maxDispatches && e.retries.TryRetry(retry.AllUpstreams, 1, e.site.clock.now) {
		e.offer(a.request, tried)
		return
	}
	e.refuse(a.request, time.Second)
}
