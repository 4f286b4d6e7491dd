package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// The model plays a burst of the workspace whose callers share one hash.
	divertBurstAt  = 12 * time.Second
	divertBurstEnd = 18 * time.Second
	divertRun      = 34 * time.Second
	divertBurst    = 2.8
	divertHeader   = 600
	divertEvent    = 130
	// Four events arrive in three packets in the mean.
	divertEventsPer, divertPacketsPer = 4, 3
	// divertOverhead is what a packet adds at the simulated links. It is below PacketOverhead,
	// because entries overestimate the utilization of real links too.
	divertOverhead = 40
	// divertOthers are the requests a second of all other workspaces.
	divertOthers = 130
	// divertUsual are those of the hot workspace, with which its entry carries 0.96 MB/s.
	divertUsual = 235
	// divertLasting are those with which it carries 1.1 times its link.
	divertLasting = 300
	// divertWork is the processor time of a request, at a fifth of a core.
	divertWork = 1500 * time.Microsecond
	// divertNewShare is the share of the requests after which callers close a connection.
	divertNewShare = 0.1
	pollTimeout    = time.Second
)

// divertKinds are those of deployment B with the sizes measured there: requests of 2.3 KB with
// their headers, and events of 130 bytes.
var divertKinds = []simKind{
	{name: "draft", priority: 0, target: 500 * time.Millisecond, timeout: 2500 * time.Millisecond, server: 120 * time.Millisecond, minBody: 500, maxBody: 3900, response: 20 * divertEvent, share: 0.6},
	{name: "tagging", priority: 2, target: 2 * time.Second, timeout: 2500 * time.Millisecond, server: 150 * time.Millisecond, minBody: 500, maxBody: 1500, response: 4 * divertEvent, share: 0.4},
}

// divertMode is what the entries of a run do.
type divertMode struct {
	divert, refuse, shed bool
	// closing is the share of the responses of a diverting entry that end their connections.
	closing float64
	// noCause makes refused connections begin no diversion.
	noCause bool
	// elsewhere makes callers whose connection is refused reach another entry.
	elsewhere bool
	// retryAfter is what refusals tell; 0 means simRetryAfter.
	retryAfter time.Duration
}

// divertModel adds the load balancer, kept connections and the counted traffic to a
// simulation.
type divertModel struct {
	*simulation
	mode divertMode
	// misses counts the polls without a good answer since the last good one.
	misses  []int
	traffic []Traffic
	// limiters are nil, and paused false, unless entries may refuse connections.
	limiters []*AcceptLimiter
	paused   []bool
	pools    map[string][]*keptConn

	connections, refusedConnections, changes, notReadyPolls, polls int
	changesOf                                                      []int
	count                                                          map[string]*simCount
	refusedAfter                                                   []time.Duration
}

// keptConn is a connection of a caller.
type keptConn struct {
	entry  int
	closed bool
}

type divertRequest struct {
	simRequest
	at   time.Duration
	done bool
}

func newDivertModel(seed uint64, mode divertMode) *divertModel {
	m := &divertModel{
		simulation: newSimulation(seed, mode.shed), mode: mode,
		misses: make([]int, simEntries), traffic: make([]Traffic, simEntries),
		limiters: make([]*AcceptLimiter, simEntries), paused: make([]bool, simEntries), changesOf: make([]int, simEntries),
		pools: make(map[string][]*keptConn), count: make(map[string]*simCount),
	}
	for i, e := range m.entries {
		e.controller.MeasureOnly = !mode.shed
		if mode.divert {
			e.diverter = NewDiverter(simLink)
		}
		m.at(m.now.Add(time.Duration(i)*time.Millisecond), func() { m.step(i) })
		if mode.refuse {
			m.limiters[i] = NewAcceptLimiter(simLink)
			m.at(m.now.Add(time.Duration(i)*time.Microsecond), func() { m.limit(i) })
		}
		m.at(m.now.Add(time.Duration(i)*37*time.Millisecond), func() { m.poll(i) })
	}
	return m
}

func (m *divertModel) step(i int) {
	m.at(m.now.Add(DivertInterval), func() { m.step(i) })
	e := m.entries[i]
	status := e.controller.Status(m.now)
	if e.diverter == nil {
		return
	}
	_, changed := e.diverter.Step(m.now, m.traffic[i], status)
	if changed {
		m.changes++
		m.changesOf[i]++
	}
}

