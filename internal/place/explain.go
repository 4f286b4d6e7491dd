package place

import (
	"slices"
	"strings"
	"time"
)

// Explanation tells how a request would be placed now, and why.
type Explanation struct {
	// Decision says what Pick would return.
	Decision ExplainedDecision
	// Adaptive is set if the servers are chosen by estimates of their load and speed.
	Adaptive bool
	// Yields is set if the request would be refused in favour of more urgent ones, unless it
	// may use their room.
	Yields bool
	// Servers are those of the upstream: the chosen one first, then the others by state,
	// cost and id.
	Servers []ExplainedServer
}

// ExplainedDecision is the result of an explained choice: WouldChoose, Full or NoServer.
type ExplainedDecision interface {
	isExplainedDecision()
}

// WouldChoose means that the request would be placed at a server.
type WouldChoose struct {
	Server  string
	Address string
	// Granted is set if the request would use the room of the most urgent ones.
	Granted bool
}

func (WouldChoose) isExplainedDecision() {}
func (Full) isExplainedDecision()        {}
func (NoServer) isExplainedDecision()    {}

// Values of ExplainedServer.State, in the order of Explanation.Servers.
const (
	// ServerChosen is the state of the server with the lowest cost.
	ServerChosen = "chosen"
	// ServerCompared means that another one costs less.
	ServerCompared = "compared"
	// ServerLate means that the first event would come too late.
	ServerLate = "late"
	// ServerFull means that the server takes no request now.
	ServerFull = "full"
	// ServerExcluded means that the request may not go to the server.
	ServerExcluded = "excluded"
	// ServerNotCompared means that the server is not among those that were compared.
	ServerNotCompared = "not_compared"
)

var serverStates = []string{ServerChosen, ServerCompared, ServerLate, ServerFull, ServerExcluded, ServerNotCompared}

// Reasons for which a server is full or excluded.
const (
	reasonHeldOff     = "wants_no_requests"
	reasonFull        = "full"
	reasonBrittle     = "brittle"
	reasonLimit       = "limit"
	reasonCold        = "cold"
	reasonOutstanding = "outstanding_bytes"
	reasonLate        = "expected_too_late"
	reasonVersion     = "version"
	reasonRegion      = "region"
	reasonTried       = "tried"
	reasonEvacuated   = "evacuated"
	reasonLeaving     = "leaving"
	reasonEjected     = "ejected"
)

// ExplainedServer is a server in an explanation.
type ExplainedServer struct {
	ID            string
	Address       string
	FailureDomain string
	Region        string
	Version       string
	// State is one of the Server constants, and Reason says more if the server is full, late
	// or excluded.
	State  string
	Reason string
	// Wait is the time from now after which a server that is full or late may take the
	// request.
	Wait time.Duration
	// Cost is the sum of the terms; 0 if the cost was not computed.
	Cost  time.Duration
	Terms []CostTerm
	// FirstEvent is the expected time from now to the first event; 0 if the server was not
	// compared by estimates.
	FirstEvent time.Duration
	// Requests is the number of requests that is believed to be at the server, and InFlight
	// how many of them are this entry's.
	Requests int
	InFlight int
	Slots    int
	// CachedTokens is the part of the prompt that is believed to be cached.
	CachedTokens int64
	// Cold is why the server counts as cold; empty if it does not.
	Cold string
	// ReportAge is the age of the load report that was used, if HasReport says that there is
	// one.
	ReportAge time.Duration
	HasReport bool
}

// CostTerm is a part of the cost of a server.
type CostTerm struct {
	Name string
	Cost time.Duration
}

// trace records what a choice compares for an explanation. The trace of a request that is to be
// placed is nil, and callers check for that. Its methods only store, because they run under the
// lock of the fleet; the terms of costs are computed later.
type trace struct {
	// records are in the order in which the servers were looked at. A choice may look at a
	// server several times, and its last record decides.
	records []record
	// weighed is what weigh and add have recorded for the server that compare records next.
	weighed weighing
	// yields is the value of Explanation.Yields.
	yields bool
}

// record is what a choice has found about a server.
type record struct {
	server           *server
	state            string
	reason           string
	wait             time.Duration
	cost, firstEvent time.Duration
	weighing
}

