package place_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

// reporting is what entries learn of the load that servers state.
type reporting int

const (
	// reportsDropped is the choice without any reports.
	reportsDropped reporting = iota
	// reportsWithoutAge are reports without a slowdown: the last one counts in full.
	reportsWithoutAge
	// reportsWithSlowdown are complete reports.
	reportsWithSlowdown
)

// Parameters of all modelled sites.
const (
	modelServers    = 60
	modelEventTime  = 8 * time.Millisecond
	modelLatency    = time.Millisecond
	modelSlowFactor = 2.5
	// announcedDatagrams is how many datagrams a second an entry may send to announce prompts.
	announcedDatagrams = 400
	minAnnounced       = 5 * time.Millisecond
	exchangeInterval   = 100 * time.Millisecond
	exchangePeers      = 8
	exchangedReports   = 8
	// modelConnectTime is the time to open a connection: a round trip and 1 ms at the server.
	modelConnectTime = 2*modelLatency + time.Millisecond
	modelIdleTimeout = 4 * time.Second
)

// site is a deployment of entries and engines.
type site struct {
	entries int
	slots   int
	// speed is the mean number of prompt tokens that an engine reads in a millisecond.
	// The engines' times for them are fastest to fastest + spread times that.
	speed           float64
	fastest, spread float64
	// steady engines have no moments in which they are modelSlowFactor times as slow, and
	// state no slowdown.
	steady bool
	memory int64
	// rate is the number of requests a second.
	rate  float64
	kinds []*kind
	// concentrated is the number of workspaces of which each sends all requests to one entry.
	concentrated int
}

// unevenSite has engines of uneven speed that slow down for moments.
var unevenSite = site{entries: 80, slots: 32, speed: 68.2, fastest: 0.7, spread: 1, memory: 525_510, rate: 470, kinds: kinds}

// kind is a kind of request.
type kind struct {
	name     string
	share    float64
	priority int
	// shared and own are the lengths of two prefix segments, of which the second belongs to
	// one of documents; fresh is the rest of the prompt.
	shared, own, fresh int64
	documents          int
	// workspaces is the number of different first segments; 0 stands for 1.
	workspaces int
	output     int
	firstEvent time.Duration
	// timeLeft is how long callers wait for the first event; 0 if the entry does not know it.
	timeLeft time.Duration
}

var kinds = []*kind{
	{name: "draft", share: 0.3, priority: 0, shared: 4000, own: 12_000, fresh: 5000, documents: 300, output: 400, firstEvent: 800 * time.Millisecond},
	{name: "chat", share: 0.4, priority: 1, shared: 2000, own: 4000, fresh: 2000, documents: 600, output: 150, firstEvent: 600 * time.Millisecond},
	{name: "tagging", share: 0.3, priority: 2, shared: 1500, own: 0, fresh: 1500, documents: 1, output: 20, firstEvent: 1200 * time.Millisecond},
}

// siteC has the figures of deployment C in docs/design/uneven-load.md. Its prompts are such
// that engines keep about as many of their tokens as there: 26%, with 7% read again.
var siteC = site{entries: 86, slots: 32, speed: 68.2, fastest: 0.7, spread: 1, memory: 525_510, rate: 470, concentrated: 6, kinds: []*kind{
	{name: "draft", share: 0.3, priority: 0, shared: 800, own: 1600, fresh: 3500, workspaces: 24, documents: 1500, output: 400, firstEvent: 800 * time.Millisecond, timeLeft: 3200 * time.Millisecond},
	{name: "chat", share: 0.4, priority: 1, shared: 400, own: 900, fresh: 1500, workspaces: 24, documents: 3000, output: 150, firstEvent: 600 * time.Millisecond, timeLeft: 2400 * time.Millisecond},
	{name: "tagging", share: 0.3, priority: 2, shared: 500, own: 0, fresh: 900, workspaces: 24, documents: 24, output: 20, firstEvent: 1200 * time.Millisecond, timeLeft: 3000 * time.Millisecond},
}}