// limit decides whether an entry accepts connections.
func (m *divertModel) limit(i int) {
	m.at(m.now.Add(AcceptInterval), func() { m.limit(i) })
	m.paused[i] = m.limiters[i].Step(m.now, m.traffic[i], m.entries[i].diverter.Status().PeersHaveRoom)
	if m.paused[i] && !m.mode.noCause {
		m.entries[i].diverter.RecordPause()
	}
}

// poll plays the load balancer: an answer that comes late is a miss like one that says not
// ready.
func (m *divertModel) poll(i int) {
	m.at(m.now.Add(time.Second), func() { m.poll(i) })
	e := m.entries[i]
	sent, answered := m.now, false
	m.at(e.in.send(m.now, 200), func() {
		ready := e.diverter == nil || !e.diverter.Status().Diverting
		m.polls++
		if !ready {
			m.notReadyPolls++
		}
		m.at(e.out.send(m.now, 200), func() {
			if m.now.Sub(sent) < pollTimeout {
				answered = true
				if ready {
					m.misses[i] = 0
				} else {
					m.misses[i]++
				}
			}
		})
	})
	m.at(sent.Add(pollTimeout), func() {
		if !answered {
			m.misses[i]++
		}
	})
}

// choose returns the entry of a new connection, which for a retry of a workspace with many
// hashes is another one than last.
func (m *divertModel) choose(workspace string, last int) int {
	var ready []int
	for i, misses := range m.misses {
		if misses < 2 {
			ready = append(ready, i)
		}
	}
	if len(ready) < simEntries/2 {
		ready = ready[:0]
		for i := range simEntries {
			ready = append(ready, i)
		}
	}
	if workspace == "large" && !(m.mode.elsewhere && last >= 0) {
		return ready[0]
	}
	for {
		i := ready[m.random.IntN(len(ready))]
		if i != last {
			return i
		}
	}
}

// receive and transmit pass a message over a link in some packets, and count it as an entry
// does.
func (m *divertModel) receive(i, bytes, packets int, next func()) {
	m.at(m.entries[i].in.send(m.now, bytes+packets*divertOverhead), func() {
		m.traffic[i].Received += int64(bytes + packets*PacketOverhead)
		m.traffic[i].Sent += int64(packets * PacketOverhead)
		next()
	})
}

func (m *divertModel) transmit(i, bytes, packets int, next func()) {
	m.traffic[i].Sent += int64(bytes + packets*PacketOverhead)
	m.traffic[i].Received += int64(packets * PacketOverhead)
	m.at(m.entries[i].out.send(m.now, bytes+packets*divertOverhead), next)
}

// load sends requests of a workspace at the rate that rate returns.
func (m *divertModel) load(rate func(at time.Duration) float64, workspace func() string) {
	var next func()
	next = func() {
		at := m.now.Sub(simStart)
		m.at(m.now.Add(time.Duration(m.random.ExpFloat64()/rate(at)*float64(time.Second))), next)
		kind := divertKinds[0]
		if m.random.Float64() >= kind.share {
			kind = divertKinds[1]
		}
		r := &divertRequest{at: at, simRequest: simRequest{
			kind: kind, workspace: workspace(), sent: m.now, entry: -1,
			body: kind.minBody + m.random.IntN(kind.maxBody-kind.minBody),
		}}
		m.record(r, func(c *simCount) { c.all++ })
		pool := m.pools[r.workspace]
		if len(pool) > 0 {
			m.pools[r.workspace] = pool[:len(pool)-1]
			m.send(r, pool[len(pool)-1])
			return
		}
		m.connect(r)
	}
	m.at(m.now, next)
}

func (m *divertModel) connect(r *divertRequest) {
	conn := &keptConn{entry: m.choose(r.workspace, r.entry)}
	m.connections++
	e, opened := m.entries[conn.entry], m.now
	m.at(e.in.send(m.now, 66), func() {
		paused := m.paused[conn.entry]
		m.at(e.out.send(m.now, 66), func() {
			switch {
			case !paused:
				m.send(r, conn)
			case r.retried:
				r.done = true
				m.refusedConnections++
				m.refusedAfter = append(m.refusedAfter, m.now.Sub(opened))
				m.record(r, func(c *simCount) { c.refused++ })
			default:
				m.refusedConnections++
				m.refusedAfter = append(m.refusedAfter, m.now.Sub(opened))
				r.retried, r.entry = true, conn.entry
				m.connect(r)
			}
		})
	})
}

