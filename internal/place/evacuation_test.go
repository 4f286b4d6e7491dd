package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

// TestEvacuatedServersAreNeverPicked guards against a request or a probe for a server of an
// evacuated failure domain: when the others were tried, are ejected or full, and for servers
// that are listed only later.
func TestEvacuatedServersAreNeverPicked(t *testing.T) {
	f := &place.Fleet{}
	f.SetEvacuated(map[string]bool{"a": true}, start)
	f.Update(engines(9), start)
	now := start
	inA := []string{"e0", "e3", "e6"}
	var tried []string
	for range 6 {
		p := pick(t, f, prompt(1, 900), now, tried...)
		if slices.Contains(inA, p.ID) {
			t.Fatalf("a request went to %s, which is evacuated", p.ID)
		}
		tried = append(tried, p.ID)
		p.Done(place.Unreachable{}, now)
	}
	query := place.Query{Now: now, Upstream: "pool", FailureDomain: "a", Tried: tried}
	if decision, ok := f.Pick(query).(place.NoServer); !ok {
		t.Errorf("decision %#v once all others were tried, want NoServer", decision)
	}
	p := pick(t, f, nil, now)
	if slices.Contains(inA, p.ID) {
		t.Errorf("a request went to %s while all others are ejected", p.ID)
	}
	for _, endpoint := range f.Endpoints("pool", 9, now) {
		if slices.Contains(inA, endpoint.ID) {
			t.Errorf("%s would be probed", endpoint.ID)
		}
	}
	query = place.Query{Now: now, Upstream: "pool", Version: place.VersionLimit{Limited: true}, Tried: tried}
	if decision, ok := f.Pick(query).(place.NoServer); !ok {
		t.Errorf("decision %#v for a stream limited to one version, want NoServer", decision)
	}
}

// TestEvacuationsBeginAndEnd guards against servers that stay out of service after the
// withdrawal, and against an order for one failure domain that affects another.
func TestEvacuationsBeginAndEnd(t *testing.T) {
	f := fleet(engines(3))
	running := pick(t, f, nil, start)
	steps := []struct {
		domains map[string]bool
		change  place.EvacuationChange
		want    []string
	}{
		{map[string]bool{"b": true, "a": true}, place.EvacuationChange{Begun: []string{"a", "b"}}, []string{"e2"}},
		{map[string]bool{"b": true, "a": true}, place.EvacuationChange{}, []string{"e2"}},
		{map[string]bool{"a": true, "b": true, "c": true}, place.EvacuationChange{Begun: []string{"c"}}, nil},
		{map[string]bool{"a": true}, place.EvacuationChange{Ended: []string{"b", "c"}}, []string{"e1", "e2"}},
		{nil, place.EvacuationChange{Ended: []string{"a"}}, []string{"e0", "e1", "e2"}},
	}
	for i, step := range steps {
		change := f.SetEvacuated(step.domains, start)
		if fmt.Sprint(change) != fmt.Sprint(step.change) {
			t.Errorf("step %d: got change %v, want %v", i, change, step.change)
		}
		var got []string
		for _, endpoint := range f.Endpoints("pool", 9, start) {
			got = append(got, endpoint.ID)
		}
		slices.Sort(got)
		if !slices.Equal(got, step.want) {
			t.Errorf("step %d: servers in use %v, want %v", i, got, step.want)
		}
		if all := f.IsEvacuated("pool", place.VersionLimit{}, nil); all != (step.want == nil) {
			t.Errorf("step %d: got all evacuated %v", i, all)
		}
		counts := f.Counts(start)
		if counts.Ready != len(step.want) || counts.Evacuated != 3-len(step.want) || counts.EvacuatedDomains != len(step.domains) {
			t.Errorf("step %d: got counts %+v", i, counts)
		}
	}
	running.Done(place.Served{}, start)
	if f.Counts(start).InFlight != 0 {
		t.Error("a request that ran during an evacuation is still counted")
	}
}

// TestEndOfEvacuatedServersIsNoLostPath guards against an entry that believes to have lost
// its path when the servers of an evacuated failure domain are shut down under their last
// requests.
func TestEndOfEvacuatedServersIsNoLostPath(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		f := fleet(engines(9))
		var placements []*place.Placement
		var tried []string
		for range 9 {
			p := pick(t, f, nil, start, tried...)
			tried = append(tried, p.ID)
			if p.ID == "e0" || p.ID == "e3" || p.ID == "e6" {
				placements = append(placements, p)
				continue
			}
			p.Done(place.Unused{}, start)
		}
		if evacuated {
			f.SetEvacuated(map[string]bool{"a": true}, start)
		}
		later := start.Add(100 * time.Millisecond)
		for _, p := range placements {
			p.Done(place.Failed{}, later)
		}
		if broken := len(f.BrokenPaths(later)) > 0; broken == evacuated {
			t.Errorf("evacuated %v: got broken path %v", evacuated, broken)
		}
	}
}