// weighing is what the cost of a server was computed from.
type weighing struct {
	weights   Weights
	candidate Candidate
	// extra are the terms beside those of the weights.
	extra []CostTerm
}

// skip records that a server takes no request for the given time.
func (t *trace) skip(s *server, reason string, wait time.Duration) {
	t.records = append(t.records, record{server: s, state: ServerFull, reason: reason, wait: wait})
}

// compare records the cost of a server, whose first event is late by the given time.
func (t *trace) compare(s *server, cost, firstEvent, late time.Duration) {
	r := record{server: s, state: ServerCompared, cost: cost, firstEvent: firstEvent, weighing: t.weighed}
	if late > 0 {
		r.state, r.reason, r.wait = ServerLate, reasonLate, late
	}
	t.records = append(t.records, r)
	t.weighed = weighing{}
}

// weigh records what w.Cost(c) is computed from.
func (t *trace) weigh(w *Weights, c *Candidate) {
	t.weighed.weights, t.weighed.candidate = *w, *c
}

// add records a term of the cost beside those of the weights.
func (t *trace) add(name string, cost time.Duration) {
	t.weighed.extra = append(t.weighed.extra, CostTerm{Name: name, Cost: cost})
}

// terms returns the terms of the cost that are not 0.
func (w *weighing) terms() []CostTerm {
	var terms []CostTerm
	add := func(name string, cost time.Duration) {
		if cost != 0 {
			terms = append(terms, CostTerm{Name: name, Cost: cost})
		}
	}
	unweighted := w.candidate.Connect + w.candidate.Prefill
	for _, part := range w.weights.parts() {
		add(part.name, part.weights.Cost(&w.candidate)-unweighted)
	}
	add("new_connection", w.candidate.Connect)
	add("prefill", w.candidate.Prefill)
	for _, term := range w.extra {
		add(term.Name, term.Cost)
	}
	return terms
}

// namedWeights are weights of which only one is set.
type namedWeights struct {
	name    string
	weights Weights
}

// parts returns each weight alone. Costs are linear in the weights: if the unweighted terms
// (Connect and Prefill) are left out, the costs by the parts add up to the cost by w.
func (w *Weights) parts() []namedWeights {
	return []namedWeights{
		{"other_failure_domain", Weights{CrossDomain: w.CrossDomain}},
		{"failures", Weights{Failure: w.Failure}},
		{"refusal", Weights{Refusal: w.Refusal}},
		{"occupancy", Weights{Occupancy: w.Occupancy}},
		{"backlog", Weights{Backlog: w.Backlog}},
		{"delayed_streams", Weights{DelayedStream: w.DelayedStream}},
		{"preferred", Weights{Affinity: w.Affinity}},
	}
}

// Explain returns what Pick would decide on a request now. It places nothing and leaves the
// fleet as it was, so that later choices are the same as without it.
func (f *Fleet) Explain(q Query) Explanation {
	e, servers, records := f.explainChoice(q)
	last := make(map[*server]int, len(records))
	for i := range records {
		last[records[i].server] = i
	}
	for i := range e.Servers {
		at, recorded := last[servers[i]]
		if !recorded {
			continue
		}
		s, r := &e.Servers[i], &records[at]
		if s.State != ServerChosen {
			s.State, s.Reason, s.Wait = r.state, r.reason, r.wait
		}
		if r.state != ServerFull {
			s.Cost, s.FirstEvent, s.Requests, s.Terms = r.cost, r.firstEvent, r.candidate.Running, r.terms()
		}
	}
	slices.SortFunc(e.Servers, compareExplained)
	return e
}

// explainChoice lets the fleet choose a server and takes back what that changes. The servers of
// the explanation are in the order of the returned servers. The lock is no longer held on
// return: the returned servers and those of the records may only be compared by pointer.
func (f *Fleet) explainChoice(q Query) (e Explanation, servers []*server, records []record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[q.Upstream]
	if u == nil {
		return Explanation{Decision: NoServer{}}, nil, nil
	}
	saved := f.save(u)
	defer saved.restore(f, u)
	adaptive := f.isAdaptive(u, q.Now)
	q.trace = &trace{}
	if !adaptive {
		q.trace.records = make([]record, 0, len(u.servers))
	}
	cheapest, full := f.choose(&q)
	e = Explanation{Adaptive: adaptive, Yields: q.trace.yields, Servers: f.explainServers(u, &q, cheapest, adaptive)}
	switch {
	case cheapest != nil:
		e.Decision = WouldChoose{Server: cheapest.id, Address: cheapest.address, Granted: q.granted}
	case full > 0:
		e.Decision = Full{RetryAfter: full, Late: q.late}
	default:
		e.Decision = NoServer{}
	}
	return e, slices.Clone(u.servers), q.trace.records
}

