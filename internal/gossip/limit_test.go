package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	limitedServer = "s1"
	// A server may get limitExcess times its limit in limitWindow, and limitSlack more,
	// from contactTime on.
	limitWindow     = 4 * time.Second
	limitExcess     = 1.5
	limitSlack      = 5
	limitContact    = 3 * time.Second
	limitRun        = 20 * time.Second
	limitStep       = 20 * time.Millisecond
	limitLoss       = 0.1
	minUsedOfLimits = 0.4
)

// limitSite plays entries that all send as much as they may to one server that names a
// limit.
type limitSite struct {
	random  *rand.Rand
	entries []*Gossiper
	// placements are the requests that the server answers in the next step.
	placements []*place.Placement
	stated     []limitMessage
	arrivals   []time.Time
	limit      place.Limit
}

// newLimitSite returns a site of count entries that know each other, whose random choices
// depend on seed.
func newLimitSite(count int, seed uint64, limit place.Limit) *limitSite {
	s := &limitSite{random: rand.New(rand.NewPCG(seed, 0)), limit: limit}
	for range count {
		s.addEntry()
	}
	s.listEntries()
	return s
}

// addEntry starts an entry that the others don't know yet.
func (s *limitSite) addEntry() {
	g := &Gossiper{Address: fmt.Sprintf("10.0.%d.%d:7", len(s.entries)/200, 1+len(s.entries)%200), Fleet: &place.Fleet{}}
	g.Fleet.LimitShare = g.LimitShare
	g.Fleet.LimitStated = func(server string, limit place.Limit, age time.Duration) {
		s.stated = append(s.stated, limitMessage{server: server, limit: limit, age: age})
	}
	g.Fleet.Update([]instances.Instance{{ID: limitedServer, Upstream: "pool", Address: "a", Slots: 1000}}, time.Now())
	s.entries = append(s.entries, g)
}

// listEntries tells every entry of all others.
func (s *limitSite) listEntries() {
	var addresses []netip.AddrPort
	for _, g := range s.entries {
		addresses = append(addresses, netip.MustParseAddrPort(g.Address))
	}
	for i, g := range s.entries {
		g.members.update(slices.Delete(slices.Clone(addresses), i, i+1), time.Now())
	}
}

// step answers the requests of the last step, passes statements on, and lets the first
// senders entries send as much as they may.
func (s *limitSite) step(senders int) {
	now := time.Now()
	for _, p := range s.placements {
		p.RecordLimit(s.limit, now)
		p.Done(place.Served{}, now)
	}
	s.placements = nil
	stated := s.stated
	s.stated = nil
	for _, m := range stated {
		for _, g := range s.entries {
			if s.random.Float64() >= limitLoss {
				g.Fleet.RecordRemoteLimit(m.server, m.limit, now.Add(-m.age), now)
			}
		}
	}
	for _, g := range s.entries[:senders] {
		chosen, ok := g.Fleet.Pick(place.Query{Now: now, Upstream: "pool"}).(place.Chosen)
		if ok {
			s.placements = append(s.placements, chosen.Placement)
			s.arrivals = append(s.arrivals, now)
		}
	}
	time.Sleep(limitStep)
}

// run plays the site for a time.
func (s *limitSite) run(duration time.Duration, senders int) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.step(senders)
	}
}

// most returns the highest number of arrivals in any limitWindow after from.
func (s *limitSite) most(from time.Time) int {
	most, first := 0, 0
	for i, at := range s.arrivals {
		for s.arrivals[first].Before(from) && first < i || at.Sub(s.arrivals[first]) > limitWindow {
			first++
		}
		if !s.arrivals[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// expectWithinLimit checks the arrivals after from.
func (s *limitSite) expectWithinLimit(t *testing.T, from time.Time) {
	t.Helper()
	allowed := int(limitExcess*limitWindow.Seconds()*s.limit.PerSecond) + limitSlack
	if most := s.most(from); most > allowed {
		t.Errorf("%d requests within %s, allowed %d", most, limitWindow, allowed)
	}
}

// TestEntriesTogetherKeepToTheLimitOfAServer guards against entries each of which sends a
// server as much as its limit allows to all of them.
func TestEntriesTogetherKeepToTheLimitOfAServer(t *testing.T) {
	for _, count := range []int{1, 3, 7, 30, 90} {
		for _, perSecond := range []float64{0, 0.3, 1.9, 3.6, 20, 50} {
			t.Run(fmt.Sprintf("%d entries, %g a second", count, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newLimitSite(count, 1, place.Limit{Named: true, PerSecond: perSecond})
					start := time.Now()
					s.run(limitRun, count)
					s.expectWithinLimit(t, start.Add(limitContact))
					used := float64(len(s.arrivals)) / limitRun.Seconds()
					if used < minUsedOfLimits*perSecond {
						t.Errorf("%g requests a second were sent, want at least %g", used, minUsedOfLimits*perSecond)
					}
				})
			})
		}
	}
}

// TestHugeLimitStopsNoRequests guards against a limit beyond every integer.
func TestHugeLimitStopsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSite(7, 1, place.Limit{Named: true, PerSecond: 1e300})
		s.run(2*learningTime, 7)
		before := len(s.arrivals)
		s.run(time.Second, 7)
		if got := len(s.arrivals) - before; got < 100 {
			t.Errorf("%d requests in a second, want at least 100", got)
		}
	})
}

// TestLimitHoldsWhileEntriesComeAndGo guards against entries that start, or whose control
// instance has just started and lists none, and take a larger share than is theirs.
func TestLimitHoldsWhileEntriesComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSite(7, 1, place.Limit{Named: true, PerSecond: 3.6})
		start := time.Now()
		s.run(limitRun, 7)
		for range 7 {
			s.addEntry()
		}
		s.run(time.Second, 14)
		s.listEntries()
		s.run(limitRun, 14)
		for _, g := range s.entries {
			g.members.update(nil, time.Now())
		}
		s.run(limitRun, 14)
		s.expectWithinLimit(t, start.Add(limitContact))
	})
}

// TestChangedLimitReachesAllEntries guards against entries that keep to an old limit, or
// to one that has ended.
func TestChangedLimitReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitSite(7, 1, place.Limit{Named: true, PerSecond: 20})
		s.run(limitRun, 7)
		s.limit.PerSecond = 2
		changed := time.Now()
		s.run(limitRun, 7)
		s.expectWithinLimit(t, changed.Add(limitContact))
		s.limit = place.Limit{}
		s.run(limitContact, 7)
		before := len(s.arrivals)
		s.run(time.Second, 7)
		if got := len(s.arrivals) - before; got < 100 {
			t.Errorf("%d requests in a second after the limit has ended", got)
		}
	})
}

func TestLimitMessageRoundTrip(t *testing.T) {
	for _, want := range []limitMessage{
		{server: "i-7f", limit: place.Limit{Named: true, PerSecond: 3.6}, age: 70 * time.Millisecond},
		{server: "i-7f", age: time.Second},
	} {
		got, err := decodeLimit(want.append(nil))
		if err != nil || got != want {
			t.Errorf("decoded %+v with error %v, want %+v", got, err, want)
		}
	}
	negative := limitMessage{server: "i", limit: place.Limit{Named: true, PerSecond: -1}}
	for _, data := range [][]byte{{formatLimit}, make([]byte, minLimitLength+1), negative.append(nil)} {
		_, err := decodeLimit(data)
		if err == nil {
			t.Errorf("the datagram %v was accepted", data)
		}
	}
}
