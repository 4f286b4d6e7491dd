package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/place"
)

// Table is a configuration compiled for lookups. It is immutable.
type Table struct {
	// Release is the number that the operators gave the configuration.
	Release uint64
	// Version is the number that the control group gave the configuration.
	Version uint64
	// hosts holds the routes of each host, ordered by their keys, so that tables with the
	// same routes are equal.
	hosts      map[string][]*Route
	workspaces map[string]*Workspace
	// healthPaths holds the paths of the health checks by upstream.
	healthPaths map[string]string
	// policies holds what the configuration states about the servers of each upstream.
	policies map[string]place.UpstreamPolicy
	Limits   config.Limits
	// requiresKeys is set if callers must present a key on routes that are not
	// public.
	requiresKeys bool
}

// Route is a host route with its timeout and token settings resolved.
type Route struct {
	config.HostRoute
	Timeout time.Duration
	// EventTokens is the maximum number of tokens in one event of a response.
	EventTokens int64
}

// Workspace holds the settings of a workspace that requests need.
type Workspace struct {
	Name string
	// Priority replaces the route's priority unless it is nil.
	Priority *int
	// Budgeted is set if the workspace has a budget.
	Budgeted bool
	// AllowedRegions limits the regions of the servers unless it is empty.
	AllowedRegions []string
}

// NewTable compiles a configuration that config.Parse has validated.
func NewTable(version uint64, document *config.Document) *Table {
	t := &Table{
		Release:      document.Release,
		Version:      version,
		hosts:        make(map[string][]*Route),
		workspaces:   make(map[string]*Workspace),
		healthPaths:  make(map[string]string),
		policies:     make(map[string]place.UpstreamPolicy),
		Limits:       document.Limits,
		requiresKeys: len(document.Workspaces) > 0,
	}
	for _, key := range slices.Sorted(maps.Keys(document.HostRoutes)) {
		hostRoute := document.HostRoutes[key]
		route := &Route{HostRoute: hostRoute, Timeout: time.Duration(*hostRoute.Timeout)}
		for _, weighted := range hostRoute.Upstreams {
			engine := document.Upstreams[weighted.Upstream].Engine
			if engine != nil {
				route.EventTokens = max(route.EventTokens, engine.EventTokens)
			}
		}
		host := strings.ToLower(hostRoute.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for name, upstream := range document.Upstreams {
		t.healthPaths[name] = upstream.HealthPath
		t.policies[name] = upstreamPolicy(upstream)
	}
	for name, workspace := range document.Workspaces {
		w := &Workspace{Name: name, Priority: workspace.Priority, Budgeted: workspace.Budget != nil, AllowedRegions: workspace.AllowedRegions}
		for _, hash := range workspace.KeyHashes {
			t.workspaces[hash] = w
		}
	}
	return t
}

// upstreamPolicy returns what the configuration states about the servers of an upstream.
func upstreamPolicy(upstream config.Upstream) place.UpstreamPolicy {
	policy := place.UpstreamPolicy{
		ColdStart:             upstream.ColdStart.Or(0),
		ColdRequestsPerSecond: upstream.ColdRequestsPerSecond,
	}
	if upstream.Engine != nil {
		policy.CacheTokens = upstream.Engine.CacheTokens
	}
	return policy
}

// Route returns the route of host with the longest path prefix that matches
// path, or nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	var best *Route
	for _, route := range t.hosts[strings.ToLower(host)] {
		longer := best == nil || len(route.PathPrefix) > len(best.PathPrefix)
		if longer && strings.HasPrefix(path, route.PathPrefix) {
			best = route
		}
	}
	return best
}

// Workspace returns the workspace that a caller's key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.workspaces[config.HashKey(key)]
}

// budgetedWorkspaces returns the sorted names of the workspaces with budgets.
func (t *Table) budgetedWorkspaces() []string {
	names := make(map[string]bool)
	for _, workspace := range t.workspaces {
		if workspace.Budgeted {
			names[workspace.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Upstream picks one of the route's upstreams at random by weight.
func (r *Route) Upstream() string {
	total := 0
	for _, weighted := range r.Upstreams {
		total += weighted.Weight
	}
	pick := rand.IntN(total)
	for _, weighted := range r.Upstreams {
		pick -= weighted.Weight
		if pick < 0 {
			return weighted.Upstream
		}
	}
	return r.Upstreams[len(r.Upstreams)-1].Upstream
}

// allowsUpstream reports whether the route sends requests to the upstream.
func (r *Route) allowsUpstream(upstream string) bool {
	return slices.ContainsFunc(r.Upstreams, func(weighted config.WeightedUpstream) bool {
		return weighted.Upstream == upstream && weighted.Weight > 0
	})
}

// maxAttempts returns how many attempts of one request may run at backend
// servers.
func (r *Route) maxAttempts() int {
	return max(1, r.MaxAttempts)
}

// retriable reports whether a request that may have run may be retried.
func (r *Route) retriable() bool {
	return r.Repetition == config.RepeatIdempotent || r.Repetition == config.RepeatStream && r.Resumable
}

// priority returns the priority of a request: the workspace's, if set, or the
// route's. 0 is the most urgent.
func (r *Route) priority(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