// send plays a request on a connection. A caller that gives up closes the connection.
func (m *divertModel) send(r *divertRequest, conn *keptConn) {
	i, e, sent := conn.entry, m.entries[conn.entry], m.now
	r.entry = i
	m.at(r.sent.Add(r.kind.timeout), func() {
		if !r.done && r.entry == i {
			r.done, conn.closed = true, true
			m.record(r, func(c *simCount) { c.late++ })
		}
	})
	m.receive(i, divertHeader+r.body, 2, func() {
		if m.mode.shed || e.diverter != nil {
			decision := e.controller.Admit(m.now, Request{
				Workspace: r.workspace, Priority: r.kind.priority, LatencyTarget: r.kind.target,
				Remaining: r.kind.timeout - sent.Sub(r.sent), Bytes: int64(r.body + r.kind.response + 2<<10),
			})
			if _, refused := decision.(Refused); refused {
				m.refuse(r, conn, sent)
				return
			}
		}
		m.at(e.processor.use(m.now, divertWork/2), func() {
			m.transmit(i, divertHeader+r.body, 2, func() { m.answer(r, conn) })
		})
	})
}

// answer sends the events of a response, in groups.
func (m *divertModel) answer(r *divertRequest, conn *keptConn) {
	groups := r.kind.response / (divertEvent * divertEventsPer)
	for group := range groups {
		m.at(m.now.Add(r.kind.server+time.Duration(group)*200*time.Millisecond), func() {
			if conn.closed {
				return
			}
			m.receive(conn.entry, divertEvent*divertEventsPer, divertPacketsPer, func() {
				m.at(m.entries[conn.entry].processor.use(m.now, divertWork/2/time.Duration(groups)), func() {
					m.transmit(conn.entry, divertEvent*divertEventsPer, divertPacketsPer, func() {
						if group == 0 {
							m.firstEvent(r)
						}
						if group == groups-1 && !conn.closed {
							m.release(r, conn)
						}
					})
				})
			})
		})
	}
}

func (m *divertModel) firstEvent(r *divertRequest) {
	if r.done {
		return
	}
	r.done = true
	m.record(r, func(c *simCount) {
		if m.now.Sub(r.sent) <= r.kind.target {
			c.inTime++
		} else {
			c.late++
		}
	})
}

// release keeps a connection for other requests of the workspace, unless the caller or the
// entry closes it.
func (m *divertModel) release(r *divertRequest, conn *keptConn) {
	diverter := m.entries[conn.entry].diverter
	closes := m.random.Float64() < divertNewShare
	if diverter != nil && diverter.Status().Diverting && m.random.Float64() < m.mode.closing {
		closes = true
	}
	if !closes {
		m.pools[r.workspace] = append(m.pools[r.workspace], conn)
	}
}

func (m *divertModel) refuse(r *divertRequest, conn *keptConn, sent time.Time) {
	m.at(m.entries[conn.entry].processor.use(m.now, simRefusalWork), func() {
		m.transmit(conn.entry, 300, 1, func() {
			m.refusedAfter = append(m.refusedAfter, m.now.Sub(sent))
			m.release(r, conn)
			if r.done {
				return
			}
			if r.retried {
				r.done = true
				m.record(r, func(c *simCount) { c.refused++ })
				return
			}
			r.retried = true
			wait := max(simRetryAfter, m.mode.retryAfter)
			left := r.kind.timeout - m.now.Sub(r.sent)
			m.at(m.now.Add(min(wait, left/3)), func() { m.connect(r) })
		})
	})
}

// record counts a request by kind, by workspace and by time.
func (m *divertModel) record(r *divertRequest, count func(*simCount)) {
	if r.at < simWarmUp || r.at > divertRun-3*time.Second {
		return
	}
	keys := []string{"all", r.kind.name, "others"}
	if r.workspace == "large" {
		keys[2] = "large"
	}
	if r.at >= divertBurstAt && r.at < divertBurstEnd {
		keys = append(keys, "burst")
	}
	for _, key := range keys {
		count(counterOf(m.count, key))
	}
}

