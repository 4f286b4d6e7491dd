package place

import (
	"testing"
	"time"
)

// needsProbe places a request at the only server, which must ask for a probe, and returns
// the probe.
func needsProbe(t *testing.T, f *Fleet, at time.Time) Endpoint {
	t.Helper()
	needed := 0
	f.ProbeNeeded = func() { needed++ }
	placeOne(t, f, at)
	probes := f.StartUnconfirmedProbes(at)
	if needed != 1 || len(probes) != 1 || len(f.StartUnconfirmedProbes(at)) != 0 || len(f.StartColdProbes(at)) != 0 {
		t.Fatalf("%d probes were asked for, and %d were returned first, want 1 and no more", needed, len(probes))
	}
	return probes[0]
}

// expectSkipped checks whether the only server gets no request now.
func expectSkipped(t *testing.T, f *Fleet, at time.Time, want bool, when string) {
	t.Helper()
	full, skipped := f.Pick(Query{Now: at, Upstream: "pool"}).(Full)
	if skipped != want || skipped && full.RetryAfter != noColdShareWait {
		t.Errorf("%s: skipped is %t with a wait of %s, want %t", when, skipped, full.RetryAfter, want)
	}
	if counts := f.Counts(at); skipped && counts.Cold+counts.Unconfirmed != 1 {
		t.Errorf("%s: %d servers count as cold and %d as unconfirmed, want one of them", when, counts.Cold, counts.Unconfirmed)
	}
}

// TestUnconfirmedServerGetsOneRequestUntilItIsConfirmed checks what ends that a server of the
// first list gets one request, and what does not.
func TestUnconfirmedServerGetsOneRequestUntilItIsConfirmed(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add(10 * time.Millisecond)
	for name, c := range map[string]struct {
		event   func(*Fleet, Endpoint)
		skipped bool
		cold    bool
	}{
		"nothing":                             {event: func(*Fleet, Endpoint) {}, skipped: true},
		"a probe that states that it is warm": {event: func(f *Fleet, p Endpoint) { f.RecordProbedCold("s", 0, start, at); f.EndColdProbe(p, Answered, at) }},
		"a probe that states that it is cold": {event: func(f *Fleet, p Endpoint) {
			f.RecordProbedCold("s", time.Second, start, at)
			f.EndColdProbe(p, Answered, at)
		}, cold: true},
		"a probe that states nothing":           {event: func(f *Fleet, p Endpoint) { f.EndColdProbe(p, Answered, at) }},
		"an announcement":                       {event: func(f *Fleet, _ Endpoint) { f.RecordRemoteCold("s", time.Second, at) }, cold: true},
		"a later list that says that it is not": {event: func(f *Fleet, _ Endpoint) { f.Update(oneServer(false), at) }, skipped: true},
		"a list that says that it is cold":      {event: func(f *Fleet, _ Endpoint) { f.Update(oneServer(true), at) }, cold: true},
		"a statement from before the list":      {event: func(f *Fleet, _ Endpoint) { f.RecordProbedCold("s", 0, start.Add(-1), at) }, skipped: true},
		"a probe that is not answered":          {event: func(f *Fleet, p Endpoint) { f.EndColdProbe(p, NotAnswered, at) }, cold: true},
	} {
		f := newColdFleet(start)
		f.LimitShare = func(string, int) float64 { return 0 }
		expectCold(t, f, start, false, name+", before the first request")
		probe := needsProbe(t, f, start)
		expectSkipped(t, f, start, true, name+", before the event")
		c.event(f, probe)
		expectCold(t, f, at, c.cold, name)
		expectSkipped(t, f, at, c.skipped || c.cold, name)
	}
}

// TestUnconfirmedServerIsUsedOnceAColdStartIsOver guards against a server that is never used
// again because no probe was sent or its end was lost.
func TestUnconfirmedServerIsUsedOnceAColdStartIsOver(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newColdFleet(start)
	needsProbe(t, f, start)
	over := start.Add(3 * time.Second)
	expectSkipped(t, f, over.Add(-time.Millisecond), true, "before the cold start is over")
	expectSkipped(t, f, over, false, "then")
	if len(f.StartColdProbes(over)) != 0 {
		t.Error("the server is probed although its cold start is over")
	}
}

