package place

import "slices"

// RegionLimit limits a placement to servers in regions that both the route and the workspace
// of the request allow. An empty list allows every region that is known. A nil limit allows
// every server.
type RegionLimit struct {
	Route     []string
	Workspace []string
}

// NewRegionLimit returns the limit by the regions that a route and a workspace allow; nil if
// neither names any.
func NewRegionLimit(route, workspace []string) *RegionLimit {
	if len(route) == 0 && len(workspace) == 0 {
		return nil
	}
	return &RegionLimit{Route: route, Workspace: workspace}
}

// Allows reports whether servers of a region may be chosen. An empty name stands for an
// unknown region.
func (l *RegionLimit) Allows(region string) bool {
	return l == nil || l.names(region)
}

// names reports whether a limit that is not nil allows a region. It is apart from Allows so
// that the compiler inlines the check for nil in placements.
func (l *RegionLimit) names(region string) bool {
	return region != "" && listAllows(l.Route, region) && listAllows(l.Workspace, region)
}

func listAllows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// HasAllowed reports whether a server of the upstream and version is in an allowed region.
// Servers that are about to stop don't count.
func (f *Fleet) HasAllowed(upstream string, version VersionLimit, regions *RegionLimit) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.upstream == upstream && !s.leaving && version.allows(s.version) && regions.Allows(s.region) {
			return true
		}
	}
	return false
}
