package place

import (
	"math/rand/v2"
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

// TestEntriesTogetherDoNotOverrunBrittleServers plays entries that send more requests than
// three brittle servers have room for, and checks that these turn away few in any second
// and that most of their room is used. Reported loads are as old as the last response.
func TestEntriesTogetherDoNotOverrunBrittleServers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	start := time.Unix(1000, 0)
	now := start
	ids := []string{"i-0", "i-1", "i-2"}
	var fleets []*Fleet
	index := map[string]int{"i-0": 0, "i-1": 1, "i-2": 2}
	for entry := range brittleEntries {
		f := &Fleet{LimitShare: func(server string, maxEntries int) float64 {
			switch {
			case brittleEntries <= maxEntries:
				return 1.0 / brittleEntries
			case (entry+index[server])%brittleEntries < maxEntries:
				return 1 / float64(maxEntries)
			default:
				return 0
			}
		}}
		var list []instances.Instance
		for _, id := range ids {
			list = append(list, instances.Instance{ID: id, Upstream: "app", Slots: brittleSlots})
		}
		f.Update(list, now)
		fleets = append(fleets, f)
	}
	running := make([]int, len(ids))
	rejections := make([][]time.Time, len(ids))
	overrun, served := 0, 0
	var runs []brittleRun
	brittle := Brittle{Named: true, PerSecond: brittleLimit}
	for end := now.Add(brittleTime); now.Before(end); now = now.Add(brittleStep) {
		var still []brittleRun
		for _, r := range runs {
			if now.Before(r.ends) {
				still = append(still, r)
				continue
			}
			running[r.server]--
			served++
			r.placement.RecordBrittle(brittle, now)
			r.placement.SetLoad(Load{Running: running[r.server], Slots: brittleSlots}, now)
			r.placement.Done(Served{}, now)
		}
		runs = still
		if random.Float64() >= brittlePerSecond*brittleStep.Seconds() {
			continue
		}
		chosen, ok := fleets[random.IntN(brittleEntries)].Pick(Query{Now: now, Upstream: "app"}).(Chosen)
		if !ok {
			continue
		}
		server := index[chosen.Placement.ID]
		if running[server] < brittleSlots {
			running[server]++
			runs = append(runs, brittleRun{placement: chosen.Placement, server: server, ends: now.Add(brittleWork)})
			continue
		}
		chosen.Placement.RecordBrittle(brittle, now)
		chosen.Placement.SetLoad(Load{Running: running[server], Slots: brittleSlots}, now)
		chosen.Placement.Done(Declined{}, now)
		rejections[server] = append(rejections[server], now)
		recent := 0
		for _, at := range rejections[server] {
			if now.Sub(at) < time.Second {
				recent++
			}
		}
		if recent > brittleLimit && now.Sub(start) > brittleGrace {
			overrun++
			rejections[server] = nil
		}
	}
	if overrun > 2 {
		t.Errorf("servers turned away more than %d requests in a second %d times", brittleLimit, overrun)
	}
	room := float64(len(ids)*brittleSlots) * brittleTime.Seconds() / brittleWork.Seconds()
	offered := float64(brittlePerSecond) * brittleTime.Seconds()
	if least := 0.5 * min(room, offered); float64(served) < least {
		t.Errorf("%d requests were served, want %.0f", served, least)
	}
	t.Logf("served %d of %.0f offered and room for %.0f, turned away %d %d %d", served, offered, room, len(rejections[0]), len(rejections[1]), len(rejections[2]))
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
