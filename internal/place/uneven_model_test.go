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

// Parameters of the modelled site.
const (
	modelEntries    = 80
	modelServers    = 60
	modelSlots      = 32
	modelSpeed      = 68.2 // prompt tokens a millisecond
	modelMemory     = 525_510
	modelRate       = 470.0 // requests a second
	modelEventTime  = 8 * time.Millisecond
	modelLatency    = time.Millisecond
	modelSlowFactor = 2.5
	// announcedPerSecond is how many prompts an entry may announce to all others.
	announcedPerSecond = 400 / (modelEntries - 1)
	minAnnounced       = 5 * time.Millisecond
	exchangeInterval   = 100 * time.Millisecond
	exchangePeers      = 8
	exchangedReports   = 8
)

// kind is a kind of request.
type kind struct {
	name     string
	share    float64
	priority int
	// shared and own are the lengths of two prefix segments, of which the second belongs to
	// one of documents; fresh is the rest of the prompt.
	shared, own, fresh int64
	documents          int
	output             int
	firstEvent         time.Duration
	// timeLeft is how long callers wait for the first event; 0 if the entry does not know it.
	timeLeft time.Duration
}

var kinds = []*kind{
	{name: "draft", share: 0.3, priority: 0, shared: 4000, own: 12_000, fresh: 5000, documents: 300, output: 400, firstEvent: 800 * time.Millisecond},
	{name: "chat", share: 0.4, priority: 1, shared: 2000, own: 4000, fresh: 2000, documents: 600, output: 150, firstEvent: 600 * time.Millisecond},
	{name: "tagging", share: 0.3, priority: 2, shared: 1500, own: 0, fresh: 1500, documents: 1, output: 20, firstEvent: 1200 * time.Millisecond},
}

// model is a site in virtual time.
type model struct {
	random    *rand.Rand
	reporting reporting
	now       time.Time
	events    eventQueue
	list      []instances.Instance
	entries   []*modelEntry
	servers   []*modelServer
	byID      map[string]*modelServer
	kinds     []*kind
	results   map[*kind]*result
	// lies replaces the load that a server states; nil changes none.
	lies func(s *modelServer, load place.Load) *place.Load
	// rate is the number of requests a second.
	rate float64
	// memory is the number of tokens that an engine holds, and stated what the
	// configuration says of it; 0 if nothing.
	memory, stated int64
	// documents multiplies the number of documents of each kind.
	documents int
	// alone makes entries exchange no loads.
	alone bool
	// measureFrom is when results begin to count.
	measureFrom time.Time
}

// result sums up the requests of one kind.
type result struct {
	requests, inTime, refused int
	promptTokens, readTokens  int64
}

func (r *result) shareInTime() float64 {
	return float64(r.inTime) / float64(max(1, r.requests))
}

// readShare is the part of the prompt tokens that servers did not have cached.
func (r *result) readShare() float64 {
	return float64(r.readTokens) / float64(max(1, r.promptTokens))
}

type modelEntry struct {
	fleet     *place.Fleet
	seed      uint64
	allowance float64
	allowedAt time.Time
}

// modelRequest is a request at a server.
type modelRequest struct {
	kind      *kind
	arrived   time.Time
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

// newModel returns a site whose servers are 0.7 to 1.7 times as slow as the mean.
func newModel(seed uint64, reporting reporting) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), reporting: reporting, now: start, byID: make(map[string]*modelServer), rate: modelRate, memory: modelMemory, documents: 1, measureFrom: start}
	m.setKinds(kinds)
	var list []instances.Instance
	for i := range modelServers {
		s := &modelServer{id: fmt.Sprintf("e%02d", i), factor: 0.7 + m.random.Float64(), lastUse: make(map[uint64]int), segments: make(map[uint64]int64)}
		m.servers = append(m.servers, s)
		m.byID[s.id] = s
		list = append(list, instances.Instance{ID: s.id, Upstream: "pool", Address: s.id, FailureDomain: string(rune('a' + i%3)), Slots: modelSlots})
		m.after(m.exponential(300*time.Millisecond), func() { m.toggle(s) })
	}
	m.list = list
	for i := range modelEntries {
		e := &modelEntry{seed: seed<<16 + uint64(i), allowedAt: start}
		m.startEntry(e)
		m.entries = append(m.entries, e)
		m.after(time.Duration(i)*exchangeInterval/modelEntries, func() { m.exchange(e) })
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
	e.fleet = &place.Fleet{Seed: e.seed}
	e.fleet.Update(m.list, m.now)
	e.fleet.SetUpstreams(map[string]place.UpstreamPolicy{"pool": {CacheTokens: m.stated}})
	e.fleet.PromptSent = func(server string, prefillTime time.Duration, segments []place.PrefixSegment) {
		m.announce(e, server, prefillTime, segments)
	}
}

func (m *model) restartEntries() {
	for _, e := range m.entries {
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
	e.allowance = min(announcedPerSecond, e.allowance+m.now.Sub(e.allowedAt).Seconds()*announcedPerSecond)
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
		for _, other := range m.entries {
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
		other := m.entries[m.random.IntN(len(m.entries))]
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
	entry := m.entries[m.random.IntN(len(m.entries))]
	u := m.random.Float64()
	document := uint64(u * u * float64(k.documents*m.documents))
	prefix := []place.PrefixSegment{{ID: uint64(k.priority + 1), Tokens: k.shared}}
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
	r := &modelRequest{kind: k, arrived: m.now, placement: chosen.Placement, prompt: prompt}
	m.after(modelLatency, func() { m.receive(s, r) })
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
	if s.running >= modelSlots {
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
	tokens := r.prompt.Tokens - s.lookup(r.prompt, m.memory)
	m.count(r.kind, func(result *result) { result.promptTokens += r.prompt.Tokens; result.readTokens += tokens })
	s.reading = r
	s.left = time.Duration(float64(tokens) / modelSpeed * s.factor * float64(time.Millisecond))
	s.readAt = m.now
	m.scheduleRead(s)
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
	load := place.Load{Running: s.running, Waiting: len(s.waiting), Slots: modelSlots, Slowdown: s.slowness()}
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
	if m.reporting == reportsWithoutAge {
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
	}
	return total
}
