package place

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// coldFleet returns the fleet of an entry that has run for a minute, of one server that is not
// cold, in an upstream with a bound.
func coldFleet(start time.Time) *Fleet {
	return newColdFleet(start.Add(-time.Minute))
}

// newColdFleet returns the fleet of such an entry that has just started.
func newColdFleet(start time.Time) *Fleet {
	f := &Fleet{}
	f.SetUpstreams(map[string]UpstreamPolicy{"pool": {ColdStart: 3 * time.Second, ColdRequestsPerSecond: 14}})
	f.Update(oneServer(false), start)
	return f
}

// oneServer returns a list that says whether its server is cold.
func oneServer(cold bool) []instances.Instance {
	return []instances.Instance{{ID: "s", Upstream: "pool", Address: "a", FailureDomain: "d", Slots: 100, Cold: cold, ColdStated: true}}
}

// placeOne places a request or fails the test.
func placeOne(t *testing.T, f *Fleet, at time.Time) *Placement {
	t.Helper()
	chosen, ok := f.Pick(Query{Now: at, Upstream: "pool"}).(Chosen)
	if !ok {
		t.Fatal("no server was chosen")
	}
	return chosen.Placement
}

// endEvacuation evacuates a failure domain and withdraws that at the given time.
func endEvacuation(f *Fleet, domain string, at time.Time) {
	f.SetEvacuated(map[string]bool{domain: true}, at)
	f.SetEvacuated(nil, at)
}

// expectCold checks whether the server counts as cold.
func expectCold(t *testing.T, f *Fleet, at time.Time, want bool, when string) {
	t.Helper()
	if got := f.Counts(at).Cold == 1; got != want {
		t.Errorf("%s: cold is %t, want %t", when, got, want)
	}
}

// TestServersCountAsColdWhenTheyMayBe checks each source of knowledge about coldness, and
// that it ends.
func TestServersCountAsColdWhenTheyMayBe(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	f := coldFleet(start)
	expectCold(t, f, start, false, "first list, which says that the server is not cold")
	f.Update(oneServer(true), after(time.Second))
	expectCold(t, f, after(time.Hour), true, "while the list says so")
	f.Update(oneServer(false), after(time.Hour))
	expectCold(t, f, after(time.Hour), false, "once the list says otherwise")
	endEvacuation(f, "d", after(time.Hour))
	expectCold(t, f, after(time.Hour+time.Second), true, "after an evacuation")
	expectCold(t, f, after(time.Hour+3*time.Second), false, "when the cold start is over")
	f.Update(nil, after(2*time.Hour))
	f.Update(oneServer(false), after(2*time.Hour))
	expectCold(t, f, after(2*time.Hour+2*time.Second), true, "listed again after the list was empty")
	f.RecordRemoteCold("s", 10*time.Second, after(3*time.Hour))
	expectCold(t, f, after(3*time.Hour+9*time.Second), true, "while another entry says so")
	expectCold(t, f, after(3*time.Hour+10*time.Second), false, "when that is over")
	silent := &Fleet{}
	silent.SetUpstreams(map[string]UpstreamPolicy{"pool": {ColdStart: 3 * time.Second, ColdRequestsPerSecond: 14}})
	silent.Update([]instances.Instance{{ID: "s", Upstream: "pool", Address: "a", Slots: 100}}, start)
	expectCold(t, silent, after(2*time.Second), true, "first list, which says nothing")
}

// TestStatementOfAServerReplacesWhatWasSupposed guards against a server that counts as cold
// although it has just said that it is not, and against an earlier response that says so.
func TestStatementOfAServerReplacesWhatWasSupposed(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	early := placeOne(t, f, start)
	endEvacuation(f, "d", start.Add(time.Second))
	early.RecordCold(0, start.Add(time.Second))
	expectCold(t, f, start.Add(time.Second), true, "response to an earlier request")
	late := placeOne(t, f, start.Add(2*time.Second))
	late.RecordCold(5*time.Second, start.Add(2*time.Second))
	expectCold(t, f, start.Add(6*time.Second), true, "as long as the server says")
	last := placeOne(t, f, start.Add(3*time.Second))
	last.RecordCold(0, start.Add(3*time.Second))
	expectCold(t, f, start.Add(3*time.Second), false, "response that says that it is not")
}

