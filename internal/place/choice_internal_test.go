package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

var internalStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// ownReports holds the last load that each server has stated to this entry.
type ownReports map[*server]ownReport

type ownReport struct {
	load Load
	at   time.Time
}

// formerCost is the cost of a server without estimates of its load.
func (r ownReports) formerCost(s *server, q Query, preferred bool) time.Duration {
	occupancy := r.formerOccupancy(s, q.Now)
	c := Candidate{OtherDomain: s.failureDomain != q.FailureDomain, FailureRate: s.failureRate, Running: occupancy, Slots: s.slots, Preferred: preferred}
	if q.Prompt == nil {
		return plainWeights.Cost(&c)
	}
	var cached int64
	for _, segment := range q.Prompt.Prefix {
		if _, found := s.prefixes.segments[segment.ID]; !found {
			break
		}
		cached += segment.Tokens
	}
	cached = min(cached, q.Prompt.Tokens)
	c.Backlog = max(0, s.prefillUntil.Sub(q.Now))
	c.Prefill = Speed{TokensPerMs: 140, PairsPerMs: 3.4e6}.Prefill(cached, q.Prompt.Tokens-cached)
	return engineWeights.Cost(&c)
}

func (r ownReports) formerOccupancy(s *server, now time.Time) int {
	if now.Sub(r[s].at) > 1500*time.Millisecond {
		return s.inFlight
	}
	return max(s.inFlight, r[s].load.Running+r[s].load.Waiting)
}

// formerPreferred returns the server with the highest rendezvous weight for the last segment.
func formerPreferred(f *Fleet, q Query) *server {
	if q.Prompt == nil {
		return nil
	}
	var preferred *server
	var highest uint64
	for _, s := range f.servers {
		if s.upstream != q.Upstream || s.leaving || s.isEjected(q.Now) {
			continue
		}
		weight := mixWeight(q.Prompt.Prefix[len(q.Prompt.Prefix)-1].ID, hashID(s.id))
		if preferred == nil || weight > highest {
			preferred, highest = s, weight
		}
	}
	return preferred
}

// formerChoice returns the server that was chosen without estimates; nil if all are full or
// none is eligible.
func (r ownReports) formerChoice(f *Fleet, q Query) *server {
	var cheapest *server
	var lowest time.Duration
	preferred := formerPreferred(f, q)
	for _, s := range f.servers {
		if s.upstream != q.Upstream || slices.Contains(q.Tried, s.id) || s.leaving || s.isEjected(q.Now) || q.Now.Before(s.heldOffUntil) {
			continue
		}
		if float64(r.formerOccupancy(s, q.Now)) >= 2.5*float64(s.slots) {
			continue
		}
		cost := r.formerCost(s, q, s == preferred)
		if cheapest == nil || cost < lowest || cost == lowest && s.id < cheapest.id {
			cheapest, lowest = s, cost
		}
	}
	return cheapest
}

