package overload

import (
	"sync"
	"time"
)

// DivertInterval is the time between two decisions of a Diverter.
const DivertInterval = 100 * time.Millisecond

const (
	// utilizationTime is the time constant of the utilization that decides. A burst of a few
	// large bodies is over sooner.
	utilizationTime = 500 * time.Millisecond
	// highUtilization is the utilization from which an entry diverts, and lowUtilization the
	// one below which it may cease to: new connections that come back then leave room for
	// those that are kept.
	highUtilization = 0.8
	lowUtilization  = 0.65
	// delayOnset is how long the delay must be too high before an entry diverts, so that a
	// burst that drains by itself has no effect. The utilization is a mean already.
	delayOnset = 300 * time.Millisecond
	// calmTime is how long utilization and delay must be low, and connections accepted, before
	// an entry ceases to divert. A load balancer that polls once a second needs up to 2 s to
	// notice a diversion.
	calmTime = 3 * time.Second
	// minReadyTime is how long an entry is ready at least after the peers had no room or too
	// many entries diverted. After other diversions it may divert again at once: a load that
	// comes back would be refused or late until then.
	minReadyTime = 5 * time.Second
	// minRoom is the share of the peers that must have room for an entry to begin to divert,
	// and minRoomLeft that below which it ceases to after roomOnset.
	minRoom     = 0.5
	minRoomLeft = 0.25
	roomOnset   = 500 * time.Millisecond
	// maxDiverting is the share of the entries that divert at which no other begins to, and
	// maxDivertingLeft that above which those that do cease to. Operators pay for more than
	// an eighth, and load balancers ignore readiness when half of the entries are not ready.
	maxDiverting     = 0.125
	maxDivertingLeft = 0.25
	// roomMemory is how long peers count as having room after their last statement: a full
	// link drops the echoes that state it. After that, a partition is more likely.
	roomMemory = maxFullLink
)

// PeerState is what a peer states of itself in an echo.
type PeerState struct {
	// Delay is the queueing delay, if DelayKnown is set.
	Delay      time.Duration
	DelayKnown bool
	// Utilization is that of the peer's link, if UtilizationKnown is set.
	Utilization      float64
	UtilizationKnown bool
	// Diverting is set while the peer diverts.
	Diverting bool
	// PeersDiverting is the share of its own peers that divert, if UtilizationKnown is set.
	PeersDiverting float64
}

// Cause says why an entry has begun or ceased to divert.
type Cause string

const (
	// HighUtilization and HighDelay begin a diversion.
	HighUtilization Cause = "utilization"
	HighDelay       Cause = "delay"
	// RefusedConnections begins one as well: callers of one hash whose connections are
	// refused come back until the load balancer sends them elsewhere. Refusing keeps the
	// utilization just below the threshold.
	RefusedConnections Cause = "refusing_connections"
	// Recovered, NoRoom and TooManyDivert end it: the load is gone, the peers have no room,
	// or so many entries divert that the load balancer would soon ignore it.
	Recovered     Cause = "recovered"
	NoRoom        Cause = "no_room"
	TooManyDivert Cause = "too_many_divert"
	// NotAsked ends a diversion because nothing at the site asks for it any more.
	NotAsked Cause = "not_asked"
)

// Diversion is the state of a Diverter.
type Diversion struct {
	Diverting bool
	// Cause is that of the last change, at Since; empty before the first one.
	Cause Cause
	Since time.Time
	// Utilization is that of the entry's link, as a moving average over utilizationTime.
	Utilization Utilization
	// Peers is the number of peers with a recent statement, and Room the share of them, from 0
	// to 1, that has room. PeersDiverting is the share of all entries that diverts, estimated
	// from what this entry and its peers know.
	Peers                int
	Room, PeersDiverting float64
	// OwnPeersDiverting is the share of this entry's own peers that diverts. The entry states
	// this share to others: if entries repeated what others state, a change would take seconds
	// to be known.
	OwnPeersDiverting float64
	// PeersHaveRoom is set if enough peers had room when they were last heard of.
	PeersHaveRoom bool
}

// Diverter decides when an entry reports not ready, so that new connections go to others. It
// is safe for concurrent use.
type Diverter struct {
	mu    sync.Mutex
	link  LinkMeter
	peers map[string]statedPeer
	state Diversion
	// roomAt is when enough peers last stated room; zero once they state none.
	roomAt time.Time

	// The delay is too high since delayedSince, the load is low since calmSince, and too few
	// peers have room since fullSince.
	delayedSince, calmSince, fullSince onset
	// paused is set if connections were refused since the last step.
	paused bool
}

type statedPeer struct {
	PeerState
	at time.Time
}

// NewDiverter returns a diverter for a link with the given bandwidth in one direction.
func NewDiverter(bytesPerSecond float64) *Diverter {
	return &Diverter{link: LinkMeter{BytesPerSecond: bytesPerSecond, TimeConstant: utilizationTime}, peers: make(map[string]statedPeer)}
}

// RecordPeer records what a peer states. Peers are told apart by name.
func (d *Diverter) RecordPeer(now time.Time, peer string, state PeerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetPeers(now)
	if _, known := d.peers[peer]; known || len(d.peers) < maxPeerDelays {
		d.peers[peer] = statedPeer{PeerState: state, at: now}
	}
}

// RecordPause records that the entry refuses connections. It is called at each decision of the
// AcceptLimiter with that result.
func (d *Diverter) RecordPause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = true
}

