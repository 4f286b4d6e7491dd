package place

import (
	"slices"
	"testing"
)

// The choice by estimates must send nothing to servers of an evacuated failure domain or
// outside the allowed regions, not even as the preferred server of a prompt's prefix.
func TestEstimatesObeyEvacuationsAndRegions(t *testing.T) {
	east := &RegionLimit{Route: []string{"east"}}
	for name, test := range map[string]struct {
		evacuated map[string]bool
		regions   *RegionLimit
		want      []string
	}{
		"everywhere":             {nil, nil, []string{"a", "b", "c"}},
		"evacuated":              {map[string]bool{"a": true, "c": true}, nil, []string{"b"}},
		"region":                 {nil, east, []string{"b"}},
		"evacuated outside":      {map[string]bool{"c": true}, east, []string{"b"}},
		"evacuated the only one": {map[string]bool{"b": true}, east, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f := engineFleet(30)
			for _, s := range f.servers {
				s.region = map[string]string{"a": "west", "b": "east"}[s.failureDomain]
			}
			f.SetEvacuated(test.evacuated, internalStart)
			var got []string
			for segment := range uint64(100) {
				q := Query{Now: internalStart, Upstream: "pool", FailureDomain: "a", Regions: test.regions,
					Prompt: &Prompt{Tokens: 20_000, Output: 100, Prefix: []PrefixSegment{{ID: segment, Tokens: 16_000}}}}
				if preferred := f.preferred(f.upstreamOf("pool"), &q); preferred != nil && !slices.Contains(test.want, preferred.failureDomain) {
					t.Errorf("%s in failure domain %s is preferred, want one in %v", preferred.id, preferred.failureDomain, test.want)
				}
				if chosen, ok := f.Pick(q).(Chosen); ok {
					got = append(got, chosen.Placement.server.failureDomain)
					chosen.Placement.Done(Unused{}, internalStart)
				}
			}
			slices.Sort(got)
			if got = slices.Compact(got); !slices.Equal(got, test.want) {
				t.Errorf("requests went to the failure domains %v, want %v", got, test.want)
			}
		})
	}
}