// siteB has the figures of deployment B, whose servers state three figures of their load.
var siteB = site{entries: 75, slots: 48, speed: 85.2, fastest: 1, spread: 0.3, steady: true, memory: 556_354, rate: 730, concentrated: 6, kinds: []*kind{
	{name: "draft", share: 0.3, priority: 0, shared: 800, own: 1600, fresh: 3500, workspaces: 24, documents: 1500, output: 400, firstEvent: 500 * time.Millisecond, timeLeft: 2000 * time.Millisecond},
	{name: "chat", share: 0.4, priority: 1, shared: 400, own: 900, fresh: 1500, workspaces: 24, documents: 3000, output: 150, firstEvent: 600 * time.Millisecond, timeLeft: 2400 * time.Millisecond},
	{name: "tagging", share: 0.3, priority: 2, shared: 500, own: 0, fresh: 900, workspaces: 24, documents: 24, output: 20, firstEvent: 2 * time.Second, timeLeft: 2500 * time.Millisecond},
}}

// model is a site in virtual time.
type model struct {
	site
	random    *rand.Rand
	reporting reporting
	now       time.Time
	events    eventQueue
	list      []instances.Instance
	entryList []*modelEntry
	servers   []*modelServer
	byID      map[string]*modelServer
	results   map[*kind]*result
	// lies replaces the load that a server states; nil changes none.
	lies func(s *modelServer, load place.Load) *place.Load
	// known holds the prefix segments that some server has read.
	known map[uint64]bool
	// adaptive is set if the entries' settings ask for estimates.
	adaptive bool
	// stated is what the configuration states of the memory of an engine; 0 if nothing.
	stated int64
	// documents multiplies the number of documents of each kind.
	documents int
	// weighConnections makes entries tell their fleets of idle connections.
	weighConnections bool
	// alone makes entries exchange no loads.
	alone bool
	// measureFrom is when results begin to count.
	measureFrom time.Time
}

// result sums up the requests of one kind.
type result struct {
	requests, inTime, refused int
	promptTokens, readTokens  int64
	// rereadTokens counts the tokens of segments that some server had read before.
	rereadTokens int64
	// connections counts the opened connections to servers.
	connections int
}

func (r *result) shareInTime() float64 {
	return float64(r.inTime) / float64(max(1, r.requests))
}

// readShare is the part of the prompt tokens that servers did not have cached.
func (r *result) readShare() float64 {
	return float64(r.readTokens) / float64(max(1, r.promptTokens))
}

// rereadShare is the part of the prompt tokens that were read again, though some server had
// read them.
func (r *result) rereadShare() float64 {
	return float64(r.rereadTokens) / float64(max(1, r.promptTokens))
}

type modelEntry struct {
	fleet *place.Fleet
	// idle holds, by server, since when each idle connection is idle.
	idle      map[string][]time.Time
	seed      uint64
	allowance float64
	allowedAt time.Time
}

// modelRequest is a request at a server.
type modelRequest struct {
	kind      *kind
	arrived   time.Time
	entry     *modelEntry
	placement *place.Placement
	prompt    *place.Prompt
}

// held returns the tokens in memory that no other request can use.
func (r *modelRequest) held() int64 {
	tokens := r.prompt.Tokens + r.prompt.Output
	for _, segment := range r.prompt.Prefix {
		tokens -= segment.Tokens
	}
	return tokens
}

// modelServer is an engine that reads one prompt at a time, the most urgent first, and
// caches prefix segments while it has memory.
type modelServer struct {
	id string
	// factor is how much longer than at modelSpeed it reads; while slow, modelSlowFactor
	// times that.
	factor  float64
	slow    bool
	running int
	reading *modelRequest
	// left is the remaining time of the prompt that is read, as of readAt, at usual speed.
	left     time.Duration
	readAt   time.Time
	reads    int
	queue    []*modelRequest
	waiting  []*modelRequest
	lastUse  map[uint64]int
	segments map[uint64]int64
	cached   int64
	held     int64
	uses     int
}

type modelEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue struct {
	list []modelEvent
	seq  int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, j int) bool {
	if q.list[i].at.Equal(q.list[j].at) {
		return q.list[i].seq < q.list[j].seq
	}
	return q.list[i].at.Before(q.list[j].at)
}
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func (m *model) after(d time.Duration, run func()) {
	m.events.seq++
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), seq: m.events.seq, run: run})
}