// TestServerThatWasUnreachableCountsAsCold checks that a server which could not be reached
// counts as cold until it has answered for a cold start, but not if the answer is that to a
// request from before, and not after a failure that is no sign of a restart.
func TestServerThatWasUnreachableCountsAsCold(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	running := placeOne(t, f, start)
	placeOne(t, f, start).Done(Unreachable{}, start.Add(time.Second))
	expectCold(t, f, start.Add(2*time.Second), true, "unreachable")
	running.RecordAnswer(start.Add(2 * time.Second))
	expectCold(t, f, start.Add(2*time.Second), false, "a stream from before goes on")
	again := placeOne(t, f, start.Add(3*time.Second))
	again.Done(Unreachable{}, start.Add(3*time.Second))
	back := placeOne(t, f, start.Add(5*time.Second))
	back.RecordAnswer(start.Add(6 * time.Second))
	expectCold(t, f, start.Add(8*time.Second), true, "answered again")
	expectCold(t, f, start.Add(9*time.Second), false, "cold start is over")
	back.Done(Failed{}, start.Add(10*time.Second))
	expectCold(t, f, start.Add(10*time.Second), false, "one response broke off")
}

// TestLostConnectionDoesNotMakeAServerCold guards against a server that gets a few requests
// a second because it has closed one connection while a request was sent on it.
func TestLostConnectionDoesNotMakeAServerCold(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	placeOne(t, f, start).Done(Failed{}, start)
	expectCold(t, f, start, false, "one connection broke")
	placeOne(t, f, start).Done(Failed{}, start)
	expectCold(t, f, start, true, "two connections in a row broke")
}

// TestServersOfALostPathAreNotCold guards against servers that get few requests because this
// entry, and no other, could not reach them.
func TestServersOfALostPathAreNotCold(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	placeOne(t, f, start).Done(Unreachable{}, start)
	f.CutOff("pool", start)
	f.Reached("pool", start.Add(time.Second))
	expectCold(t, f, start.Add(time.Second), false, "path restored")
}

// TestUpstreamWithoutABoundIsServedAsBefore guards against changes for upstreams whose
// configuration names no bound.
func TestUpstreamWithoutABoundIsServedAsBefore(t *testing.T) {
	start := time.Unix(1000, 0)
	f := &Fleet{IsLearning: func() bool { return true }}
	f.SetUpstreams(map[string]UpstreamPolicy{"pool": {ColdStart: 3 * time.Second}})
	f.Update(oneServer(true), start)
	endEvacuation(f, "d", start)
	for range 50 {
		placeOne(t, f, start)
	}
	expectCold(t, f, start, false, "no bound")
}

// TestColdServerIsRefusedAtOnceWithAWait checks that requests which a cold server can't take
// are refused, with the time after which one is allowed, and that what was not sent does not
// count.
func TestColdServerIsRefusedAtOnceWithAWait(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	f.LimitShare = func(string, int) float64 { return 0.25 }
	endEvacuation(f, "d", start)
	first := placeOne(t, f, start)
	full, ok := f.Pick(Query{Now: start, Upstream: "pool"}).(Full)
	if !ok || full.RetryAfter < 400*time.Millisecond || full.RetryAfter > 410*time.Millisecond {
		t.Errorf("the second request got %+v, want a wait of 400 ms and some", full)
	}
	first.Done(Unused{}, start)
	placeOne(t, f, start)
	placeOne(t, f, start.Add(full.RetryAfter))
}

// TestProbeOfAColdServerCountsAgainstItsShare guards against probes that come on top of what
// a cold server takes.
func TestProbeOfAColdServerCountsAgainstItsShare(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	f.LimitShare = func(string, int) float64 { return 0.25 }
	endEvacuation(f, "d", start)
	probed := f.Endpoints("pool", 1, start)
	if probed[0].ConnectOnly {
		t.Error("the first probe must not send a request")
	}
	if _, ok := f.Pick(Query{Now: start, Upstream: "pool"}).(Full); !ok {
		t.Error("a request was placed right after the probe")
	}
	if !f.Endpoints("pool", 1, start)[0].ConnectOnly {
		t.Error("the second probe may send a request")
	}
}

// TestSharesStayWithinWhatAColdServerTakes checks for many rates that all entries with a
// share together send at most that in a second, and not much less in the long run.
func TestSharesStayWithinWhatAColdServerTakes(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 2, 3, 5.9, 6, 14, 200} {
		entries := maxColdEntries(perSecond)
		rate := coldRate(perSecond, 1/float64(entries))
		inOneSecond := float64(entries) * max(1, 1+rate)
		if rate < 1 {
			inOneSecond = float64(entries)
		}
		if inOneSecond > max(1, perSecond)+1e-9 {
			t.Errorf("%g requests a second: %d entries send %g", perSecond, entries, inOneSecond)
		}
		if total := rate * float64(entries); total < 0.5*perSecond {
			t.Errorf("%g requests a second: only %g are sent", perSecond, total)
		}
	}
}

