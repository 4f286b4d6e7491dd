package forward

import "github.com/cactusbay/cactusbay/internal/place"

// regions returns the limit on the regions of the servers that requests of a workspace may go
// to.
func (r *Route) regions(w *Workspace) *place.RegionLimit {
	if w == nil {
		return place.NewRegionLimit(r.AllowedRegions, nil)
	}
	return place.NewRegionLimit(r.AllowedRegions, w.AllowedRegions)
}

// isOutsideRegions reports whether the upstream has servers, but none in a region that the
// request may go to. Other entries have the same list of servers.
func (t *task) isOutsideRegions() bool {
	if t.regions == nil {
		return false
	}
	fleet := t.server.Fleet
	return !fleet.HasAllowed(t.upstream, t.version, t.regions) && fleet.HasAllowed(t.upstream, t.version, nil)
}

// mayRelay reports whether the request may be passed to any other entry.
func (t *task) mayRelay() bool {
	return t.regions == nil || mayRelay(t.regions, t.server.Region, t.server.Fleet.Regions)
}

// mayRelay reports whether a request with the given limit may be passed to any other entry by
// an entry of the region own. Another entry must be in an allowed region or in that of this
// entry. As entries know only the addresses of each other, that must hold for all failure
// domains of the site.
func mayRelay(limit *place.RegionLimit, own string, regionOf map[string]string) bool {
	for _, region := range regionOf {
		if region == "" || region != own && !limit.Allows(region) {
			return false
		}
	}
	return len(regionOf) > 0
}