func newModel(site site, seed uint64, reporting reporting) *model {
	m := &model{site: site, random: rand.New(rand.NewPCG(seed, 1)), reporting: reporting, now: start, byID: make(map[string]*modelServer), known: make(map[uint64]bool), documents: 1, measureFrom: start}
	m.setKinds(site.kinds)
	var list []instances.Instance
	for i := range modelServers {
		s := &modelServer{id: fmt.Sprintf("e%02d", i), factor: site.fastest + float64(site.spread*m.random.Float64()), lastUse: make(map[uint64]int), segments: make(map[uint64]int64)}
		m.servers = append(m.servers, s)
		m.byID[s.id] = s
		list = append(list, instances.Instance{ID: s.id, Upstream: "pool", Address: s.id, FailureDomain: string(rune('a' + i%3)), Slots: site.slots})
		if !site.steady {
			m.after(m.exponential(300*time.Millisecond), func() { m.toggle(s) })
		}
	}
	m.list = list
	for i := range site.entries {
		e := &modelEntry{seed: seed<<16 + uint64(i), allowedAt: start}
		m.startEntry(e)
		m.entryList = append(m.entryList, e)
		m.after(time.Duration(i)*exchangeInterval/time.Duration(site.entries), func() { m.exchange(e) })
	}
	return m
}

// setKinds makes all requests be of the given kinds.
func (m *model) setKinds(kinds []*kind) {
	m.kinds = kinds
	m.results = make(map[*kind]*result)
	for _, k := range kinds {
		m.results[k] = &result{}
	}
}

// startEntry replaces an entry by one that has learned nothing.
func (m *model) startEntry(e *modelEntry) {
	e.fleet = &place.Fleet{Seed: e.seed, Adaptive: m.adaptive}
	e.idle = make(map[string][]time.Time)
	if m.weighConnections {
		e.fleet.ConnectTime = func(server string, _ bool) time.Duration {
			if e.hasIdle(server, m.now) {
				return 0
			}
			return modelConnectTime
		}
	}
	e.fleet.Update(m.list, m.now)
	e.fleet.SetUpstreams(map[string]place.UpstreamPolicy{"pool": {CacheTokens: m.stated}})
	e.fleet.PromptSent = func(server string, prefillTime time.Duration, segments []place.PrefixSegment) {
		m.announce(e, server, prefillTime, segments)
	}
}

// hasIdle reports whether an idle connection to a server is open. It forgets expired ones.
func (e *modelEntry) hasIdle(server string, now time.Time) bool {
	e.idle[server] = slices.DeleteFunc(e.idle[server], func(since time.Time) bool { return now.Sub(since) > modelIdleTimeout })
	return len(e.idle[server]) > 0
}

func (m *model) restartEntries() {
	for _, e := range m.entryList {
		m.startEntry(e)
	}
}

func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// run plays the site for the given time.
func (m *model) run(d time.Duration) {
	end := m.now.Add(d)
	m.after(m.interval(), m.arrive)
	for m.events.Len() > 0 && m.events.list[0].at.Before(end) {
		event := heap.Pop(&m.events).(modelEvent)
		m.now = event.at
		event.run()
	}
}

func (m *model) interval() time.Duration {
	return m.exponential(time.Duration(float64(time.Second) / m.rate))
}

// announce tells the other entries of a prompt, as package gossip does.
func (m *model) announce(e *modelEntry, server string, prefillTime time.Duration, segments []place.PrefixSegment) {
	// An entry may announce this many prompts a second to all others.
	perSecond := float64(announcedDatagrams / (m.site.entries - 1))
	e.allowance = min(perSecond, e.allowance+float64(m.now.Sub(e.allowedAt).Seconds()*perSecond))
	e.allowedAt = m.now
	if prefillTime < minAnnounced || e.allowance < 1 {
		return
	}
	e.allowance--
	announced := make([]place.PrefixSegment, len(segments))
	for i, segment := range segments {
		announced[i] = place.PrefixSegment{ID: segment.ID}
	}
	m.after(modelLatency, func() {
		for _, other := range m.entryList {
			if other != e {
				other.fleet.RecordRemotePrompt(server, prefillTime, announced, m.now)
			}
		}
	})
}

// exchange tells a few other entries of the latest loads, as package gossip does.
func (m *model) exchange(e *modelEntry) {
	m.after(exchangeInterval, func() { m.exchange(e) })
	reports := e.fleet.FreshLoads(exchangedReports, m.now)
	if m.alone || len(reports) == 0 {
		return
	}
	for range exchangePeers {
		other := m.entryList[m.random.IntN(len(m.entryList))]
		if other == e {
			continue
		}
		sent := m.now
		m.after(modelLatency, func() {
			for _, r := range reports {
				r.Age += m.now.Sub(sent)
				other.fleet.RecordRemoteLoad(r, m.now)
			}
		})
	}
}