// TestUnreachableServerIsProbedByThoseWithAShare checks that a server which could not be
// reached is probed, counts as cold for as long as it then says, and that the entries with a
// share are asked to probe it as well.
func TestUnreachableServerIsProbedByThoseWithAShare(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	asked := 0
	f.Unreached = func(_ string, entries int) { asked += entries }
	if len(f.StartColdProbes(start)) != 0 {
		t.Error("a server that was never unreachable is probed")
	}
	placeOne(t, f, start).Done(Unreachable{}, start)
	if asked != 4 {
		t.Errorf("%d entries were asked to probe the server, want 4", asked)
	}
	for i := range 3 {
		at := start.Add(time.Duration(i+1) * coldProbeInterval)
		probes := f.StartColdProbes(at)
		if len(probes) != 1 || len(f.StartColdProbes(at)) != 0 {
			t.Fatalf("%d probes are sent in the first look, want 1, and none in the second", len(probes))
		}
		f.EndColdProbe(probes[0], NotConnected, at)
	}
	back := start.Add(2 * time.Second)
	probe := f.StartColdProbes(back)[0]
	f.RecordProbedCold("s", time.Second, back, back)
	f.EndColdProbe(probe, Answered, back)
	expectCold(t, f, back.Add(900*time.Millisecond), true, "as long as the server said")
	expectCold(t, f, back.Add(time.Second), false, "then")
	if len(f.StartColdProbes(back.Add(time.Second))) != 0 {
		t.Error("the server is probed although it has answered")
	}
}

// TestProbeThatAnswersSaysNothingAboutColdness checks that a server without the response
// header counts as cold for its cold start once it is reachable again.
func TestProbeThatAnswersSaysNothingAboutColdness(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	f.RecordProbeRequest("s", start)
	requested := f.StartColdProbes(start)
	f.EndColdProbe(requested[0], Answered, start)
	expectCold(t, f, start, false, "probe requested by another entry, and an answer")
	f.RecordProbeRequest("s", start.Add(time.Second))
	f.EndColdProbe(f.StartColdProbes(start.Add(time.Second))[0], NotConnected, start.Add(time.Second))
	f.EndColdProbe(f.StartColdProbes(start.Add(2 * time.Second))[0], Answered, start.Add(2*time.Second))
	expectCold(t, f, start.Add(4*time.Second), true, "reachable again")
	expectCold(t, f, start.Add(5*time.Second), false, "cold start is over")
}

// TestEntryThatLostItsPathAsksForNoProbes guards against an entry that makes others probe all
// servers because it can reach none.
func TestEntryThatLostItsPathAsksForNoProbes(t *testing.T) {
	start := time.Unix(1000, 0)
	f := coldFleet(start)
	f.Unreached = func(string, int) { t.Error("others were asked to probe a server") }
	f.CutOff("pool", start)
	placeOne(t, f, start).Done(Unreachable{}, start)
}

// TestServerUnheardOfCountsAsColdOnceMore guards against a server that starts again under its
// id while all entries are learning who their peers are, and gets the usual requests as soon as
// the list says that its first start is over.
func TestServerUnheardOfCountsAsColdOnceMore(t *testing.T) {
	start := time.Unix(1000, 0)
	over := start.Add(2 * time.Second)
	for name, c := range map[string]struct {
		learning bool
		heard    func(*Fleet)
		cold     bool
	}{
		"nobody has heard of it":         {learning: true, heard: func(*Fleet) {}, cold: true},
		"it has answered a probe":        {learning: true, heard: func(f *Fleet) { f.RecordProbedCold("s", 0, start, start) }},
		"another entry has told of it":   {learning: true, heard: func(f *Fleet) { f.RecordRemoteCold("s", time.Second, start) }},
		"the entry was not learning":     {learning: false, heard: func(*Fleet) {}},
		"it is not cold when it answers": {learning: true, heard: func(f *Fleet) { f.servers["s"].answered = true }},
	} {
		learning := c.learning
		f := &Fleet{IsLearning: func() bool { return learning }}
		f.SetUpstreams(map[string]UpstreamPolicy{"pool": {ColdStart: 3 * time.Second, ColdRequestsPerSecond: 14}})
		f.Update(oneServer(true), start)
		c.heard(f)
		learning = false
		f.Update(oneServer(false), over)
		expectCold(t, f, over, c.cold, name)
		f.RecordProbedCold("s", 0, over, over)
		expectCold(t, f, over, false, name+", and it has answered")
	}
}
