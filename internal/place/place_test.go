package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// engines returns count model engines spread over the failure domains a, b and
// c.
func engines(count int) []instances.Instance {
	var list []instances.Instance
	for i := range count {
		list = append(list, instances.Instance{ID: fmt.Sprintf("e%d", i), Upstream: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i+1), FailureDomain: string(rune('a' + i%3)), Slots: 64})
	}
	return list
}

func fleet(list []instances.Instance) *place.Fleet {
	f := &place.Fleet{}
	f.Update(list, start)
	return f
}

// prompt returns a prompt whose first half is the prefix segment with the given
// id.
func prompt(prefix uint64, tokens int64) *place.Prompt {
	return &place.Prompt{Tokens: tokens, Output: 100, Prefix: []place.PrefixSegment{{ID: prefix, Tokens: tokens / 2}}}
}

// pick places a request of an entry in failure domain a and fails the test if
// no server is chosen.
func pick(t *testing.T, f *place.Fleet, p *place.Prompt, now time.Time, tried ...string) *place.Placement {
	t.Helper()
	decision := f.Pick(place.Query{Now: now, Upstream: "pool", FailureDomain: "a", Prompt: p, Tried: tried})
	chosen, ok := decision.(place.Chosen)
	if !ok {
		t.Fatalf("decision %#v, want Chosen", decision)
	}
	return chosen.Placement
}

// Entries that share no state must pick the same server for a prefix, or each
// engine would have to compute and cache it.
func TestSamePrefixPicksSameServerOnEveryEntry(t *testing.T) {
	for prefix := range uint64(50) {
		one := pick(t, fleet(engines(9)), prompt(prefix, 2000), start)
		other := pick(t, fleet(engines(9)), prompt(prefix, 2000), start)
		if one.ID != other.ID {
			t.Fatalf("prefix %d: one entry picked %s, another %s", prefix, one.ID, other.ID)
		}
	}
}

// A hash that favours some servers would overload them with prefixes.
func TestPrefixesSpreadOverServers(t *testing.T) {
	counts := make(map[string]int)
	for prefix := range uint64(900) {
		counts[pick(t, fleet(engines(9)), prompt(prefix, 2000), start).ID]++
	}
	for id, count := range counts {
		if count < 50 || count > 150 {
			t.Errorf("%s got %d of 900 prefixes, want 50 to 150", id, count)
		}
	}
}

// A short prompt must not wait behind a long one at the server that caches
// their common prefix. Once the long prompt has been processed, requests with the
// prefix go to that server again.
func TestShortPromptAvoidsServerProcessingLongPrompt(t *testing.T) {
	f := fleet(engines(9))
	long := pick(t, f, prompt(1, 50_000), start)
	short := pick(t, f, prompt(1, 800), start.Add(time.Millisecond))
	if short.ID == long.ID {
		t.Error("the short prompt was placed behind a long one while other servers were idle")
	}
	later := pick(t, f, prompt(1, 50_000), start.Add(time.Minute))
	if later.ID != long.ID || later.CachedTokens == 0 {
		t.Errorf("a minute later the prefix was placed at %s with %d cached tokens, want %s and more than 0", later.ID, later.CachedTokens, long.ID)
	}
}

// Ignoring the prompts of other entries would queue requests behind their
// prefill work and miss prefixes that they left in an engine's cache.
func TestPromptsOfOtherEntriesAffectPlacement(t *testing.T) {
	f := fleet(engines(3))
	preferred := pick(t, fleet(engines(3)), prompt(1, 2000), start).ID
	f.RecordRemotePrompt(preferred, 400*time.Millisecond, nil, start)
	if got := pick(t, f, prompt(1, 2000), start).ID; got == preferred {
		t.Error("the prompt was placed behind one that another entry sent")
	}
	f = fleet(engines(3))
	for _, e := range engines(3) {
		if e.ID != preferred {
			f.RecordRemotePrompt(e.ID, 0, []place.PrefixSegment{{ID: 7}}, start)
		}
	}
	if got := pick(t, f, prompt(7, 40_000), start); got.CachedTokens == 0 {
		t.Error("got 0 cached tokens, want the prefix that another entry's prompt left in the cache")
	}
}

// A server that is leaving must get no requests, also after it was removed and
// an outdated list shows it as available again.
func TestLeavingServersGetNothing(t *testing.T) {
	list := engines(3)
	list[0].Leaving = true
	f := fleet(list)
	for prefix := range uint64(30) {
		if got := pick(t, f, prompt(prefix, 1000), start).ID; got == "e0" {
			t.Fatal("picked a leaving server")
		}
	}
	// An outdated list shows the leaving server as available again.
	f.Update(engines(3), start)
	f.Update(engines(3)[1:], start)
	f.Update(engines(3), start)
	for prefix := range uint64(30) {
		if got := pick(t, f, prompt(prefix, 1000), start).ID; got == "e0" {
			t.Fatal("picked a leaving server after an outdated list")
		}
	}
}