// arrive places a request of a random kind at a random entry.
func (m *model) arrive() {
	m.after(m.interval(), m.arrive)
	k := m.kinds[len(m.kinds)-1]
	x := m.random.Float64()
	for _, candidate := range m.kinds {
		if x < candidate.share {
			k = candidate
			break
		}
		x -= candidate.share
	}
	entry := m.entryList[m.random.IntN(len(m.entryList))]
	u := m.random.Float64()
	document := uint64(u * u * float64(k.documents*m.documents))
	prefix := []place.PrefixSegment{{ID: uint64(k.priority + 1), Tokens: k.shared}}
	if k.workspaces > 1 {
		workspace := document % uint64(k.workspaces)
		prefix[0].ID += workspace << 16
		if int(workspace) < m.concentrated {
			entry = m.entryList[workspace]
		}
	}
	if k.own > 0 {
		prefix = append(prefix, place.PrefixSegment{ID: uint64(k.priority+1)<<32 + document, Tokens: k.own})
	}
	prompt := &place.Prompt{Tokens: k.shared + k.own + k.fresh/2 + int64(m.random.IntN(int(k.fresh))), Output: int64(k.output), Prefix: prefix}
	query := place.Query{Now: m.now, Upstream: "pool", FailureDomain: "a", Prompt: prompt, Priority: k.priority, TimeLeft: k.timeLeft}
	m.count(k, func(r *result) { r.requests++ })
	chosen, ok := entry.fleet.Pick(query).(place.Chosen)
	if !ok {
		m.count(k, func(r *result) { r.refused++ })
		return
	}
	s := m.byID[chosen.Placement.ID]
	r := &modelRequest{kind: k, arrived: m.now, entry: entry, placement: chosen.Placement, prompt: prompt}
	latency := modelLatency
	if entry.hasIdle(s.id, m.now) {
		entry.idle[s.id] = entry.idle[s.id][:len(entry.idle[s.id])-1]
	} else {
		latency += modelConnectTime
		m.count(k, func(r *result) { r.connections++ })
	}
	m.after(latency, func() { m.receive(s, r) })
	if k.timeLeft > 0 {
		m.after(k.timeLeft, func() { m.leave(s, r) })
	}
}

// leave ends a request whose caller has left, unless the server has begun with it.
func (m *model) leave(s *modelServer, r *modelRequest) {
	isRequest := func(other *modelRequest) bool { return other == r }
	switch {
	case slices.ContainsFunc(s.waiting, isRequest):
		s.waiting = slices.DeleteFunc(s.waiting, isRequest)
		r.placement.Done(place.Abandoned{}, m.now)
	case slices.ContainsFunc(s.queue, isRequest):
		s.queue = slices.DeleteFunc(s.queue, isRequest)
		m.end(s, r, place.Abandoned{})
	}
}

func (m *model) count(k *kind, change func(r *result)) {
	if !m.now.Before(m.measureFrom) {
		change(m.results[k])
	}
}

// receive gives a request a slot of the server, or queues it.
func (m *model) receive(s *modelServer, r *modelRequest) {
	if s.running >= m.slots {
		s.waiting = append(s.waiting, r)
		return
	}
	s.running++
	s.held += r.held()
	s.evict(m.memory)
	s.queue = append(s.queue, r)
	m.read(s)
}

// read begins with the most urgent prompt unless one is being read.
func (m *model) read(s *modelServer) {
	if s.reading != nil || len(s.queue) == 0 {
		return
	}
	best := mostUrgent(s.queue)
	r := s.queue[best]
	s.queue = append(s.queue[:best], s.queue[best+1:]...)
	cached := s.lookup(r.prompt, m.memory)
	tokens := r.prompt.Tokens - cached
	reread := m.reread(r.prompt, cached)
	m.count(r.kind, func(result *result) {
		result.promptTokens += r.prompt.Tokens
		result.readTokens += tokens
		result.rereadTokens += reread
	})
	s.reading = r
	s.left = time.Duration(float64(tokens) / m.speed * s.factor * float64(time.Millisecond))
	s.readAt = m.now
	m.scheduleRead(s)
}

// reread returns how many tokens of a prompt were read before, but are not cached at its
// server, and records that they were read.
func (m *model) reread(prompt *place.Prompt, cached int64) int64 {
	var before, reread int64
	for _, segment := range prompt.Prefix {
		if before >= cached && m.known[segment.ID] {
			reread += segment.Tokens
		}
		before += segment.Tokens
		m.known[segment.ID] = true
	}
	return reread
}

// priority returns the priority that the entry has stated to the server.
func (r *modelRequest) priority() int {
	if r.placement.Granted {
		return 0
	}
	return r.kind.priority
}

