package overload

import (
	"fmt"
	"testing"
	"time"
)

// divertTrial steps a diverter with constant inputs.
type divertTrial struct {
	*Diverter
	now   time.Time
	total Traffic
	// peers is the number of peers that state peer, of which diverting also divert.
	peers, diverting int
	peer             PeerState
}

func newDivertTrial() *divertTrial {
	return &divertTrial{Diverter: NewDiverter(simLink), now: simStart, peers: 8, peer: PeerState{DelayKnown: true, UtilizationKnown: true, Utilization: 0.1}}
}

// hold keeps utilization and delay for some time and returns the last state and the number of
// changes.
func (d *divertTrial) hold(during time.Duration, utilization float64, delay time.Duration) (Diversion, int) {
	var state Diversion
	changes := 0
	for end := d.now.Add(during); d.now.Before(end); {
		d.now = d.now.Add(DivertInterval)
		d.total.Received += int64(utilization * simLink * DivertInterval.Seconds())
		for i := range d.peers {
			peer := d.peer
			peer.Diverting = i < d.diverting
			d.RecordPeer(d.now, fmt.Sprint(i), peer)
		}
		changed := false
		state, changed = d.Step(d.now, d.total, Status{Delay: delay, Known: true, Target: 60 * time.Millisecond, Room: 1})
		if changed {
			changes++
		}
	}
	return state, changes
}

const (
	calmLoad = lowUtilization - 0.1
	fullLoad = 1.1
)

// TestDivertsBeforeTheQueue guards against an entry that waits for a queue although its link is
// full, and against one that misses a queue whose link is not full.
func TestDivertsBeforeTheQueue(t *testing.T) {
	for _, test := range []struct {
		utilization float64
		delay       time.Duration
		cause       Cause
	}{{fullLoad, 0, HighUtilization}, {calmLoad, 100 * time.Millisecond, HighDelay}} {
		d := newDivertTrial()
		d.hold(5*time.Second, calmLoad, 0)
		if state, changes := d.hold(1500*time.Millisecond, test.utilization, test.delay); !state.Diverting || changes != 1 || state.Cause != test.cause {
			t.Errorf("utilization %.2f, delay %s: got %+v after %d changes, want one diversion with cause %s", test.utilization, test.delay, state, changes, test.cause)
		}
	}
}

// TestShortBurstIsNotDiverted guards against diverting for a burst that drains by itself.
func TestShortBurstIsNotDiverted(t *testing.T) {
	d := newDivertTrial()
	d.hold(5*time.Second, calmLoad, 0)
	if state, changes := d.hold(delayOnset-DivertInterval, calmLoad, 200*time.Millisecond); state.Diverting || changes > 0 {
		t.Errorf("got %+v after a burst shorter than %s", state, delayOnset)
	}
	if state, changes := d.hold(time.Second, calmLoad, 0); state.Diverting || changes > 0 {
		t.Errorf("got %+v after the burst, want the entry ready", state)
	}
}

// TestDiversionEndsWhenTheLoadIsGone guards against an entry that is ready again before the load
// balancer has noticed or while its load is still high, and against one that stays not ready.
func TestDiversionEndsWhenTheLoadIsGone(t *testing.T) {
	d := newDivertTrial()
	d.hold(5*time.Second, fullLoad, 0)
	for _, still := range []struct {
		utilization float64
		delay       time.Duration
	}{{(lowUtilization + highUtilization) / 2, 0}, {calmLoad, 100 * time.Millisecond}} {
		if state, changes := d.hold(20*time.Second, still.utilization, still.delay); !state.Diverting || changes > 0 {
			t.Errorf("utilization %.2f, delay %s: got %+v, want the entry to divert on", still.utilization, still.delay, state)
		}
	}
	if state, _ := d.hold(calmTime-time.Second, calmLoad, 0); !state.Diverting {
		t.Errorf("ready again after less than %s: %+v", calmTime, state)
	}
	if state, _ := d.hold(2*time.Second+utilizationTime, calmLoad, 0); state.Diverting || state.Cause != Recovered {
		t.Errorf("got %+v after the load was gone for over %s, want the entry ready", state, calmTime)
	}
}

// TestAlternatingLoadDoesNotFlap guards against readiness that follows each change of a load
// that comes and goes: load balancers and callers would move back and forth.
func TestAlternatingLoadDoesNotFlap(t *testing.T) {
	for _, period := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		d := newDivertTrial()
		changes := 0
		for d.now.Before(simStart.Add(time.Minute)) {
			_, high := d.hold(period, fullLoad, 80*time.Millisecond)
			_, low := d.hold(period, calmLoad, 0)
			changes += high + low
		}
		if changes > 2 {
			t.Errorf("period %s: %d changes in a minute, want at most 2", period, changes)
		}
	}
}

// TestPeersWithoutRoom guards against diverting to peers that have no room: the load would only
// move, and no entry would be ready.
func TestPeersWithoutRoom(t *testing.T) {
	for name, peer := range map[string]PeerState{
		"busy":   {DelayKnown: true, UtilizationKnown: true, Utilization: 0.95},
		"queued": {DelayKnown: true, Delay: 200 * time.Millisecond},
	} {
		d := newDivertTrial()
		d.peer = peer
		if state, changes := d.hold(20*time.Second, fullLoad, 200*time.Millisecond); changes > 0 {
			t.Errorf("%s peers: got %+v, want no diversion", name, state)
		}
		d = newDivertTrial()
		d.hold(5*time.Second, fullLoad, 200*time.Millisecond)
		d.peer = peer
		if state, _ := d.hold(roomOnset+time.Second, fullLoad, 200*time.Millisecond); state.Diverting || state.Cause != NoRoom {
			t.Errorf("peers have become %s: got %+v, want the diversion to end", name, state)
		}
	}
}