// playBurst plays a burst of the hot workspace, whose usual requests a second are given.
func playBurst(seed uint64, mode divertMode, usual float64) *divertModel {
	m := newDivertModel(seed, mode)
	m.playAt(usual)
	return m
}

func (m *divertModel) play() { m.playAt(divertUsual) }

func (m *divertModel) playAt(usual float64) {
	m.load(func(at time.Duration) float64 {
		if at >= divertBurstAt && at < divertBurstEnd {
			return divertBurst * usual
		}
		return usual
	}, func() string { return "large" })
	m.load(func(time.Duration) float64 { return divertOthers }, func() string { return fmt.Sprintf("small-%d", m.random.IntN(9)) })
	m.runFor(divertRun)
}

func (m *divertModel) String() string {
	for _, key := range []string{"burst", "draft", "tagging", "large", "others"} {
		counterOf(m.count, key)
	}
	slices.Sort(m.refusedAfter)
	refused := time.Duration(0)
	if len(m.refusedAfter) > 0 {
		refused = m.refusedAfter[len(m.refusedAfter)/2]
	}
	return fmt.Sprintf("all %.3f, burst %.3f, draft %.3f, tagging %.3f, large %.3f, others %.3f; refused %d after %s; connections %d, refused %d; changes %d %v; not ready %.3f",
		m.count["all"].share(), m.count["burst"].share(), m.count["draft"].share(), m.count["tagging"].share(), m.count["large"].share(), m.count["others"].share(),
		len(m.refusedAfter), refused.Round(time.Millisecond), m.connections, m.refusedConnections, m.changes, m.changesOf[:6], float64(m.notReadyPolls)/float64(m.polls))
}

// TestBurstOfOneHash guards against means that serve less than doing nothing, and shows what each
// of them adds: callers of one workspace share a hash and return to the same entry, so that
// refusals fill its link again, while connections that are refused leave it to others.
func TestBurstOfOneHash(t *testing.T) {
	served := make(map[string]float64)
	for _, c := range []struct {
		name string
		mode divertMode
	}{
		{"nothing", divertMode{}},
		{"shed", divertMode{shed: true}},
		{"divert", divertMode{divert: true}},
		{"divert, shed", divertMode{divert: true, shed: true}},
		{"divert, refuse", divertMode{divert: true, refuse: true}},
		{"divert, refuse, shed", divertMode{divert: true, refuse: true, shed: true}},
		{"divert, refuse, close", divertMode{divert: true, refuse: true, closing: 0.3}},
	} {
		m := playBurst(1, c.mode, divertUsual)
		served[c.name] = m.count["all"].share()
		t.Logf("%-22s %s", c.name, m)
		if c.name != "divert, refuse" {
			continue
		}
		for _, key := range []string{"draft", "tagging", "large", "others"} {
			if got := m.count[key].share(); got < 0.8 {
				t.Errorf("%s: %.3f of %s are served in time, want at least 0.8", c.name, got, key)
			}
		}
		if at90 := m.refusedAfter[len(m.refusedAfter)*9/10]; at90 > 50*time.Millisecond {
			t.Errorf("%s: 9 of 10 refusals come within %s, want 50 ms", c.name, at90)
		}
		if share := float64(m.notReadyPolls) / float64(m.polls); share > maxDiverting {
			t.Errorf("%s: entries are not ready for %.3f of the time, want at most an eighth", c.name, share)
		}
		if slices.Max(m.changesOf) > 2*int(divertRun/(8*time.Second)) {
			t.Errorf("%s: an entry has changed %d times in %s", c.name, slices.Max(m.changesOf), divertRun)
		}
	}
	for _, order := range [][2]string{{"shed", "divert"}, {"nothing", "divert"}, {"divert", "divert, refuse"}} {
		if served[order[0]] >= served[order[1]] {
			t.Errorf("%s serves %.3f, %s %.3f: want more", order[0], served[order[0]], order[1], served[order[1]])
		}
	}
}

// TestLastingLoad guards against an entry whose load is just above its link, which refuses
// connections so that its utilization stays below the threshold, and never diverts: its callers
// come back to it and are refused again.
func TestLastingLoad(t *testing.T) {
	served := make(map[bool]float64)
	for _, apart := range []bool{true, false} {
		m := newDivertModel(1, divertMode{divert: true, refuse: true, noCause: apart})
		m.load(func(time.Duration) float64 { return divertLasting }, func() string { return "large" })
		m.runFor(divertRun)
		t.Logf("diverting apart from refusing %t: %s", apart, m)
		served[apart] = m.count["all"].share()
	}
	if served[false] < 0.98 || served[false] <= served[true] {
		t.Errorf("%.3f are served in time, and %.3f if refusing begins no diversion; want at least 0.98 and more", served[false], served[true])
	}
}