func mostUrgent(requests []*modelRequest) int {
	best := 0
	for i, r := range requests {
		if r.priority() < requests[best].priority() {
			best = i
		}
	}
	return best
}

// slowness is how much longer than usual work takes at the server now.
func (s *modelServer) slowness() float64 {
	if s.slow {
		return modelSlowFactor
	}
	return 1
}

// scheduleRead ends the reading of the prompt when its time at the present speed is over.
func (m *model) scheduleRead(s *modelServer) {
	s.reads++
	read := s.reads
	m.after(time.Duration(float64(s.left)*s.slowness()), func() {
		if s.reads == read && s.reading != nil {
			m.finishRead(s)
		}
	})
}

// toggle makes a server slow for about 100 ms, or ends that.
func (m *model) toggle(s *modelServer) {
	if s.reading != nil {
		s.left -= time.Duration(float64(m.now.Sub(s.readAt)) / s.slowness())
		s.left = max(0, s.left)
		s.readAt = m.now
	}
	s.slow = !s.slow
	if s.reading != nil {
		m.scheduleRead(s)
	}
	mean := 300 * time.Millisecond
	if s.slow {
		mean = 100 * time.Millisecond
	}
	m.after(m.exponential(mean), func() { m.toggle(s) })
}

// finishRead sends the first event of a request and begins with the next prompt.
func (m *model) finishRead(s *modelServer) {
	r := s.reading
	s.reading = nil
	load := place.Load{Running: s.running, Waiting: len(s.waiting), Slots: m.slots, Slowdown: s.slowness()}
	m.after(modelLatency, func() { m.firstEvent(s, r, load) })
	output := time.Duration(float64(modelEventTime) * float64(r.kind.output) * s.factor)
	m.after(output, func() { m.end(s, r, place.Served{}) })
	m.read(s)
}

// firstEvent gives the entry the first event and the load that the server states.
func (m *model) firstEvent(s *modelServer, r *modelRequest, load place.Load) {
	stated := &load
	if m.lies != nil {
		stated = m.lies(s, load)
	}
	if m.reporting == reportsWithoutAge || m.steady {
		load.Slowdown = 0
	}
	if m.reporting != reportsDropped && stated != nil {
		r.placement.SetLoad(*stated, m.now)
	}
	r.placement.RecordFirstEvent(m.now)
	if !r.arrived.Before(m.measureFrom) && m.now.Sub(r.arrived) <= r.kind.firstEvent {
		m.results[r.kind].inTime++
	}
}

// end ends a request and gives its slot to the most urgent one that waits.
func (m *model) end(s *modelServer, r *modelRequest, outcome place.Outcome) {
	r.placement.Done(outcome, m.now)
	r.entry.idle[s.id] = append(r.entry.idle[s.id], m.now)
	s.running--
	s.held -= r.held()
	if len(s.waiting) > 0 {
		next := mostUrgent(s.waiting)
		waiting := s.waiting[next]
		s.waiting = append(s.waiting[:next], s.waiting[next+1:]...)
		m.receive(s, waiting)
	}
}

// lookup returns how many leading tokens of a prompt are cached, and caches its prefix.
func (s *modelServer) lookup(prompt *place.Prompt, memory int64) int64 {
	var tokens int64
	hit := true
	for _, segment := range prompt.Prefix {
		s.uses++
		if s.segments[segment.ID] == 0 {
			hit = false
			s.segments[segment.ID] = segment.Tokens
			s.cached += segment.Tokens
		}
		s.lastUse[segment.ID] = s.uses
		if hit {
			tokens += segment.Tokens
		}
	}
	s.evict(memory)
	return tokens
}

// evict drops the least recently used segments that don't fit beside running requests.
func (s *modelServer) evict(memory int64) {
	for s.cached > max(0, memory-s.held) {
		oldest, found := uint64(0), false
		for id := range s.segments {
			if !found || s.lastUse[id] < s.lastUse[oldest] {
				oldest, found = id, true
			}
		}
		s.cached -= s.segments[oldest]
		delete(s.segments, oldest)
		delete(s.lastUse, oldest)
	}
}

// totals sums up the results of all kinds.
func (m *model) totals() result {
	var total result
	for _, r := range m.results {
		total.requests += r.requests
		total.inTime += r.inTime
		total.refused += r.refused
		total.promptTokens += r.promptTokens
		total.readTokens += r.readTokens
		total.rereadTokens += r.rereadTokens
		total.connections += r.connections
	}
	return total
}