// TestSlowPeersDoNotPreventDiverting guards against an entry that stays overloaded because one or a few
// peers are slow or state nothing.
func TestSlowPeersDoNotPreventDiverting(t *testing.T) {
	d := newDivertTrial()
	d.peers = 7
	for range 30 {
		d.RecordPeer(d.now, "slow", PeerState{DelayKnown: true, Delay: time.Second, UtilizationKnown: true, Utilization: 1})
		d.hold(DivertInterval, fullLoad, 0)
	}
	if state := d.Status(); !state.Diverting || state.Peers != 8 {
		t.Errorf("one slow peer: got %+v, want the entry to divert", state)
	}
	d = newDivertTrial()
	d.peer = PeerState{DelayKnown: true}
	if state, _ := d.hold(3*time.Second, fullLoad, 0); !state.Diverting {
		t.Errorf("peers of an older build, which state only a delay: got %+v, want the entry to divert", state)
	}
}

// TestTooManyDivert guards against so many entries that divert at once that operators pay for it
// and load balancers ignore it. Few of them are among the peers of an entry.
func TestTooManyDivert(t *testing.T) {
	d := newDivertTrial()
	d.diverting = 1
	d.peer.PeersDiverting = 0.125
	if state, _ := d.hold(3*time.Second, fullLoad, 0); state.Diverting {
		t.Errorf("an eighth divert: got %+v, want no diversion", state)
	}
	d = newDivertTrial()
	d.diverting = 1
	d.peer.PeersDiverting = 0.04
	if state, _ := d.hold(3*time.Second, fullLoad, 0); !state.Diverting {
		t.Errorf("one peer diverts, and few others that peers know: got %+v, want the entry to divert", state)
	}
	d.diverting = 3
	d.peer.PeersDiverting = 0.3
	if state, _ := d.hold(3*time.Second, fullLoad, 0); state.Diverting || state.Cause != TooManyDivert {
		t.Errorf("0.3 of the entries divert: got %+v, want the diversion to end", state)
	}
}

// TestRefusedConnectionsDivert guards against an entry that refuses connections and stays ready,
// so that its callers come back to it, and against one that is ready again while it refuses.
func TestRefusedConnectionsDivert(t *testing.T) {
	d := newDivertTrial()
	d.hold(5*time.Second, calmLoad, 0)
	d.RecordPause()
	if state, _ := d.hold(DivertInterval, calmLoad, 0); !state.Diverting || state.Cause != RefusedConnections {
		t.Errorf("got %+v after a refusal, want the entry to divert", state)
	}
	for range 10 {
		d.RecordPause()
		if state, changes := d.hold(calmTime-2*DivertInterval, calmLoad, 0); !state.Diverting || changes > 0 {
			t.Errorf("got %+v less than %s after a refusal, want the entry to divert on", state, calmTime)
		}
	}
	if state, _ := d.hold(calmTime, calmLoad, 0); state.Diverting {
		t.Errorf("got %+v, want the entry ready after %s without refusals", state, calmTime)
	}
}

// TestStatedShareIsThatOfThePeers guards against entries that repeat what others state: a share
// that has changed would be known only after seconds.
func TestStatedShareIsThatOfThePeers(t *testing.T) {
	d := newDivertTrial()
	d.diverting = 2
	d.peer.PeersDiverting = 0.6
	if state, _ := d.hold(time.Second, calmLoad, 0); state.OwnPeersDiverting != 0.25 || state.PeersDiverting < 0.5 {
		t.Errorf("2 of 8 peers divert, which hear of 0.6: got %+v", state)
	}
}

// TestSilenceDecidesNothing guards against diverting in a partition, where nobody knows whether
// peers have room, and against a diversion that ends because a full link drops all echoes.
func TestSilenceDecidesNothing(t *testing.T) {
	d := newDivertTrial()
	d.peers = 0
	if state, changes := d.hold(20*time.Second, fullLoad, 0); changes > 0 {
		t.Errorf("no peer answers: got %+v, want no diversion", state)
	}
	d = newDivertTrial()
	d.hold(3*time.Second, fullLoad, 0)
	d.peers = 0
	if state, changes := d.hold(20*time.Second, fullLoad, 0); !state.Diverting || changes > 0 {
		t.Errorf("the peers fall silent: got %+v, want the entry to divert on", state)
	}
	if state, _ := d.hold(calmTime+2*time.Second, calmLoad, 0); state.Diverting {
		t.Errorf("the load is gone: got %+v, want the entry ready", state)
	}
}

// TestRoomIsRememberedForAWhile guards against an entry that ceases to refuse connections because
// its full link drops the echoes, and against one that refuses them in a long partition.
func TestRoomIsRememberedForAWhile(t *testing.T) {
	d := newDivertTrial()
	d.hold(time.Second, fullLoad, 0)
	d.peers = 0
	if state, _ := d.hold(peerMemory+3*time.Second, fullLoad, 0); !state.PeersHaveRoom || state.Peers != 0 {
		t.Errorf("5 s without echoes: got %+v, want room", state)
	}
	if state, _ := d.hold(roomMemory, fullLoad, 0); state.PeersHaveRoom {
		t.Errorf("over %s without echoes: got %+v, want no room", roomMemory, state)
	}
}

// TestEntryStartsReady guards against an entry that starts not ready, whatever it did before
// its restart, and against counters before the first step that look like traffic.
func TestEntryStartsReady(t *testing.T) {
	d := newDivertTrial()
	d.total = Traffic{Received: 1 << 40, Sent: 1 << 40}
	if state, changes := d.hold(5*time.Second, calmLoad, 0); state.Diverting || changes > 0 {
		t.Errorf("got %+v after the start, want the entry ready", state)
	}
}
