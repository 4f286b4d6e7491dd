package place

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// explainedPolicy bounds everything that a choice heeds.
var explainedPolicy = map[string]UpstreamPolicy{"pool": {CacheTokens: 60_000, ColdStart: 2 * time.Second, ColdRequestsPerSecond: 14}}

// newExplainedFleet returns a fleet whose servers differ in failure domain, region, version
// and slots.
func newExplainedFleet(seed uint64, adaptive bool) *Fleet {
	random := rand.New(rand.NewPCG(seed, 3))
	var list []instances.Instance
	for i := range 3 + random.IntN(20) {
		list = append(list, instances.Instance{ID: fmt.Sprintf("e%d", i), Upstream: []string{"pool", "pool", "other"}[random.IntN(3)], Address: fmt.Sprintf("a%d", i), FailureDomain: string(rune('a' + i%4)), Slots: 1 + random.IntN(4), Version: []string{"v1", "v2"}[random.IntN(2)], Leaving: random.IntN(9) == 0, Cold: random.IntN(5) == 0, ColdStated: true})
	}
	f := &Fleet{Seed: seed, Adaptive: adaptive, Regions: map[string]string{"a": "north", "b": "north", "c": "south"}, MaxServerBytes: 5000}
	f.LimitShare = func(_ string, maxEntries int) float64 { return 1 / float64(min(maxEntries, 3)) }
	f.IsLearning = func() bool { return false }
	f.ConnectTime = func(server string, _ bool) time.Duration {
		return time.Duration(hashID(server)%3) * time.Millisecond
	}
	f.SetUpstreams(explainedPolicy)
	f.SetEvacuated(map[string]bool{"d": seed%2 == 0}, internalStart)
	f.Update(list, internalStart)
	return f
}

// randomQuery returns a request of a random kind.
func randomQuery(random *rand.Rand, now time.Time) Query {
	q := Query{Now: now, Upstream: "pool", FailureDomain: "a", Bytes: int64(random.IntN(3000)), Priority: random.IntN(3), TimeLeft: time.Duration(random.IntN(3000)) * time.Millisecond}
	if random.IntN(5) == 0 {
		q.Regions = NewRegionLimit([]string{"north"}, nil)
	}
	if random.IntN(5) == 0 {
		q.Version = VersionLimit{Limited: true, Version: "v1"}
	}
	if random.IntN(4) > 0 {
		segment := uint64(random.IntN(9))
		q.Prompt = &Prompt{Tokens: int64(5000 + random.IntN(30_000)), Output: 50, Prefix: []PrefixSegment{{ID: segment, Tokens: 700}, {ID: 100 + segment, Tokens: 4000}}}
	}
	return q
}

// changeExplained applies a random event to a fleet. Fleets with equal histories get equal
// states: servers are not brittle here, because the time for which they get nothing after
// they have declined a request is random.
func changeExplained(f *Fleet, random *rand.Rand, placements []*Placement, now time.Time) []*Placement {
	if len(placements) == 0 {
		return nil
	}
	i := random.IntN(len(placements))
	p := placements[i]
	switch random.IntN(8) {
	case 0, 1:
		p.RecordAnswer(now)
		p.Done([]Outcome{Served{}, Served{}, Failed{}, Declined{}, Unused{}}[random.IntN(5)], now)
		return slices.Delete(placements, i, i+1)
	case 2:
		load := Load{Running: random.IntN(9), Waiting: random.IntN(3), Slots: 8}
		if f.Adaptive || f.Seed%2 == 0 {
			load.Slowdown = []float64{0, 0, 1, 2}[random.IntN(4)]
		}
		p.SetLoad(load, now)
	case 3:
		p.RecordFirstEvent(now)
	case 4:
		f.RecordRemotePrompt(p.ID, time.Duration(random.IntN(50))*time.Millisecond, []PrefixSegment{{ID: uint64(random.IntN(9))}}, now)
	case 5:
		p.HoldOff(now.Add(time.Duration(random.IntN(200)) * time.Millisecond))
	case 6:
		p.RecordLimit(Limit{Named: random.IntN(3) > 0, PerSecond: 20}, now)
	case 7:
		p.RecordCold(time.Duration(random.IntN(2000))*time.Millisecond, now)
	}
	return placements
}

