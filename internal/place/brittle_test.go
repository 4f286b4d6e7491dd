package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

const (
	brittleEntries = 7
	brittleSlots   = 6
	brittleWork    = 30 * time.Millisecond
	brittleStep    = 2 * time.Millisecond
	brittleTime    = 30 * time.Second
	// brittleGrace is the time in which entries learn that servers are brittle.
	brittleGrace     = 3 * time.Second
	brittleLimit     = 3
	brittlePerSecond = 500
)

// brittleRun is a request at a server of the simulation.
type brittleRun struct {
	placement *Placement
	server    int
	ends      time.Time
}

// brittleSite plays entries in front of brittle servers with room for brittleSlots requests
// each. Reported loads are as old as the last response.
type brittleSite struct {
	start, now time.Time
	ids        []string
	fleets     []*Fleet
	// running counts the requests at each server, and rejections holds when it turned some
	// away since it was last overrun.
	running    []int
	rejections [][]time.Time
	runs       []brittleRun
	// overrun counts how often a server turned away more than brittleLimit requests in a
	// second, once entries have had brittleGrace to learn that servers are brittle.
	overrun, served int
}

// newBrittleSite returns a site of three servers and brittleEntries entries.
func newBrittleSite() *brittleSite {
	start := time.Unix(1000, 0)
	s := &brittleSite{start: start, now: start, ids: []string{"i-0", "i-1", "i-2"}}
	s.running = make([]int, len(s.ids))
	s.rejections = make([][]time.Time, len(s.ids))
	var list []instances.Instance
	for _, id := range s.ids {
		list = append(list, instances.Instance{ID: id, Upstream: "app", Slots: brittleSlots})
	}
	for entry := range brittleEntries {
		f := &Fleet{LimitShare: func(server string, maxEntries int) float64 { return s.share(entry, server, maxEntries) }}
		f.Update(list, s.now)
		s.fleets = append(s.fleets, f)
	}
	return s
}

// share returns the part of a server that an entry may use.
func (s *brittleSite) share(entry int, server string, maxEntries int) float64 {
	switch {
	case brittleEntries <= maxEntries:
		return 1.0 / brittleEntries
	case (entry+slices.Index(s.ids, server))%brittleEntries < maxEntries:
		return 1 / float64(maxEntries)
	default:
		return 0
	}
}

// finish ends the requests that have run for brittleWork.
func (s *brittleSite) finish() {
	var still []brittleRun
	for _, r := range s.runs {
		if s.now.Before(r.ends) {
			still = append(still, r)
			continue
		}
		s.running[r.server]--
		s.served++
		s.respond(r.placement, r.server, Served{})
	}
	s.runs = still
}

// respond ends a request with a response that states the server's load and that it is
// brittle.
func (s *brittleSite) respond(p *Placement, server int, outcome Outcome) {
	p.RecordBrittle(Brittle{Named: true, PerSecond: brittleLimit}, s.now)
	p.SetLoad(Load{Running: s.running[server], Slots: brittleSlots}, s.now)
	p.Done(outcome, s.now)
}

// send sends a request from an entry, if it finds a server for it.
func (s *brittleSite) send(entry int) {
	chosen, ok := s.fleets[entry].Pick(Query{Now: s.now, Upstream: "app"}).(Chosen)
	if !ok {
		return
	}
	server := slices.Index(s.ids, chosen.Placement.ID)
	if s.running[server] < brittleSlots {
		s.running[server]++
		s.runs = append(s.runs, brittleRun{placement: chosen.Placement, server: server, ends: s.now.Add(brittleWork)})
		return
	}
	s.respond(chosen.Placement, server, Declined{})
	s.reject(server)
}

// reject counts a request that a server has turned away.
func (s *brittleSite) reject(server int) {
	s.rejections[server] = append(s.rejections[server], s.now)
	recent := 0
	for _, at := range s.rejections[server] {
		if s.now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent > brittleLimit && s.now.Sub(s.start) > brittleGrace {
		s.overrun++
		s.rejections[server] = nil
	}
}

// TestEntriesTogetherDoNotOverrunBrittleServers plays entries that send more requests than
// three brittle servers have room for, and checks that these turn away few in any second
// and that most of their room is used.
func TestEntriesTogetherDoNotOverrunBrittleServers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	s := newBrittleSite()
	for ; s.now.Sub(s.start) < brittleTime; s.now = s.now.Add(brittleStep) {
		s.finish()
		if random.Float64() < brittlePerSecond*brittleStep.Seconds() {
			s.send(random.IntN(brittleEntries))
		}
	}
	if s.overrun > 2 {
		t.Errorf("servers turned away more than %d requests in a second %d times", brittleLimit, s.overrun)
	}
	room := float64(len(s.ids)*brittleSlots) * brittleTime.Seconds() / brittleWork.Seconds()
	offered := float64(brittlePerSecond) * brittleTime.Seconds()
	if least := 0.5 * min(room, offered); float64(s.served) < least {
		t.Errorf("%d requests were served, want %.0f", s.served, least)
	}
	t.Logf("served %d of %.0f offered and room for %.0f, overrun %d times", s.served, offered, room, s.overrun)
}

// TestServersAreNoLongerBrittleOnceTheySayNothing checks that a response to a later request
// ends the state, and one to an earlier request does not.
func TestServersAreNoLongerBrittleOnceTheySayNothing(t *testing.T) {
	f := &Fleet{}
	now := time.Unix(1000, 0)
	f.Update([]instances.Instance{{ID: "i-0", Upstream: "app", Slots: 8}}, now)
	pick := func() *Placement { return f.Pick(Query{Now: now, Upstream: "app"}).(Chosen).Placement }
	earlier, stating := pick(), pick()
	now = now.Add(time.Second)
	stating.RecordBrittle(Brittle{Named: true, PerSecond: 3}, now)
	earlier.RecordBrittle(Brittle{}, now.Add(time.Second))
	if !f.IsBrittle("app", now.Add(time.Second)) {
		t.Error("a response to an earlier request has ended the state")
	}
	now = now.Add(time.Second)
	pick().RecordBrittle(Brittle{}, now)
	if f.IsBrittle("app", now) {
		t.Error("the servers are still brittle")
	}
}
