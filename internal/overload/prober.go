package overload

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// ProbeInterval is the time between two probes, to all peers together: 20 a second are
	// enough for a median of 0.4 s and cost under 4 KB/s with their answers.
	ProbeInterval = 50 * time.Millisecond
	// probedPeers is the number of peers that are probed in turn.
	probedPeers = 8
	// minAnsweringPeers is the number of answering peers below which one slow peer could
	// look like a queue of this entry.
	minAnsweringPeers = 3
	// lossTimeout is how long an echo may take before it counts as lost.
	lossTimeout = time.Second
	// probeTimeout is how long an echo is still accepted. It exceeds the queues that were
	// seen at overloaded links.
	probeTimeout = 5 * time.Second
	// maxLosses is the number of unanswered probes in a row at which a peer is replaced.
	maxLosses = 3
	// minimumMemory is the time for which a minimum counts at least; at most twice that.
	minimumMemory = 30 * time.Second
	// learningTime is how long the minimum of a peer is limited to what others have
	// measured, because it may include a queue that was there from the start.
	learningTime = 10 * time.Second
)

// Sample is the queueing delay that one probe has shown.
type Sample struct {
	Delay time.Duration
	// Lost is set if no echo has come within lossTimeout. Delay is then lossTimeout.
	Lost bool
	// Overdue is set if the echo has come after it was reported as lost.
	Overdue bool
}

// Probe is a probe to send.
type Probe struct {
	ID   uint64
	Peer netip.AddrPort
}

// Prober chooses the peers to probe and evaluates their echoes. It is safe for concurrent
// use.
type Prober struct {
	// Random draws peers and identifiers.
	Random *rand.Rand

	mu          sync.Mutex
	peers       []*probedPeer
	next        int
	outstanding []outstandingProbe
}

// probedPeer is a peer that is probed.
type probedPeer struct {
	address netip.AddrPort
	since   time.Time
	// answered is set once an echo has come. An older build never answers.
	answered bool
	losses   int
	minimum  recentMinimum
	// statedMinimum is the minimum that the peer has stated; 0 if it has stated none.
	statedMinimum time.Duration
}

type outstandingProbe struct {
	id   uint64
	peer *probedPeer
	sent time.Time
	// overdue is set once lossTimeout has passed, and reported if the probe was then
	// reported as lost.
	overdue, reported bool
}

// Next returns the next probe to send, or false if there are no peers.
func (p *Prober) Next(now time.Time, peers []netip.AddrPort) (Probe, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.choose(now, peers)
	if len(p.peers) == 0 {
		return Probe{}, false
	}
	p.next = (p.next + 1) % len(p.peers)
	probe := outstandingProbe{id: p.Random.Uint64(), peer: p.peers[p.next], sent: now}
	p.outstanding = append(p.outstanding, probe)
	return Probe{ID: probe.id, Peer: probe.peer.address}, true
}

// choose removes the peers that are gone or silent, and fills the set with random ones.
func (p *Prober) choose(now time.Time, peers []netip.AddrPort) {
	p.peers = slices.DeleteFunc(p.peers, func(peer *probedPeer) bool {
		return peer.losses >= maxLosses || !slices.Contains(peers, peer.address)
	})
	if len(p.peers) >= min(probedPeers, len(peers)) {
		return
	}
	for _, i := range p.Random.Perm(len(peers)) {
		if len(p.peers) >= probedPeers {
			return
		}
		probed := func(peer *probedPeer) bool { return peer.address == peers[i] }
		if !slices.ContainsFunc(p.peers, probed) {
			p.peers = append(p.peers, &probedPeer{address: peers[i], since: now})
		}
	}
}

// Echo evaluates an echo of the probe with the given id. statedMinimum is the median of the
// peer's own minimum round-trip times, or 0 if it states none. Echo returns false if the echo
// says nothing about this entry.
func (p *Prober) Echo(now time.Time, id uint64, from netip.AddrPort, statedMinimum time.Duration) (Sample, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.outstanding, func(o outstandingProbe) bool { return o.id == id && o.peer.address == from })
	if i < 0 {
		return Sample{}, false
	}
	o := p.outstanding[i]
	p.outstanding = slices.Delete(p.outstanding, i, i+1)
	roundTrip := now.Sub(o.sent)
	o.peer.answered = true
	o.peer.losses = 0
	o.peer.statedMinimum = statedMinimum
	o.peer.minimum.add(now, roundTrip)
	return Sample{Delay: max(0, roundTrip-p.base(now, o.peer)), Overdue: o.reported}, p.hasAnswers()
}

// Expire returns a sample for each echo of a peer that has answered before and is now
// overdue.
func (p *Prober) Expire(now time.Time) []Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	var samples []Sample
	for i := range p.outstanding {
		o := &p.outstanding[i]
		if !o.overdue && now.Sub(o.sent) >= lossTimeout {
			o.overdue = true
			if o.peer.answered && p.hasAnswers() {
				o.reported = true
				samples = append(samples, Sample{Delay: lossTimeout, Lost: true})
			}
		}
		if now.Sub(o.sent) >= probeTimeout {
			o.peer.losses++
		}
	}
	p.outstanding = slices.DeleteFunc(p.outstanding, func(o outstandingProbe) bool { return now.Sub(o.sent) >= probeTimeout })
	return samples
}

// Minimum returns the median of the recent minima of all peers, or 0 if there is none.
func (p *Prober) Minimum() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.medianMinimum(func(peer *probedPeer) time.Duration { return peer.minimum.value() })
}

// hasAnswers reports whether enough peers have answered.
func (p *Prober) hasAnswers() bool {
	count := 0
	for _, peer := range p.peers {
		if peer.answered {
			count++
		}
	}
	return count >= minAnsweringPeers
}

// base returns the round-trip time to a peer without queues. While the peer is new it is at
// most the median of what peers have measured, unless they state nothing.
func (p *Prober) base(now time.Time, peer *probedPeer) time.Duration {
	base := peer.minimum.value()
	if now.Sub(peer.since) >= learningTime {
		return base
	}
	stated := p.medianMinimum(func(peer *probedPeer) time.Duration { return peer.statedMinimum })
	if stated > 0 {
		base = min(base, stated)
	}
	return base
}

// medianMinimum returns the median of what value returns for the peers, except zeros; 0 if
// there is nothing else.
func (p *Prober) medianMinimum(value func(*probedPeer) time.Duration) time.Duration {
	var values []time.Duration
	for _, peer := range p.peers {
		if v := value(peer); v > 0 {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// recentMinimum is the minimum of the last two periods of minimumMemory. Its zero value is
// ready to use.
type recentMinimum struct {
	current, previous time.Duration
	since             time.Time
}

// add adds a round-trip time.
func (m *recentMinimum) add(now time.Time, roundTrip time.Duration) {
	roundTrip = max(1, roundTrip)
	if now.Sub(m.since) >= minimumMemory {
		m.previous, m.current, m.since = m.current, 0, now
	}
	if m.current == 0 || roundTrip < m.current {
		m.current = roundTrip
	}
}

// value returns the minimum, or 0 before the first round trip.
func (m *recentMinimum) value() time.Duration {
	if m.current > 0 && m.previous > 0 {
		return min(m.current, m.previous)
	}
	return max(m.current, m.previous)
}
