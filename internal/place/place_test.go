package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(count int) []instances.Instance {
	var list []instances.Instance
	for i := range count {
		list = append(list, instances.Instance{ID: fmt.Sprintf("e%d", i), Upstream: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i+1), FailureDomain: string(rune('a' + i%3)), Slots: 64})
	}
	return list
}

func fleet(list []instances.Instance) *place.Fleet {
	f := &place.Fleet{}
	f.Update(list)
	return f
}

func prompt(prefix uint64, tokens int64) *place.Prompt {
	return &place.Prompt{Tokens: tokens, Output: 100, Prefix: []place.PrefixSegment{{ID: prefix, Tokens: tokens / 2}}}
}

func pick(t *testing.T, f *place.Fleet, p *place.Prompt, now time.Time, tried ...string) *place.Placement {
	t.Helper()
	decision := f.Pick(place.Query{Now: now, Upstream: "pool", FailureDomain: "a", Prompt: p, Tried: tried})
	chosen, ok := decision.(place.Chosen)
	if !ok {
		t.Fatalf("decision %#v", decision)
	}
	return chosen.Placement
}

func TestSamePrefixPicksSameServerOnEveryEntry(t *testing.T) {
	for prefix := range uint64(50) {
		one := pick(t, fleet(engines(9)), prompt(prefix, 2000), start)
		other := pick(t, fleet(engines(9)), prompt(prefix, 2000), start)
		if one.ID != other.ID {
			t.Fatalf("subject %d: %s and %s", prefix, one.ID, other.ID)
		}
	}
}

func TestPrefixesSpreadOverServers(t *testing.T) {
	counts := make(map[string]int)
	for prefix := range uint64(900) {
		counts[pick(t, fleet(engines(9)), prompt(prefix, 2000), start).ID]++
	}
	for id, count := range counts {
		if count < 50 || count > 150 {
			t.Errorf("%s has %d of 900 subjects", id, count)
		}
	}
}

// TestShortPromptAvoidsServerReadingLongPrompt sends a long prompt to the home of a subject
// and then a short one of that subject.
func TestShortPromptAvoidsServerReadingLongPrompt(t *testing.T) {
	f := fleet(engines(9))
	long := pick(t, f, prompt(1, 50_000), start)
	short := pick(t, f, prompt(1, 800), start.Add(time.Millisecond))
	if short.ID == long.ID {
		t.Error("a short prompt waits behind a long one though others are free")
	}
	later := pick(t, f, prompt(1, 50_000), start.Add(time.Minute))
	if later.ID != long.ID || later.CachedTokens == 0 {
		t.Errorf("a minute later the subject goes to %s with %d tokens kept, not to %s", later.ID, later.CachedTokens, long.ID)
	}
}

func TestPromptsOfOtherEntriesAffectPlacement(t *testing.T) {
	f := fleet(engines(3))
	preferred := pick(t, fleet(engines(3)), prompt(1, 2000), start).ID
	f.RecordRemotePrompt(preferred, 400*time.Millisecond, nil, start)
	if got := pick(t, f, prompt(1, 2000), start).ID; got == preferred {
		t.Error("the prompt waits behind one that another entry sent")
	}
	f = fleet(engines(3))
	for _, e := range engines(3) {
		if e.ID != preferred {
			f.RecordRemotePrompt(e.ID, 0, []place.PrefixSegment{{ID: 7}}, start)
		}
	}
	if got := pick(t, f, prompt(7, 40_000), start); got.CachedTokens == 0 {
		t.Error("what another entry's prompt left at an engine is not used")
	}
}

func TestLeavingServersGetNothing(t *testing.T) {
	list := engines(3)
	list[0].Leaving = true
	f := fleet(list)
	for prefix := range uint64(30) {
		if got := pick(t, f, prompt(prefix, 1000), start).ID; got == "e0" {
			t.Fatal("a leaving server was picked")
		}
	}
	// A list that is older shows it as ready again.
	f.Update(engines(3))
	f.Update(engines(3)[1:])
	f.Update(engines(3))
	for prefix := range uint64(30) {
		if got := pick(t, f, prompt(prefix, 1000), start).ID; got == "e0" {
			t.Fatal("a leaving server came back by an old list")
		}
	}
}

func TestEjectedServerIsProbedWithOneRequest(t *testing.T) {
	f := fleet(engines(3))
	ejected := pick(t, f, prompt(1, 1000), start)
	ejected.Done(place.Unreachable{}, start)
	for range 10 {
		if got := pick(t, f, prompt(1, 1000), start.Add(100*time.Millisecond)); got.ID == ejected.ID {
			t.Fatal("an unreachable server was picked at once")
		}
	}
	probes := 0
	for range 60 {
		got := pick(t, f, prompt(1, 1000), start.Add(10*time.Second))
		if got.ID == ejected.ID {
			probes++
		}
	}
	if probes > 1 {
		t.Errorf("%d requests at once on a server that is being tried", probes)
	}
}

func TestPickWorksWhenAllServersAreEjected(t *testing.T) {
	f := fleet(engines(2))
	for range 2 {
		for _, id := range []string{"e0", "e1"} {
			other := "e1"
			if id == "e1" {
				other = "e0"
			}
			pick(t, f, nil, start, other).Done(place.Unreachable{}, start)
		}
	}
	pick(t, f, nil, start)
}

func TestFullServersReportFull(t *testing.T) {
	list := engines(1)
	list[0].Slots = 2
	f := fleet(list)
	var decision place.Decision
	for range 20 {
		decision = f.Pick(place.Query{Now: start, Upstream: "pool"})
	}
	if full, ok := decision.(place.Full); !ok || full.RetryAfter <= 0 {
		t.Errorf("decision %#v", decision)
	}
	if _, ok := f.Pick(place.Query{Now: start, Upstream: "none"}).(place.NoServer); !ok {
		t.Error("an unknown upstream has servers")
	}
}

// TestPlainRequestsPreferOwnFailureDomain prefers the own failure domain until it is busier.
func TestPlainRequestsPreferOwnFailureDomain(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].Slots = 6
	}
	f := fleet(list)
	counts := make(map[string]int)
	for range 6 {
		counts[pick(t, f, nil, start).ID]++
	}
	if counts["e0"] < 1 || counts["e0"] > 4 || len(counts) != 3 {
		t.Errorf("six requests at once went to %v", counts)
	}
}

// TestLongPromptAvoidsServerWithManyStreams lets the home of a subject run many
// streams: a prompt that would delay them all goes elsewhere, a short one stays.
func TestLongPromptAvoidsServerWithManyStreams(t *testing.T) {
	preferred := pick(t, fleet(engines(3)), prompt(1, 1000), start).ID
	crowded := func() *place.Fleet {
		f := fleet(engines(3))
		p := pick(t, f, prompt(1, 1000), start)
		p.SetLoad(place.Load{Running: 10, Slots: 64}, start)
		return f
	}
	long := &place.Prompt{Tokens: 60_000, Output: 100, Prefix: []place.PrefixSegment{{ID: 1, Tokens: 500}}}
	if got := pick(t, crowded(), long, start).ID; got == preferred {
		t.Error("a long prompt delays ten streams though other engines are free")
	}
	if got := pick(t, crowded(), prompt(1, 1200), start).ID; got != preferred {
		t.Error("a short prompt left the engine that keeps its parts")
	}
}
