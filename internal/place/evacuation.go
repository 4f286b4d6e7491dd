package place

import (
	"maps"
	"slices"
	"time"
)

// EvacuationChange holds the sorted names of the failure domains whose evacuation began or
// ended.
type EvacuationChange struct {
	Begun []string
	Ended []string
}

// CompareEvacuations returns the change between two sets of evacuated failure domains.
func CompareEvacuations(before, after map[string]bool) EvacuationChange {
	return EvacuationChange{Begun: namesMissing(after, before), Ended: namesMissing(before, after)}
}

// evacuations holds which failure domains are evacuated. Its zero value has none.
type evacuations struct {
	domains map[string]bool
}

// SetEvacuated replaces the failure domains that are evacuated: their servers get no
// requests and no probes. Requests that run there are not affected. Servers of a failure
// domain that is no longer evacuated count as cold. It returns what has changed.
func (f *Fleet) SetEvacuated(domains map[string]bool, now time.Time) EvacuationChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	change := f.evacuations.set(domains)
	for _, domain := range change.Ended {
		f.markDomainCold(domain, now)
	}
	return change
}

func (e *evacuations) set(domains map[string]bool) EvacuationChange {
	change := CompareEvacuations(e.domains, domains)
	e.domains = maps.Clone(domains)
	return change
}

// namesMissing returns the sorted names that are set in one map and not in the other.
func namesMissing(in, from map[string]bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(in)) {
		if in[name] && !from[name] {
			names = append(names, name)
		}
	}
	return names
}

// isEvacuated reports whether the failure domain of a server is evacuated; mu is held.
func (f *Fleet) isEvacuated(s *server) bool {
	return f.evacuations.domains[s.failureDomain]
}

// IsEvacuated reports whether an upstream has servers of the given version in allowed regions
// and all of them are in evacuated failure domains.
func (f *Fleet) IsEvacuated(upstream string, version VersionLimit, regions *RegionLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.evacuations.domains) == 0 {
		return false
	}
	evacuated := false
	for _, s := range f.servers {
		if s.upstream != upstream || s.leaving || !version.allows(s.version) || !regions.Allows(s.region) {
			continue
		}
		if !f.isEvacuated(s) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// IsEvacuated reports whether the server's failure domain is evacuated.
func (p *Placement) IsEvacuated() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return !p.Peer && p.fleet.isEvacuated(p.server)
}
