package overload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

const (
	simEntries      = 25
	simLink         = 1.25e6
	simRun          = 20 * time.Second
	simWarmUp       = 2 * time.Second
	simPropagation  = time.Millisecond / 2
	simInitialBytes = 14 << 10
	simRetryAfter   = 50 * time.Millisecond
	// Processor times are those of a full core, divided by a share of 0.192.
	simRequestWork = 4600 * time.Microsecond
	simRefusalWork = 800 * time.Microsecond
	simEchoWork    = 200 * time.Microsecond
)

// simStart is the time at which runs begin.
var simStart = time.Unix(1_800_000_000, 0)

// simKind is a kind of request.
type simKind struct {
	name                    string
	priority                int
	target, timeout, server time.Duration
	minBody, maxBody        int
	response                int
	share                   float64
}

// simKinds resemble those of deployment B: long drafts, and tagging.
var simKinds = []simKind{
	{name: "draft", priority: 0, target: 500 * time.Millisecond, timeout: 8 * time.Second, server: 120 * time.Millisecond, minBody: 1 << 10, maxBody: 10 << 10, response: 9600, share: 0.6},
	{name: "tagging", priority: 2, target: 2 * time.Second, timeout: 2500 * time.Millisecond, server: 150 * time.Millisecond, minBody: 1 << 10, maxBody: 3 << 10, response: 512, share: 0.4},
}

// simQueue is a link in one direction, or a processor: it serves in order of arrival.
type simQueue struct {
	free time.Time
}

func (q *simQueue) use(now time.Time, d time.Duration) time.Time {
	if q.free.Before(now) {
		q.free = now
	}
	q.free = q.free.Add(d)
	return q.free
}

func (q *simQueue) send(now time.Time, bytes int) time.Time {
	return q.use(now, time.Duration(float64(bytes)/simLink*float64(time.Second))).Add(simPropagation)
}

// simEntry is an entry with its link, its processor and the code under test.
type simEntry struct {
	address            netip.AddrPort
	in, out, processor simQueue
	controller         *Controller
	prober             *Prober
	// diverter is nil unless the entry may divert.
	diverter *Diverter
}

// simRequest is a request of a caller, with its second try.
type simRequest struct {
	kind      simKind
	workspace string
	body      int
	sent      time.Time
	entry     int
	retried   bool
}

// simCount counts requests by outcome.
type simCount struct {
	all, inTime, late, refused int
}

func (c simCount) share() float64 {
	return float64(c.inTime) / float64(max(1, c.all))
}

// simulation plays entries and their callers in virtual time.
type simulation struct {
	random *rand.Rand
	now    time.Time
	events simEvents
	// sequence orders events of one time.
	sequence int
	entries  []*simEntry
	peers    [][]netip.AddrPort
	byKind   map[string]*simCount
	byOwner  map[string]*simCount
	// refusalTimes are the times from the send of a request to its refusal.
	refusalTimes []time.Duration
	refusals     int
	controlled   bool
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(seed uint64, controlled bool) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: simStart, controlled: controlled,
		byKind: make(map[string]*simCount), byOwner: make(map[string]*simCount),
	}
	for i := range simEntries {
		s.entries = append(s.entries, &simEntry{
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + i)}), 7),
			controller: &Controller{LinkBytesPerSecond: simLink, Random: rand.New(rand.NewPCG(seed, uint64(1+i)))},
			prober:     &Prober{Random: rand.New(rand.NewPCG(seed, uint64(1000+i)))},
		})
	}
	for i := range simEntries {
		var peers []netip.AddrPort
		for j, e := range s.entries {
			if j != i {
				peers = append(peers, e.address)
			}
		}
		s.peers = append(s.peers, peers)
		s.at(s.now.Add(time.Duration(i)*time.Millisecond), func() { s.probe(i) })
	}
	return s
}

func (s *simulation) at(at time.Time, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: at, sequence: s.sequence, run: run})
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// probe sends an echo request through both links and both processors, and back.
func (s *simulation) probe(i int) {
	e := s.entries[i]
	s.at(s.now.Add(ProbeInterval), func() { s.probe(i) })
	for _, sample := range e.prober.Expire(s.now) {
		e.controller.RecordEcho(s.now, sample)
	}
	probe, ok := e.prober.Next(s.now, s.peers[i])
	if !ok {
		return
	}
	peer := s.entries[int(probe.Peer.Addr().As4()[3])-1]
	hop := func(via *simQueue, next func()) {
		s.at(via.send(s.now, 60), next)
	}
	hop(&e.out, func() {
		hop(&peer.in, func() {
			s.at(peer.processor.use(s.now, simEchoWork), func() {
				status := peer.controller.Status(s.now)
				minimum := peer.prober.Minimum()
				stated := PeerState{Delay: status.Delay, DelayKnown: status.Known}
				if peer.diverter != nil {
					state := peer.diverter.Status()
					stated.UtilizationKnown, stated.Utilization = true, state.Utilization.Highest()
					stated.Diverting, stated.PeersDiverting = state.Diverting, state.OwnPeersDiverting
				}
				hop(&peer.out, func() {
					hop(&e.in, func() {
						s.at(e.processor.use(s.now, simEchoWork), func() {
							sample, ok := e.prober.Echo(s.now, probe.ID, probe.Peer, minimum)
							if ok {
								e.controller.RecordEcho(s.now, sample)
							}
							if e.diverter != nil {
								e.diverter.RecordPeer(s.now, probe.Peer.String(), stated)
							}
							if status.Known {
								e.controller.RecordPeer(s.now, probe.Peer.String(), status.Delay)
							}
						})
					})
				})
			})
		})
	})
}