// Where no server states a slowdown and the settings ask for no estimates, every choice must
// be that of the cost without them, whatever the entry has heard and learned.
func TestChoiceWithoutSlowdownIsTheFormerOne(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		var list []instances.Instance
		for i := range 2 + random.IntN(20) {
			list = append(list, instances.Instance{ID: fmt.Sprintf("e%d", i), Upstream: []string{"pool", "other"}[random.IntN(2)], Address: fmt.Sprintf("a%d", i), FailureDomain: string(rune('a' + i%3)), Slots: 1 + random.IntN(8), Leaving: random.IntN(9) == 0})
		}
		f := &Fleet{Seed: seed}
		f.SetUpstreams(map[string]UpstreamPolicy{"pool": {CacheTokens: 5000}})
		f.Update(list, internalStart)
		now := internalStart
		reports := make(ownReports)
		var placements []*Placement
		for range 300 {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			q := Query{Now: now, Upstream: "pool", FailureDomain: "a"}
			if random.IntN(4) > 0 {
				segment := uint64(random.IntN(5))
				q.Prompt = &Prompt{Tokens: int64(1000 + random.IntN(30_000)), Output: 50, Prefix: []PrefixSegment{{ID: segment, Tokens: 700}, {ID: 100 + segment, Tokens: 4000}}}
			}
			want := reports.formerChoice(f, q)
			chosen, _ := f.Pick(q).(Chosen)
			if want == nil {
				continue
			}
			if chosen.Placement == nil || chosen.Placement.server != want {
				t.Fatalf("seed %d: got %+v, want %s", seed, chosen.Placement, want.id)
			}
			if q.Prompt != nil {
				cached := chosen.Placement.CachedTokens
				usual := Speed{TokensPerMs: 140, PairsPerMs: 3.4e6}.Prefill(cached, q.Prompt.Tokens-cached)
				if chosen.Placement.PrefillTime != usual {
					t.Fatalf("seed %d: %s were announced for the prompt, want %s", seed, chosen.Placement.PrefillTime, usual)
				}
			}
			placements = append(placements, chosen.Placement)
			reports.changeState(f, random, placements, now)
		}
		f.RecordRemoteLoad(LoadReport{Server: "e0", Load: Load{Running: 3, Slots: 8}}, now)
		if len(f.FreshLoads(8, now)) != 0 {
			t.Errorf("seed %d: the entry tells others of loads", seed)
		}
	}
}

// changeState applies a random event to a random placement.
func (r ownReports) changeState(f *Fleet, random *rand.Rand, placements []*Placement, now time.Time) {
	p := placements[random.IntN(len(placements))]
	switch random.IntN(7) {
	case 0:
		load := Load{Running: random.IntN(9), Waiting: random.IntN(3), Slots: 8}
		p.SetLoad(load, now)
		r[p.server] = ownReport{load: load, at: now}
	case 1:
		p.RecordFirstEvent(now)
	case 2:
		f.RecordRemotePrompt(p.ID, time.Duration(random.IntN(50))*time.Millisecond, []PrefixSegment{{ID: uint64(random.IntN(5))}}, now)
	case 3:
		if placements[0].server.inFlight > 0 {
			placements[0].Done([]Outcome{Served{}, Failed{}, Declined{}}[random.IntN(3)], now)
			copy(placements, placements[1:])
		}
	case 4:
		f.RecordRemoteLoad(LoadReport{Server: p.ID, Load: Load{Running: 3 + random.IntN(9), Slots: 8}}, now)
	case 5:
		p.HoldOff(now.Add(time.Duration(random.IntN(200)) * time.Millisecond))
	}
}

// engineFleet returns a fleet of engines that are chosen by estimates.
func engineFleet(count int) *Fleet {
	var list []instances.Instance
	for i := range count {
		list = append(list, instances.Instance{ID: fmt.Sprintf("i-%04d", i), Upstream: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), FailureDomain: string(rune('a' + i%3)), Slots: 32})
	}
	f := &Fleet{Adaptive: true, Seed: 3}
	f.Update(list, internalStart)
	return f
}

// One response must not decide what an engine's speed is believed to be, and no number of
// them may leave the bounds: a server that lies would draw or lose all requests.
func TestOneResponseChangesTheSpeedLittle(t *testing.T) {
	f := engineFleet(3)
	u := f.upstreamOf("pool")
	s := f.servers["i-0000"]
	for range 30 {
		u.recordPrefill(s, 100*time.Millisecond, 0, 100*time.Millisecond)
	}
	before := u.paceFactor(s)
	u.recordPrefill(s, time.Hour, 0, 100*time.Millisecond)
	if after := u.paceFactor(s); after < before || after > 1.3*before {
		t.Errorf("one late response changed the time for a prompt from %.2f to %.2f of the usual", before, after)
	}
	other := u.paceFactor(f.servers["i-0001"])
	if other > 1.1 {
		t.Errorf("the late response of one engine made others %.2f times as slow", other)
	}
	for range 1000 {
		u.recordPrefill(s, time.Hour, 0, 100*time.Millisecond)
	}
	if slowest := u.paceFactor(s); slowest > 8.01 {
		t.Errorf("an engine counts as %.2f times as slow as usual, want at most 8", slowest)
	}
	for range 1000 {
		u.recordPrefill(s, 0, 0, 100*time.Millisecond)
	}
	if fastest := u.paceFactor(s); fastest < 0.249 {
		t.Errorf("an engine counts as taking %.3f of the usual time, want at least a quarter", fastest)
	}
}

