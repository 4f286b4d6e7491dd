package place_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

// regionsOfDomains leaves the region of failure domain c unknown.
var regionsOfDomains = map[string]string{"a": "north", "b": "south"}

// TestRegionLimitAllows guards against a limit that is ignored, one that applies to requests
// without allowed regions, and servers of unknown regions that a limited request may go to.
func TestRegionLimitAllows(t *testing.T) {
	for _, c := range []struct {
		route, workspace []string
		want             []string
	}{
		{nil, nil, []string{"", "north", "south"}},
		{[]string{"north"}, nil, []string{"north"}},
		{nil, []string{"south"}, []string{"south"}},
		{[]string{"north", "south"}, []string{"east", "south"}, []string{"south"}},
		{[]string{"north"}, []string{"south"}, nil},
		{[]string{"North"}, nil, nil},
	} {
		limit := place.NewRegionLimit(c.route, c.workspace)
		if (limit == nil) != (c.route == nil && c.workspace == nil) {
			t.Errorf("route %v, workspace %v: limit %v, want none only without regions", c.route, c.workspace, limit)
		}
		var allowed []string
		for _, region := range []string{"", "north", "south"} {
			if limit.Allows(region) {
				allowed = append(allowed, region)
			}
		}
		if !slices.Equal(allowed, c.want) {
			t.Errorf("route %v, workspace %v: allows %q, want %q", c.route, c.workspace, allowed, c.want)
		}
	}
}

// TestServersOutsideAllowedRegionsAreNeverPicked guards against a request for a server of
// another region, or of an unknown one: when those of the allowed region were tried, are
// ejected, full or evacuated, when another server prefers the prompt, and when a stream is
// limited to one version.
func TestServersOutsideAllowedRegionsAreNeverPicked(t *testing.T) {
	for name, c := range map[string]struct {
		limit  *place.RegionLimit
		inside []string
	}{
		"by the route":     {place.NewRegionLimit([]string{"north"}, nil), []string{"e0", "e3", "e6"}},
		"by the workspace": {place.NewRegionLimit(nil, []string{"south"}), []string{"e1", "e4", "e7"}},
		"by both":          {place.NewRegionLimit([]string{"north", "south"}, []string{"south"}), []string{"e1", "e4", "e7"}},
		"to nothing":       {place.NewRegionLimit([]string{"north"}, []string{"south"}), nil},
		"to no server":     {place.NewRegionLimit([]string{"east"}, nil), nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := &place.Fleet{Regions: regionsOfDomains}
			f.Update(engines(9), start)
			if got := f.HasAllowed("pool", place.VersionLimit{}, c.limit); got != (c.inside != nil) {
				t.Errorf("has allowed servers: %v", got)
			}
			var tried []string
			for segment := uint64(1); ; segment++ {
				query := place.Query{Now: start, Upstream: "pool", FailureDomain: "b", Prompt: prompt(segment, 900), Regions: c.limit, Tried: tried}
				chosen, ok := f.Pick(query).(place.Chosen)
				if !ok {
					break
				}
				if !slices.Contains(c.inside, chosen.Placement.ID) {
					t.Fatalf("a request went to %s, want one of %v", chosen.Placement.ID, c.inside)
				}
				tried = append(tried, chosen.Placement.ID)
				chosen.Placement.Done(place.Unreachable{}, start)
			}
			if len(tried) != len(c.inside) {
				t.Errorf("requests went to %v, want all of %v", tried, c.inside)
			}
			query := place.Query{Now: start, Upstream: "pool", Version: place.VersionLimit{Limited: true}, Regions: c.limit, Tried: tried}
			if decision, ok := f.Pick(query).(place.NoServer); !ok {
				t.Errorf("decision %#v for a stream, want NoServer", decision)
			}
		})
	}
}

// TestFullServersOfAllowedRegions guards against a request that goes to another region
// because the servers of the allowed one are full, and against one that is told that there is
// no server.
func TestFullServersOfAllowedRegions(t *testing.T) {
	f := &place.Fleet{Regions: regionsOfDomains}
	f.Update(engines(3), start)
	pick(t, f, nil, start).HoldOff(start.Add(time.Second))
	query := place.Query{Now: start, Upstream: "pool", FailureDomain: "a", Regions: place.NewRegionLimit([]string{"north"}, nil)}
	if decision, ok := f.Pick(query).(place.Full); !ok {
		t.Errorf("decision %#v, want Full", decision)
	}
	query.Regions = nil
	if decision, ok := f.Pick(query).(place.Chosen); !ok {
		t.Errorf("decision %#v without a limit, want Chosen", decision)
	}
}

// TestEvacuationOfAllAllowedServers guards against a request that is said to have no server
// in its regions, or is passed on, while these are evacuated.
func TestEvacuationOfAllAllowedServers(t *testing.T) {
	f := &place.Fleet{Regions: regionsOfDomains}
	f.Update(engines(9), start)
	f.SetEvacuated(map[string]bool{"a": true}, start)
	for region, want := range map[string]bool{"north": true, "south": false, "east": false} {
		if got := f.IsEvacuated("pool", place.VersionLimit{}, place.NewRegionLimit([]string{region}, nil)); got != want {
			t.Errorf("evacuated for requests to %s: %v, want %v", region, got, want)
		}
	}
	limit := place.NewRegionLimit([]string{"north"}, nil)
	if decision, ok := f.Pick(place.Query{Now: start, Upstream: "pool", Regions: limit}).(place.NoServer); !ok {
		t.Errorf("decision %#v while the allowed region is evacuated, want NoServer", decision)
	}
}