var chosenMode = divertMode{divert: true, refuse: true}

// TestNothingIsDivertedBelowCapacity guards against connections that are moved or refused while
// the entry serves all in time.
func TestNothingIsDivertedBelowCapacity(t *testing.T) {
	for seed := range uint64(2) {
		m := newDivertModel(seed, chosenMode)
		m.load(func(time.Duration) float64 { return divertUsual / 2 }, func() string { return "large" })
		m.load(func(time.Duration) float64 { return divertOthers }, func() string { return "small" })
		m.runFor(20 * time.Second)
		if m.changes > 0 || m.refusedConnections > 0 || m.notReadyPolls > 0 {
			t.Errorf("seed %d: want no change and no refusal: %s", seed, m)
		}
	}
}

// TestBurstBesideASlowPeer guards against an entry that diverts nothing because one of its peers
// is slow, and against others that take the slow peer for a queue of their own.
func TestBurstBesideASlowPeer(t *testing.T) {
	const slow = 9
	m := newDivertModel(1, chosenMode)
	var delay func()
	delay = func() {
		m.at(m.now.Add(10*time.Millisecond), delay)
		m.entries[slow].out.free = m.now.Add(400 * time.Millisecond)
	}
	m.at(m.now, delay)
	m.play()
	if got := m.count["large"].share(); got < 0.8 {
		t.Errorf("%.3f of the hot workspace are served in time, want at least 0.8: %s", got, m)
	}
	for i, changes := range m.changesOf {
		if i > 4 && i != slow && changes > 0 {
			t.Errorf("entry %d has changed %d times, want none", i, changes)
		}
	}
}

// TestRestartInABurst guards against an entry that comes back with everything queued and without
// its memory, and stays overloaded.
func TestRestartInABurst(t *testing.T) {
	m := newDivertModel(1, chosenMode)
	m.at(simStart.Add(divertBurstAt+2*time.Second), func() {
		e := m.entries[0]
		e.in.free, e.out.free = m.now.Add(2*time.Second), m.now.Add(2*time.Second)
		*e.controller = Controller{LinkBytesPerSecond: simLink, Random: e.controller.Random, MeasureOnly: true}
		*e.prober = Prober{Random: e.prober.Random}
		e.diverter, m.limiters[0], m.traffic[0] = NewDiverter(simLink), NewAcceptLimiter(simLink), Traffic{}
		if e.diverter.Status().Diverting {
			t.Error("the entry does not start ready")
		}
	})
	m.play()
	if got := m.count["all"].share(); got < 0.75 {
		t.Errorf("%.3f are served in time, want at least 0.75: %s", got, m)
	}
	if state := m.entries[0].diverter.Status(); state.Diverting && state.Utilization.Highest() < lowUtilization {
		t.Errorf("the entry still diverts at the end: %+v", state)
	}
	t.Log(m)
}

// TestAllEntriesOverloaded guards against entries that refuse callers, or report not ready,
// although no other has room.
func TestAllEntriesOverloaded(t *testing.T) {
	served := make(map[bool]float64)
	for _, acts := range []bool{false, true} {
		m := newDivertModel(1, divertMode{divert: acts, refuse: acts})
		m.load(func(time.Duration) float64 { return simEntries * 1.3 * divertUsual }, func() string { return fmt.Sprintf("small-%d", m.random.IntN(9)) })
		m.runFor(8 * time.Second)
		served[acts] = m.count["all"].share()
		t.Log(m)
		if share := float64(m.notReadyPolls) / float64(m.polls); share > maxDiverting {
			t.Errorf("entries are not ready for %.3f of the time, want at most an eighth", share)
		}
		if m.refusedConnections > m.connections/5 {
			t.Errorf("%d of %d connections are refused although no entry has room", m.refusedConnections, m.connections)
		}
	}
	if served[true] < served[false]-0.05 {
		t.Errorf("%.3f are served in time, and %.3f if entries do nothing", served[true], served[false])
	}
}