// explainServers returns what is known of the servers of an upstream after a choice, without
// what the choice has recorded; mu is held.
func (f *Fleet) explainServers(u *upstreamState, q *Query, cheapest *server, adaptive bool) []ExplainedServer {
	explained := make([]ExplainedServer, 0, len(u.servers))
	for _, s := range u.servers {
		e := ExplainedServer{State: ServerNotCompared, Reason: f.exclusion(s, q)}
		switch {
		case s == cheapest:
			e.State, e.Reason = ServerChosen, ""
		case e.Reason != "":
			e.State = ServerExcluded
		}
		e.ID, e.Address, e.FailureDomain, e.Region, e.Version = s.id, s.address, s.failureDomain, s.region, s.version
		e.InFlight, e.Slots, e.Cold = s.inFlight, s.slots, f.coldReason(s, q.Now)
		if !s.report.at.IsZero() {
			e.ReportAge, e.HasReport = max(0, q.Now.Sub(s.report.at)), true
		}
		if q.Prompt != nil {
			used, kept := s.prefixes.leadingTokens(q.Prompt)
			e.CachedTokens = used
			if adaptive {
				e.CachedTokens = kept
			}
		}
		explained = append(explained, e)
	}
	return explained
}

// compareExplained orders servers by state, cost and id.
func compareExplained(a, b ExplainedServer) int {
	if order := slices.Index(serverStates, a.State) - slices.Index(serverStates, b.State); order != 0 {
		return order
	}
	if a.Cost != b.Cost {
		return int(max(-1, min(1, a.Cost-b.Cost)))
	}
	return strings.Compare(a.ID, b.ID)
}

// exclusion returns why a request may not go to a server now, or an empty string; mu is held.
func (f *Fleet) exclusion(s *server, q *Query) string {
	switch {
	case !q.Version.allows(s.version):
		return reasonVersion
	case !q.Regions.Allows(s.region):
		return reasonRegion
	case slices.Contains(q.Tried, s.id):
		return reasonTried
	case f.isEvacuated(s):
		return reasonEvacuated
	case s.leaving:
		return reasonLeaving
	case s.isEjected(q.Now):
		return reasonEjected
	default:
		return ""
	}
}

// savedState is a copy of what a choice at an upstream may change.
type savedState struct {
	changed                func(Change)
	draws                  uint64
	eligibles, preferables []*server
	groupWeights           []uint64
	upstream               upstreamState
	// servers are copies of those of the upstream, in the same order.
	servers []server
}

// save returns a copy of what a choice at an upstream may change. Until restore, Changed is nil
// and the buffers are empty; mu is held.
func (f *Fleet) save(u *upstreamState) *savedState {
	saved := &savedState{changed: f.Changed, draws: f.draws, eligibles: f.eligibles, preferables: f.preferables, groupWeights: f.groupWeights, upstream: *u, servers: make([]server, len(u.servers))}
	for i, s := range u.servers {
		saved.servers[i] = *s
	}
	f.Changed = nil
	f.eligibles, f.preferables, f.groupWeights = nil, nil, nil
	return saved
}

// restore takes back what a choice at an upstream has changed; mu is held.
func (saved *savedState) restore(f *Fleet, u *upstreamState) {
	f.Changed = saved.changed
	f.draws = saved.draws
	f.eligibles, f.preferables, f.groupWeights = saved.eligibles, saved.preferables, saved.groupWeights
	*u = saved.upstream
	for i, s := range u.servers {
		s.prefixes.unmarkEvicted(saved.servers[i].prefixes.oldestKept)
		*s = saved.servers[i]
	}
}

// unmarkEvicted clears the eviction mark of the segments from the given one up to the oldest
// that is kept now.
func (p *prefixCache) unmarkEvicted(oldestKept *usedSegment) {
	for c := oldestKept; c != p.oldestKept; c = c.newer {
		c.evicted = false
	}
}