// dump writes a value with everything that it points to. A pointer that was seen before is
// written as its number; functions and locks are left out.
func dump(b *strings.Builder, v reflect.Value, seen map[any]int) {
	switch v.Kind() {
	case reflect.Func:
		fmt.Fprint(b, !v.IsNil())
	case reflect.Pointer:
		if v.IsNil() {
			b.WriteString("nil")
			return
		}
		key := [2]any{v.Type(), v.Pointer()}
		if number, known := seen[key]; known {
			fmt.Fprintf(b, "#%d", number)
			return
		}
		seen[key] = len(seen)
		dump(b, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprintf(b, "%s:", v.Type().Field(i).Name)
			dump(b, v.Field(i), seen)
			b.WriteString(" ")
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(b, v.Index(i), seen)
			b.WriteString(",")
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			fmt.Fprintf(b, "[%v]", key)
			dump(b, v.MapIndex(key), seen)
			b.WriteString(",")
		}
	default:
		fmt.Fprint(b, v)
	}
}

// stateOf returns all that a fleet holds as text.
func stateOf(f *Fleet) string {
	var b strings.Builder
	dump(&b, reflect.ValueOf(f), make(map[any]int))
	return b.String()
}

// firstDifference returns where two texts differ.
func firstDifference(a, b string) string {
	at := 0
	for at < min(len(a), len(b)) && a[at] == b[at] {
		at++
	}
	from := max(0, at-200)
	return fmt.Sprintf("\n%s\n%s", a[from:min(len(a), at+60)], b[from:min(len(b), at+60)])
}

// checkExplanation checks an explanation against the decision that follows.
func checkExplanation(t *testing.T, e Explanation, decision Decision) {
	t.Helper()
	switch d := decision.(type) {
	case Chosen:
		want := WouldChoose{Server: d.Placement.ID, Address: d.Placement.Address, Granted: d.Placement.Granted}
		if e.Decision != ExplainedDecision(want) || e.Servers[0].ID != want.Server || e.Servers[0].State != ServerChosen {
			t.Fatalf("explained %+v with first server %+v, but the request went to %+v", e.Decision, e.Servers[0], want)
		}
		if e.Servers[0].CachedTokens != d.Placement.CachedTokens {
			t.Fatalf("explained %d cached tokens, but the placement has %d", e.Servers[0].CachedTokens, d.Placement.CachedTokens)
		}
	case Full:
		if e.Decision != ExplainedDecision(d) {
			t.Fatalf("explained %+v, but the decision is %+v", e.Decision, d)
		}
	case NoServer:
		if e.Decision != ExplainedDecision(d) {
			t.Fatalf("explained %+v, but the decision is NoServer", e.Decision)
		}
	}
	for _, s := range e.Servers {
		weighed := s.State == ServerChosen || s.State == ServerCompared || s.State == ServerLate
		var sum time.Duration
		for _, term := range s.Terms {
			sum += term.Cost
		}
		// Each weight alone is rounded to a nanosecond.
		if difference := sum - s.Cost; weighed && (difference < -20 || difference > 20) {
			t.Fatalf("the terms of %s add up to %d, but its cost is %d: %+v", s.ID, sum, s.Cost, s.Terms)
		}
		if s.State == ServerCompared && s.Cost < e.Servers[0].Cost {
			t.Fatalf("%s costs less than the chosen server: %+v", s.ID, e.Servers)
		}
		if (s.State == ServerFull || s.State == ServerLate) && (s.Reason == "" || s.Wait <= 0) || s.State == ServerExcluded && s.Reason == "" {
			t.Fatalf("no reason or time for %+v", s)
		}
	}
}