// load sends requests at a rate to an entry that entry returns, by callers of the workspace
// that workspace returns.
func (s *simulation) load(perSecond float64, entry func() int, workspace func() string) {
	var next func()
	next = func() {
		s.at(s.now.Add(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second))), next)
		kind := simKinds[0]
		if s.random.Float64() >= kind.share {
			kind = simKinds[1]
		}
		r := &simRequest{
			kind: kind, workspace: workspace(), sent: s.now, entry: entry(),
			body: kind.minBody + s.random.IntN(kind.maxBody-kind.minBody),
		}
		s.count(r, func(c *simCount) { c.all++ })
		s.arrive(r)
	}
	s.at(s.now, next)
}

// arrive plays the arrival of a request at its entry: what the caller sends before it has an
// answer arrives in any case.
func (s *simulation) arrive(r *simRequest) {
	e := s.entries[r.entry]
	sent := s.now
	first := min(r.body, simInitialBytes)
	header := e.in.send(s.now, 1<<10)
	initial := e.in.send(s.now, first)
	s.at(header, func() {
		decision := Decision(Admitted{})
		if s.controlled {
			decision = e.controller.Admit(s.now, Request{
				Workspace: r.workspace, Priority: r.kind.priority, LatencyTarget: r.kind.target,
				Remaining: r.kind.timeout - sent.Sub(r.sent), Bytes: int64(r.body + r.kind.response + 2<<10),
			})
		}
		if _, refused := decision.(Refused); refused {
			s.refuse(r, e, sent)
			return
		}
		s.at(initial, func() {
			s.at(e.in.send(s.now, r.body-first), func() {
				s.at(e.processor.use(s.now, simRequestWork/2), func() { s.serve(r, e) })
			})
		})
	})
}

// refuse returns a refusal, upon which the caller tries another entry, once.
func (s *simulation) refuse(r *simRequest, e *simEntry, sent time.Time) {
	s.at(e.processor.use(s.now, simRefusalWork), func() {
		s.at(e.out.send(s.now, 300), func() {
			s.refusals++
			if s.now.Sub(simStart) > simWarmUp {
				s.refusalTimes = append(s.refusalTimes, s.now.Sub(sent))
			}
			if r.retried {
				s.count(r, func(c *simCount) { c.refused++ })
				return
			}
			r.retried = true
			s.at(s.now.Add(simRetryAfter), func() {
				r.entry = s.random.IntN(simEntries)
				s.arrive(r)
			})
		})
	})
}

// serve sends the body to a server, and the response in four parts.
func (s *simulation) serve(r *simRequest, e *simEntry) {
	s.at(e.out.send(s.now, r.body+1<<10), func() {
		for part := range 4 {
			s.at(s.now.Add(r.kind.server+time.Duration(part)*50*time.Millisecond), func() {
				s.at(e.in.send(s.now, r.kind.response/4), func() {
					s.at(e.processor.use(s.now, simRequestWork/8), func() {
						s.at(e.out.send(s.now, r.kind.response/4), func() {
							if part == 0 {
								s.answer(r)
							}
						})
					})
				})
			})
		}
	})
}

func (s *simulation) answer(r *simRequest) {
	s.count(r, func(c *simCount) {
		if s.now.Sub(r.sent) <= r.kind.target {
			c.inTime++
		} else {
			c.late++
		}
	})
}

// count counts a request by kind and by workspace, unless it was sent early in the run or is
// still in progress at its end without being late.
func (s *simulation) count(r *simRequest, count func(*simCount)) {
	if r.sent.Sub(simStart) < simWarmUp || r.sent.Sub(simStart) > simRun-r.kind.timeout/4 {
		return
	}
	for _, c := range []*simCount{counterOf(s.byKind, r.kind.name), counterOf(s.byOwner, r.workspace)} {
		count(c)
	}
}

func counterOf(counts map[string]*simCount, name string) *simCount {
	if counts[name] == nil {
		counts[name] = &simCount{}
	}
	return counts[name]
}