// TestServersWithoutARequestAreNotProbed guards against a probe to each server of a site by
// each entry that starts.
func TestServersWithoutARequestAreNotProbed(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newColdFleet(start)
	if len(f.StartUnconfirmedProbes(start)) != 0 || len(f.StartColdProbes(start.Add(time.Second))) != 0 {
		t.Error("a server is probed although no request was placed at it")
	}
}

// TestProbeThatNobodyStartedIsStartedInTheNextPass guards against a server that stays
// unconfirmed because the call that asks for its probe has no effect.
func TestProbeThatNobodyStartedIsStartedInTheNextPass(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newColdFleet(start)
	placeOne(t, f, start)
	if len(f.StartColdProbes(start)) != 1 || len(f.StartUnconfirmedProbes(start)) != 0 {
		t.Error("the pass did not start the probe, or it was started twice")
	}
}

// TestServerThatAnswersOnlyTheRequestIsProbedAgain guards against a server that gets all
// requests because it has answered the first one, which says nothing, after its probe failed.
func TestServerThatAnswersOnlyTheRequestIsProbedAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newColdFleet(start)
	f.LimitShare = func(string, int) float64 { return 0 }
	asked := 0
	f.Unreached = func(string, int) { asked++ }
	request := placeOne(t, f, start)
	probe := f.StartUnconfirmedProbes(start)[0]
	f.EndColdProbe(probe, NotAnswered, start.Add(100*time.Millisecond))
	if asked != 1 {
		t.Errorf("other entries were asked %d times to probe the server, want 1", asked)
	}
	request.RecordAnswer(start.Add(200 * time.Millisecond))
	expectSkipped(t, f, start.Add(200*time.Millisecond), true, "only the request was answered")
	if len(f.StartColdProbes(start.Add(200*time.Millisecond))) != 0 {
		t.Error("the server is probed again too soon")
	}
	again := f.StartColdProbes(start.Add(coldProbeInterval))
	if len(again) != 1 {
		t.Fatal("the server is not probed again")
	}
	f.EndColdProbe(again[0], Answered, start.Add(coldProbeInterval))
	expectSkipped(t, f, start.Add(coldProbeInterval), false, "the probe was answered")
}

// TestPathProbeTakesThePlaceOfTheRequest guards against a probe of the path that comes on top
// of the request and the probe of an unconfirmed server.
func TestPathProbeTakesThePlaceOfTheRequest(t *testing.T) {
	start := time.Unix(1000, 0)
	f := newColdFleet(start)
	if f.Endpoints("pool", 1, start)[0].ConnectOnly {
		t.Error("the first probe of the path sends no request")
	}
	expectSkipped(t, f, start, true, "after the probe of the path")
	if !f.Endpoints("pool", 1, start)[0].ConnectOnly {
		t.Error("the second probe of the path sends a request")
	}
}

// TestServersWithoutABoundAreNotUnconfirmed guards against probes and skipped servers where
// the configuration does not bound what cold servers get.
func TestServersWithoutABoundAreNotUnconfirmed(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, policy := range []UpstreamPolicy{{}, {ColdStart: 3 * time.Second}, {ColdRequestsPerSecond: 14}} {
		f := &Fleet{ProbeNeeded: func() { t.Errorf("%+v: a probe is asked for", policy) }}
		f.SetUpstreams(map[string]UpstreamPolicy{"pool": policy})
		f.Update(oneServer(false), start)
		for range 5 {
			placeOne(t, f, start)
		}
		if len(f.StartColdProbes(start)) != 0 {
			t.Errorf("%+v: the server is probed", policy)
		}
	}
}

// TestConfigurationAfterTheListMakesServersUnconfirmed guards against a bound that does not
// hold because the list arrived before the configuration.
func TestConfigurationAfterTheListMakesServersUnconfirmed(t *testing.T) {
	start := time.Unix(1000, 0)
	f := &Fleet{}
	f.Update(oneServer(false), start)
	f.SetUpstreams(map[string]UpstreamPolicy{"pool": {ColdStart: 3 * time.Second, ColdRequestsPerSecond: 14}})
	needsProbe(t, f, start.Add(time.Second))
	expectSkipped(t, f, start.Add(time.Second), true, "configuration after the list")
}
