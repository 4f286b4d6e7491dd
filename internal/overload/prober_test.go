package overload

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

const proberRoundTrip = 2 * time.Millisecond

// proberSite plays the echoes of one entry. The round-trip time to a peer is a function of
// time; a negative one is a lost echo.
type proberSite struct {
	prober     *Prober
	controller *Controller
	peers      []netip.AddrPort
	now        time.Time
	probes     int
	// told is the minimum that peers state.
	told time.Duration
	// arrivals are the echoes that are on their way.
	arrivals []proberArrival
}

type proberArrival struct {
	at    time.Time
	probe Probe
}

func newProberSite(peers int) *proberSite {
	s := &proberSite{
		prober:     &Prober{Random: rand.New(rand.NewPCG(1, 2))},
		controller: &Controller{Random: rand.New(rand.NewPCG(3, 4))},
		now:        simStart,
		told:       proberRoundTrip,
	}
	for i := range peers {
		s.peers = append(s.peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(1 + i)}), 7))
	}
	return s
}

// run plays d with the round-trip time that roundTrip returns.
func (s *proberSite) run(d time.Duration, roundTrip func(peer netip.AddrPort) time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(ProbeInterval) {
		for _, sample := range s.prober.Expire(s.now) {
			s.controller.RecordEcho(s.now, sample)
		}
		s.deliver()
		probe, ok := s.prober.Next(s.now, s.peers)
		if !ok {
			continue
		}
		s.probes++
		if t := roundTrip(probe.Peer); t >= 0 {
			s.arrivals = append(s.arrivals, proberArrival{at: s.now.Add(t), probe: probe})
		}
		s.controller.Status(s.now)
	}
}

// deliver delivers the echoes that have arrived.
func (s *proberSite) deliver() {
	var left []proberArrival
	for _, a := range s.arrivals {
		if a.at.After(s.now) {
			left = append(left, a)
			continue
		}
		sample, ok := s.prober.Echo(a.at, a.probe.ID, a.probe.Peer, s.told)
		if ok {
			s.controller.RecordEcho(s.now, sample)
		}
	}
	s.arrivals = left
}

func (s *proberSite) status() Status {
	return s.controller.Status(s.now)
}

func usualRoundTrip(netip.AddrPort) time.Duration {
	return proberRoundTrip
}

// TestDelayIsTheExcessOverTheMinimum guards against a delay that misses a queue, or that
// takes the distance to other regions for one.
func TestDelayIsTheExcessOverTheMinimum(t *testing.T) {
	s := newProberSite(30)
	far := func(peer netip.AddrPort) time.Duration {
		if peer.Addr().As4()[3]%2 == 0 {
			return 80 * time.Millisecond
		}
		return proberRoundTrip
	}
	s.run(12*time.Second, far)
	if got := s.status(); !got.Known || got.Delay > 5*time.Millisecond || got.Level != 0 {
		t.Errorf("without a queue: got %+v, want no delay", got)
	}
	const queue = 300 * time.Millisecond
	s.run(time.Second, func(peer netip.AddrPort) time.Duration { return far(peer) + queue })
	if got := s.status(); got.Delay < queue-ProbeInterval || got.Delay > queue+ProbeInterval || got.Level == 0 {
		t.Errorf("with a queue of %s: got %+v", queue, got)
	}
}

// TestProbesAreConstant guards against a number of datagrams that grows with the entries.
func TestProbesAreConstant(t *testing.T) {
	for _, peers := range []int{4, 24, 85, 250} {
		s := newProberSite(peers)
		s.run(10*time.Second, usualRoundTrip)
		if want := int(10 * time.Second / ProbeInterval); s.probes != want {
			t.Errorf("%d peers: %d probes in 10 s, want %d", peers, s.probes, want)
		}
	}
}

// TestSlowPeersAreNoQueue guards against an entry that sheds because some peers are slow or
// do not answer any more.
func TestSlowPeersAreNoQueue(t *testing.T) {
	s := newProberSite(8)
	s.run(5*time.Second, usualRoundTrip)
	s.run(10*time.Second, func(peer netip.AddrPort) time.Duration {
		switch peer.Addr().As4()[3] {
		case 1, 2:
			return time.Second
		case 3:
			return -1
		}
		return proberRoundTrip
	})
	if got := s.status(); got.Delay > 5*time.Millisecond || got.Level != 0 {
		t.Errorf("two slow peers and one silent: got %+v, want no delay", got)
	}
}