// playHotEntry gives entry 0 half of the requests, at a rate of perSecond, nearly all of one
// workspace, and the others the other half.
func playHotEntry(seed uint64, controlled bool, perSecond float64) *simulation {
	s := newSimulation(seed, controlled)
	small := func() string { return fmt.Sprintf("small-%d", s.random.IntN(9)) }
	s.load(perSecond, func() int { return 0 }, func() string {
		if s.random.IntN(10) == 0 {
			return small()
		}
		return "large"
	})
	s.load(perSecond, func() int { return 1 + s.random.IntN(simEntries-1) }, small)
	s.runFor(simRun)
	return s
}

// quantile returns a quantile of the times from a request to its refusal.
func (s *simulation) quantile(q float64) time.Duration {
	slices.Sort(s.refusalTimes)
	return s.refusalTimes[int(q*float64(len(s.refusalTimes)-1))]
}

// Rates of the requests to the hot entry, which can serve about 108 a second in time.
const (
	simRateBelow = 85
	simRateAbove = 125
	simRateFar   = 160
)

// TestHotEntryServesInTime guards against an entry that answers nobody in time because it gets
// more than its link carries, while its neighbours are idle.
func TestHotEntryServesInTime(t *testing.T) {
	for seed := range uint64(3) {
		for _, test := range []struct{ rate, least, most float64 }{{simRateAbove, 0.95, 0.7}, {simRateFar, 0.9, 0.7}} {
			s := playHotEntry(seed, true, test.rate)
			for _, counts := range []map[string]*simCount{s.byKind, s.byOwner} {
				for name, c := range counts {
					if c.share() < test.least {
						t.Errorf("seed %d, %.0f a second: %.3f of %s are served in time, want at least %.2f: %+v", seed, test.rate, c.share(), name, test.least, *c)
					}
				}
			}
			if s.quantile(0.5) > simRetryAfter || s.quantile(0.99) > simKinds[0].target {
				t.Errorf("seed %d, %.0f a second: half of the refusals come within %s, 99 of 100 within %s", seed, test.rate, s.quantile(0.5), s.quantile(0.99))
			}
			t.Logf("seed %d, %.0f a second: %d refusals, after %s at the median, %s at 0.9, %s at 0.99; drafts %.3f, tagging %.3f, large workspace %.3f", seed, test.rate, s.refusals, s.quantile(0.5), s.quantile(0.9), s.quantile(0.99), s.byKind["draft"].share(), s.byKind["tagging"].share(), s.byOwner["large"].share())
			without := playHotEntry(seed, false, test.rate)
			if got := without.byKind["draft"].share(); got > test.most {
				t.Errorf("seed %d, %.0f a second: without control %.3f of the drafts are served in time; the load proves nothing", seed, test.rate, got)
			}
		}
	}
}

// TestNoSheddingBelowCapacity guards against refusals while the entry serves all in time.
func TestNoSheddingBelowCapacity(t *testing.T) {
	for seed := range uint64(5) {
		s := playHotEntry(seed, true, simRateBelow)
		if s.refusals > 0 {
			t.Errorf("seed %d: %d refusals at %d requests a second, want none", seed, s.refusals, simRateBelow)
		}
	}
}

// TestRestartedEntryWithEverythingQueued guards against an entry that starts with full queues
// and keeps them full.
func TestRestartedEntryWithEverythingQueued(t *testing.T) {
	shares := make(map[bool]float64)
	for _, controlled := range []bool{false, true} {
		s := newSimulation(1, controlled)
		hot := s.entries[0]
		hot.in.free, hot.out.free = s.now.Add(2*time.Second), s.now.Add(2*time.Second)
		s.load(95, func() int { return 0 }, func() string { return "large" })
		s.runFor(simRun)
		shares[controlled] = s.byKind["draft"].share()
	}
	// No echo is back before the first queue has drained, in 2 s of 18, and then as much has
	// arrived again, so that about a seventh is late in any case.
	if shares[true] < 0.75 || shares[true] < shares[false]+0.4 {
		t.Errorf("%.3f of the drafts are served in time, and %.3f without control; want at least 0.75 and 0.4 more", shares[true], shares[false])
	}
}

// TestCongestionEverywhere guards against entries that send callers from one to the other
// although none has room.
func TestCongestionEverywhere(t *testing.T) {
	s := newSimulation(1, true)
	s.load(simRateAbove*simEntries, func() int { return s.random.IntN(simEntries) }, func() string { return "any" })
	s.runFor(8 * time.Second)
	all := s.byKind["draft"].all + s.byKind["tagging"].all
	if s.refusals > all/5 {
		t.Errorf("%d refusals among %d requests although no entry has room", s.refusals, all)
	}
	t.Logf("%d refusals among %d requests", s.refusals, all)
}