// A server may start again under its id and address. It must get requests again
// once no outdated list can show the run that left, and must not count as holding
// the prompts of that run.
func TestServerThatStartedAgainIsUsed(t *testing.T) {
	f := fleet(engines(1))
	pick(t, f, prompt(7, 40_000), start)
	leaving := engines(1)
	leaving[0].Leaving = true
	f.Update(leaving, start.Add(time.Second))
	f.Update(nil, start.Add(2*time.Second))
	for _, after := range []time.Duration{3 * time.Second, 10 * time.Second} {
		f.Update(engines(1), start.Add(after))
		if _, found := f.Pick(place.Query{Now: start.Add(after), Upstream: "pool"}).(place.Chosen); found {
			t.Fatalf("picked the server %s after the start, want none while a list may be outdated", after)
		}
	}
	now := start.Add(20 * time.Second)
	f.Update(engines(1), now)
	got := pick(t, f, prompt(7, 40_000), now)
	if got.CachedTokens != 0 {
		t.Errorf("%d tokens count as cached in a server that started again, want 0", got.CachedTokens)
	}
}

// Another server's response at an address proves that the listed one is not there.
// The address is tried again later, because the list may show the server that now
// has it under the id of the old one.
func TestReplacedServerIsTriedAgainLater(t *testing.T) {
	f := fleet(engines(1))
	p := pick(t, f, nil, start)
	p.MarkReplaced(start)
	p.Done(place.Declined{}, start)
	f.Update(engines(1), start.Add(5*time.Second))
	if _, found := f.Pick(place.Query{Now: start.Add(5 * time.Second), Upstream: "pool"}).(place.Chosen); found {
		t.Error("picked a server that another one has replaced")
	}
	f.Update(engines(1), start.Add(time.Minute))
	pick(t, f, nil, start.Add(time.Minute))
}

// After an ejection, many requests at once on a server that is still down would
// all fail; a single one must test it.
func TestEjectedServerIsProbedWithOneRequest(t *testing.T) {
	f := fleet(engines(3))
	ejected := pick(t, f, prompt(1, 1000), start)
	ejected.Done(place.Unreachable{}, start)
	for range 10 {
		if got := pick(t, f, prompt(1, 1000), start.Add(100*time.Millisecond)); got.ID == ejected.ID {
			t.Fatal("picked an unreachable server 100 ms after its ejection")
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
		t.Errorf("%d requests at once on a half-open server, want at most 1", probes)
	}
}

// When all servers are ejected, a request is still placed rather than refused.
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

// Full servers must be distinguished from unknown upstreams, and Full must state
// when a retry may succeed.
func TestFullServersReportFull(t *testing.T) {
	list := engines(1)
	list[0].Slots = 2
	f := fleet(list)
	var decision place.Decision
	for range 20 {
		decision = f.Pick(place.Query{Now: start, Upstream: "pool"})
	}
	if full, ok := decision.(place.Full); !ok || full.RetryAfter <= 0 {
		t.Errorf("decision %#v, want Full with a positive RetryAfter", decision)
	}
	if _, ok := f.Pick(place.Query{Now: start, Upstream: "none"}).(place.NoServer); !ok {
		t.Error("Pick for an unknown upstream did not return NoServer")
	}
}

// Requests that run no model prefer the entry's own failure domain, until its
// server is busier than those of other domains.
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
		t.Errorf("six requests at once were placed as %v, want 1 to 4 at e0 and some at each server", counts)
	}
}

// A long prompt at an engine with many streams would delay all of them. It must
// go to another engine, while a short prompt stays with its cached prefix.
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
		t.Error("the long prompt was placed beside ten streams while other engines were idle")
	}
	if got := pick(t, crowded(), prompt(1, 1200), start).ID; got != preferred {
		t.Error("the short prompt was not placed at the engine that caches its prefix")
	}
}

// TestUnusedPlacementLeavesNoLoad checks that a placement that was not used leaves
// neither a backlog nor a request in flight, and says nothing about the server's health.
func TestUnusedPlacementLeavesNoLoad(t *testing.T) {
	f := fleet(engines(1))
	for range 5 {
		pick(t, f, prompt(1, 100_000), start).Done(place.Unused{}, start)
	}
	counts := f.Counts(start)
	if counts.Ready != 1 || counts.InFlight != 0 || counts.Backlog != 0 {
		t.Errorf("%+v, want one ready server, nothing in flight and no backlog", counts)
	}
}

// TestHeldOffServerGetsNoRequests checks that a server that wants no requests for a time
// gets none until then, also if there is no other one, and that the caller is told when
// to come back.
func TestHeldOffServerGetsNoRequests(t *testing.T) {
	f := fleet(engines(2))
	for _, hold := range []time.Duration{3 * time.Second, 2 * time.Second} {
		held := pick(t, f, nil, start)
		held.HoldOff(start.Add(hold))
		held.Done(place.Declined{}, start)
	}
	at := start.Add(1900 * time.Millisecond)
	decision := f.Pick(place.Query{Now: at, Upstream: "pool"})
	full, ok := decision.(place.Full)
	if !ok || full.RetryAfter != 100*time.Millisecond {
		t.Errorf("%#v, want Full with 100 ms", decision)
	}
	pick(t, f, nil, start.Add(2*time.Second))
}

// TestServerThatSaysItLeavesGetsNoRequests checks that a server gets no requests after a
// response that states that it leaves, even if an outdated list shows it as available.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	list := engines(1)
	f := fleet(list)
	placement := pick(t, f, nil, start)
	placement.MarkLeaving(start)
	placement.Done(place.Served{}, start)
	f.Update(list, start.Add(time.Second))
	decision := f.Pick(place.Query{Now: start.Add(time.Second), Upstream: "pool"})
	_, none := decision.(place.NoServer)
	if !none {
		t.Errorf("%#v, want NoServer", decision)
	}
}