// TestLostEchoesAreLate guards against a link that loses most datagrams and looks idle by
// those that come through.
func TestLostEchoesAreLate(t *testing.T) {
	s := newProberSite(24)
	s.run(5*time.Second, usualRoundTrip)
	i := 0
	s.run(3*time.Second, func(netip.AddrPort) time.Duration {
		i++
		if i%4 == 0 {
			return proberRoundTrip
		}
		return -1
	})
	if got := s.status(); got.Delay < lossTimeout || got.Level == 0 {
		t.Errorf("three of four echoes are lost: got %+v, want a delay of %s", got, lossTimeout)
	}
}

// TestLongQueueIsMeasured guards against a queue longer than the time after which an echo
// counts as lost, which would look like a partition.
func TestLongQueueIsMeasured(t *testing.T) {
	s := newProberSite(24)
	s.run(5*time.Second, usualRoundTrip)
	s.run(8*time.Second, func(netip.AddrPort) time.Duration { return 2500 * time.Millisecond })
	if got := s.status(); !got.Known || got.Delay < lossTimeout || got.Level == 0 {
		t.Errorf("a queue of 2.5 s: got %+v, want a delay of at least %s", got, lossTimeout)
	}
}

// TestSilenceIsNoQueue guards against an entry that sheds everything because it is partitioned
// from all others, or because all others are of a build that does not answer.
func TestSilenceIsNoQueue(t *testing.T) {
	silent := func(netip.AddrPort) time.Duration { return -1 }
	s := newProberSite(24)
	s.run(20*time.Second, silent)
	if got := s.status(); got.Known || got.Level != 0 {
		t.Errorf("no peer ever answers: got %+v, want nothing known", got)
	}
	s = newProberSite(24)
	s.run(5*time.Second, usualRoundTrip)
	s.run(9*time.Second, silent)
	if got := s.status(); got.Known || got.Level != 0 {
		t.Errorf("no peer answers any more: got %+v, want nothing known", got)
	}
}

// TestOldPeersAreReplaced guards against a set of probed peers that stays useless because
// they are of a build that does not answer.
func TestOldPeersAreReplaced(t *testing.T) {
	s := newProberSite(40)
	half := func(delay time.Duration) func(netip.AddrPort) time.Duration {
		return func(peer netip.AddrPort) time.Duration {
			if peer.Addr().As4()[3]%2 == 0 {
				return -1
			}
			return proberRoundTrip + delay
		}
	}
	s.run(40*time.Second, half(0))
	if got := s.status(); !got.Known || got.Delay > 5*time.Millisecond {
		t.Errorf("half of the peers never answer: got %+v, want a delay near 0", got)
	}
	s.run(time.Second, half(200*time.Millisecond))
	if got := s.status(); got.Level == 0 {
		t.Errorf("half of the peers never answer, and there is a queue: got %+v, want shedding", got)
	}
}

// TestStartWithAQueue guards against an entry that restarts with everything queued and takes
// the queue for its path.
func TestStartWithAQueue(t *testing.T) {
	s := newProberSite(24)
	s.run(3*time.Second, func(netip.AddrPort) time.Duration { return 400 * time.Millisecond })
	if got := s.status(); got.Delay < 300*time.Millisecond || got.Level == 0 {
		t.Errorf("a queue of 0.4 s from the start: got %+v, want shedding", got)
	}
	s.run(10*time.Second, usualRoundTrip)
	if got := s.status(); got.Delay > 5*time.Millisecond || got.Level != 0 {
		t.Errorf("after the queue has drained: got %+v, want no shedding", got)
	}
}

// TestForeignEchoesAreIgnored guards against echoes that were not asked for, are repeated, or
// come from another sender.
func TestForeignEchoesAreIgnored(t *testing.T) {
	s := newProberSite(4)
	s.run(2*time.Second, usualRoundTrip)
	probe, _ := s.prober.Next(s.now, s.peers)
	other := s.peers[0]
	if probe.Peer == other {
		other = s.peers[1]
	}
	if _, ok := s.prober.Echo(s.now, probe.ID+1, probe.Peer, 0); ok {
		t.Error("an unknown identifier was accepted")
	}
	if _, ok := s.prober.Echo(s.now, probe.ID, other, 0); ok {
		t.Error("the echo of another sender was accepted")
	}
	if _, ok := s.prober.Echo(s.now, probe.ID, probe.Peer, 0); !ok {
		t.Error("the echo was not accepted")
	}
	if _, ok := s.prober.Echo(s.now, probe.ID, probe.Peer, 0); ok {
		t.Error("the echo was accepted twice")
	}
}