// TestExplanationLeavesTheFleetAsItWas guards against an explanation that changes anything of
// the fleet, calls one of the functions that tell others, differs from the choice that
// follows, or lacks a term of a cost.
func TestExplanationLeavesTheFleetAsItWas(t *testing.T) {
	found := make(map[string]int)
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 11))
		f := newExplainedFleet(seed, seed%3 > 0)
		explaining := false
		rejectCall := func(what string) {
			if explaining {
				t.Fatalf("seed %d: the explanation has called %s", seed, what)
			}
		}
		f.Changed = func(Change) { rejectCall("Changed") }
		f.PromptSent = func(string, time.Duration, []PrefixSegment) { rejectCall("PromptSent") }
		f.LimitStated = func(string, Limit, time.Duration) { rejectCall("LimitStated") }
		f.ColdStated = func(string, time.Duration) { rejectCall("ColdStated") }
		f.Unreached = func(string, int) { rejectCall("Unreached") }
		f.AdaptiveChanged = func(string, bool, int) { rejectCall("AdaptiveChanged") }
		now := internalStart
		var placements []*Placement
		for i := range 150 {
			now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			q := randomQuery(random, now)
			// Comparing the whole state takes milliseconds.
			compares := i%5 == 0
			var before string
			if compares {
				before = stateOf(f)
			}
			explaining = true
			e := f.Explain(q)
			explaining = false
			if compares {
				if after := stateOf(f); after != before {
					t.Fatalf("seed %d: the explanation has changed the fleet:%s", seed, firstDifference(before, after))
				}
			}
			decision := f.Pick(q)
			checkExplanation(t, e, decision)
			if chosen, ok := decision.(Chosen); ok {
				placements = append(placements, chosen.Placement)
			}
			for _, s := range e.Servers {
				found[s.State+" "+s.Reason]++
			}
			placements = changeExplained(f, random, placements, now)
			if len(placements) > 0 && seed%5 == 0 && i%40 == 0 {
				placements[0].RecordBrittle(Brittle{Named: true, PerSecond: 5}, now)
			}
		}
	}
	for _, want := range []string{"chosen ", "compared ", "not_compared ", "late expected_too_late", "full full", "full cold", "full limit", "full brittle", "full wants_no_requests", "full outstanding_bytes", "excluded version", "excluded region", "excluded evacuated", "excluded leaving", "excluded ejected"} {
		if found[want] == 0 {
			t.Errorf("the seeds have explained no server as %q", want)
		}
	}
	t.Logf("servers by state and reason: %v", found)
}

// choices plays requests and returns what was decided, with explanations between if explained
// is set.
func choices(seed uint64, adaptive, explained bool) []string {
	random := rand.New(rand.NewPCG(seed, 5))
	other := rand.New(rand.NewPCG(seed, 6))
	f := newExplainedFleet(seed, adaptive)
	var log []string
	f.Changed = func(change Change) { log = append(log, fmt.Sprintf("%+v", change)) }
	now := internalStart
	var placements []*Placement
	for range 250 {
		now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
		if explained {
			for range 1 + other.IntN(3) {
				f.Explain(randomQuery(other, now.Add(-time.Duration(other.IntN(5))*time.Millisecond)))
			}
		}
		decision := f.Pick(randomQuery(random, now))
		chosen, ok := decision.(Chosen)
		if ok {
			placements = append(placements, chosen.Placement)
			log = append(log, fmt.Sprintf("%s %d %d %t", chosen.Placement.ID, chosen.Placement.PrefillTime, chosen.Placement.CachedTokens, chosen.Placement.Granted))
		} else {
			log = append(log, fmt.Sprintf("%#v", decision))
		}
		placements = changeExplained(f, random, placements, now)
	}
	return log
}

// TestExplanationsDoNotChangeLaterChoices guards against explanations that shift the random
// numbers, the buckets, the estimates or the caches of later choices.
func TestExplanationsDoNotChangeLaterChoices(t *testing.T) {
	for _, adaptive := range []bool{false, true} {
		for seed := range uint64(24) {
			want := choices(seed, adaptive, false)
			got := choices(seed, adaptive, true)
			if !slices.Equal(got, want) {
				for i := range min(len(got), len(want)) {
					if got[i] != want[i] {
						t.Fatalf("adaptive %t, seed %d: decision %d is %s, want %s", adaptive, seed, i, got[i], want[i])
					}
				}
				t.Fatalf("adaptive %t, seed %d: %d decisions and changes, want %d", adaptive, seed, len(got), len(want))
			}
		}
	}
}

// BenchmarkExplain measures for how long an explanation holds the lock of the fleet.
func BenchmarkExplain(b *testing.B) {
	for _, count := range []int{160, 12_000} {
		for _, adaptive := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d,adaptive=%t", count, adaptive), func(b *testing.B) {
				f := engineFleet(count)
				f.Adaptive = adaptive
				prompt := &Prompt{Tokens: 20_000, Output: 100, Prefix: []PrefixSegment{{ID: 1, Tokens: 4000}}}
				for b.Loop() {
					f.explainChoice(Query{Now: internalStart, Upstream: "pool", FailureDomain: "a", Prompt: prompt})
				}
			})
		}
	}
}