// Status returns the state after the last step.
func (d *Diverter) Status() Diversion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// Step decides from the traffic so far and the status of the controller, and returns the state
// and whether Diverting has changed. It is called every DivertInterval.
func (d *Diverter) Step(now time.Time, total Traffic, status Status) (Diversion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Utilization = d.link.Update(now, total)
	d.summarizePeers(now, status.Target)
	utilization := d.state.Utilization.Highest()
	delayed := status.Known && status.Delay > status.Target
	late := d.delayedSince.lasted(now, delayed, delayOnset)
	calm := d.calmSince.lasted(now, !delayed && !d.paused && utilization < lowUtilization, calmTime)
	full := d.fullSince.lasted(now, d.state.Peers > 0 && d.state.Room < minRoomLeft, roomOnset)
	changed := false
	if d.state.Diverting {
		changed = d.endIfNeeded(now, calm, full)
	} else {
		changed = d.beginIfNeeded(now, utilization >= highUtilization, late)
	}
	d.paused = false
	return d.state, changed
}

// Stop ends a diversion because nothing at the site asks for it any more, and returns the state
// and whether Diverting has changed. While Step is not called, peers do not count as having
// room.
func (d *Diverter) Stop(now time.Time) (Diversion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := d.state.Diverting
	if ended {
		d.state.Cause, d.state.Since = NotAsked, now
	}
	// What was measured and stated so far says nothing about the time after the next Step.
	d.state = Diversion{Cause: d.state.Cause, Since: d.state.Since}
	d.link = LinkMeter{BytesPerSecond: d.link.BytesPerSecond, TimeConstant: d.link.TimeConstant}
	clear(d.peers)
	d.delayedSince, d.calmSince, d.fullSince = onset{}, onset{}, onset{}
	d.roomAt, d.paused = time.Time{}, false
	return d.state, ended
}

// beginIfNeeded begins a diversion if there is a cause and the peers allow it.
func (d *Diverter) beginIfNeeded(now time.Time, busy, late bool) bool {
	var cause Cause
	switch {
	case late:
		cause = HighDelay
	case d.paused:
		cause = RefusedConnections
	case busy:
		cause = HighUtilization
	default:
		return false
	}
	switch {
	case d.hadNoRoom() && now.Sub(d.state.Since) < minReadyTime:
	case !d.state.PeersHaveRoom || d.state.PeersDiverting >= maxDiverting:
	default:
		d.state.Diverting, d.state.Cause, d.state.Since = true, cause, now
		return true
	}
	return false
}

// hadNoRoom reports whether the last diversion ended although its load was still there.
func (d *Diverter) hadNoRoom() bool {
	return d.state.Cause == NoRoom || d.state.Cause == TooManyDivert
}

// endIfNeeded ends a diversion if the load is gone, the peers have no room, or too many entries
// divert. Silence of the peers ends none.
func (d *Diverter) endIfNeeded(now time.Time, calm, full bool) bool {
	cause := Recovered
	switch {
	case full:
		cause = NoRoom
	case d.state.PeersDiverting > maxDivertingLeft:
		cause = TooManyDivert
	case !calm:
		return false
	}
	d.state.Diverting, d.state.Cause, d.state.Since = false, cause, now
	return true
}

// summarizePeers computes the shares of the state from the recent statements of the peers. target
// is the delay from which a peer has no room.
func (d *Diverter) summarizePeers(now time.Time, target time.Duration) {
	d.forgetPeers(now)
	free, diverting := 0, 0
	// The shares that peers state are whole percents, so that their sum does not depend on
	// the order of the map.
	percents, stating := 0, 0
	for _, p := range d.peers {
		if p.hasRoom(target) {
			free++
		}
		if p.Diverting {
			diverting++
		}
		if p.UtilizationKnown {
			stating++
			percents += int(float64(p.PeersDiverting*100) + 0.5)
		}
	}
	d.state.Peers = len(d.peers)
	d.state.Room, d.state.PeersDiverting, d.state.OwnPeersDiverting = 1, 0, 0
	if len(d.peers) == 0 {
		d.state.PeersHaveRoom = now.Sub(d.roomAt) < roomMemory
		return
	}
	d.state.Room = float64(free) / float64(len(d.peers))
	switch {
	case d.state.Room < minRoom:
		d.roomAt = time.Time{}
	case len(d.peers) >= minAnsweringPeers:
		d.roomAt = now
	}
	d.state.PeersHaveRoom = now.Sub(d.roomAt) < roomMemory
	d.state.OwnPeersDiverting = float64(diverting) / float64(len(d.peers))
	d.state.PeersDiverting = (d.state.OwnPeersDiverting + float64(percents)/100) / float64(1+stating)
}

// hasRoom reports whether a peer can take more connections, as far as it states. One whose
// utilization is not low would soon divert itself.
func (p statedPeer) hasRoom(target time.Duration) bool {
	return !p.Diverting && !(p.DelayKnown && p.Delay >= target) && !(p.UtilizationKnown && p.Utilization >= lowUtilization)
}

// forgetPeers removes the statements that are too old.
func (d *Diverter) forgetPeers(now time.Time) {
	for name, p := range d.peers {
		if now.Sub(p.at) > peerMemory {
			delete(d.peers, name)
		}
	}
}

// onset is when a condition became true; zero while it is false.
type onset time.Time

// lasted reports whether the condition has been true for the given time.
func (o *onset) lasted(now time.Time, condition bool, during time.Duration) bool {
	if !condition {
		*o = onset{}
		return false
	}
	if time.Time(*o).IsZero() {
		*o = onset(now)
	}
	return now.Sub(time.Time(*o)) >= during
}