// A report must lose its weight as the requests that it counted end; otherwise all entries
// converge on the server that last stated a low load.
func TestReportLosesWeightWithAge(t *testing.T) {
	f := engineFleet(10)
	u := f.upstreamOf("pool")
	for _, s := range u.servers[1:] {
		u.recordReport(s, Load{Running: 20, Slots: 32, Slowdown: 1}, internalStart)
	}
	idle := u.servers[0]
	u.recordReport(idle, Load{Slots: 32, Slowdown: 3}, internalStart)
	fresh := u.estimate(idle, internalStart)
	if fresh.requests > 0.5 || fresh.excess < 1 {
		t.Errorf("%+v, want no requests and the slowdown that was just reported", fresh)
	}
	later := internalStart.Add(defaultHoldTime)
	for _, s := range u.servers[1:] {
		u.recordReport(s, Load{Running: 20, Slots: 32, Slowdown: 1}, later)
	}
	old := u.estimate(idle, later)
	if old.requests < 10 || old.requests > 14 || old.excess > 0.01 {
		t.Errorf("%+v after the time that requests are held, want about 0.63 of the mean and no slowdown", old)
	}
}

// Requests that a report already counts must not count twice, and those that end must not
// stay in the estimate.
func TestOwnRequestsCountOnce(t *testing.T) {
	f := engineFleet(1)
	u := f.upstreamOf("pool")
	var placements []*Placement
	for range 5 {
		placements = append(placements, f.Pick(Query{Now: internalStart, Upstream: "pool"}).(Chosen).Placement)
	}
	placements[0].SetLoad(Load{Running: 7, Slots: 32, Slowdown: 1}, internalStart)
	if got := u.estimate(u.servers[0], internalStart).requests; got != 7 {
		t.Errorf("%.1f requests right after a report of 7", got)
	}
	for _, p := range placements {
		p.Done(Served{}, internalStart)
	}
	if got := u.estimate(u.servers[0], internalStart).requests; got != 2 {
		t.Errorf("%.1f requests after five of seven have ended", got)
	}
}

// BenchmarkPick measures one placement with many servers, of which each holds some prompts.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{60, 160} {
		for _, adaptive := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d,adaptive=%t", count, adaptive), func(b *testing.B) {
				benchmarkPick(b, count, adaptive)
			})
		}
	}
}

func benchmarkPick(b *testing.B, count int, adaptive bool) {
	f := engineFleet(count)
	f.Adaptive = adaptive
	random := rand.New(rand.NewPCG(1, 1))
	prompts := make([]*Prompt, 64)
	for i := range prompts {
		segment := uint64(random.IntN(1000))
		prompts[i] = &Prompt{Tokens: 20_000, Output: 100, Prefix: []PrefixSegment{{ID: segment % 8, Tokens: 4000}, {ID: 100 + segment, Tokens: 12_000}}}
	}
	now := internalStart
	for i := range 100 * count {
		now = now.Add(time.Millisecond)
		s := fmt.Sprintf("i-%04d", i%count)
		f.RecordRemotePrompt(s, time.Millisecond, prompts[i%len(prompts)].Prefix, now)
		f.RecordRemoteLoad(LoadReport{Server: s, Load: Load{Running: 10, Slots: 32}}, now)
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(2 * time.Millisecond)
		chosen := f.Pick(Query{Now: now, Upstream: "pool", FailureDomain: "a", Prompt: prompts[i%len(prompts)]}).(Chosen)
		chosen.Placement.Done(Served{}, now)
	}
}
