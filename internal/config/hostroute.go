package config

import (
	"strings"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Repetitions of a host route, which state whether its requests may run again.
const (
	// RepeatIdempotent requests may run more than once.
	RepeatIdempotent = "idempotent"
	// RepeatOnce requests run at most once for each attempt of the caller.
	RepeatOnce = "once"
	// RepeatStream responses are event streams. Their requests run once, unless
	// the route is resumable.
	RepeatStream = "stream"
)

// HostRoute sends the requests for one host and path prefix to upstreams. It
// passes their bodies on without parsing them.
type HostRoute struct {
	// Name identifies the route in logs and metrics.
	Name       string `json:"name,omitempty"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	// Repetition is RepeatIdempotent, RepeatOnce or RepeatStream.
	Repetition string `json:"repetition"`
	// Timeout bounds the time to the end of the response.
	Timeout *check.Duration `json:"timeout"`
	// LatencyTarget is the longest acceptable time to the first byte of a
	// response.
	LatencyTarget *check.Duration `json:"latency_target,omitempty"`
	// EventGapTarget is the longest acceptable pause between the events of a
	// stream.
	EventGapTarget *check.Duration `json:"event_gap_target,omitempty"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Upstreams receive the requests in proportion to their weights.
	Upstreams []WeightedUpstream `json:"upstreams"`
	// MaxAttempts bounds the backend servers that one request may run on.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Public routes need no caller's key.
	Public bool `json:"public,omitempty"`
	// PromptCache means that requests carry identifiers of their prompt
	// prefixes, which backend servers cache.
	PromptCache bool `json:"prompt_cache,omitempty"`
	// Resumable means that a broken stream may be resumed on another backend
	// server.
	Resumable bool `json:"resumable,omitempty"`
	// AllowedRegions are the regions of the backend servers that requests may go to; empty
	// means any. If the workspace names regions as well, both limits apply.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// WeightedUpstream is an upstream with its relative weight among those of a
// route.
type WeightedUpstream struct {
	Upstream string `json:"upstream"`
	Weight   int    `json:"weight"`
}

// Upstream is a set of interchangeable backend servers. The list of instances
// names its members.
type Upstream struct {
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is how many connections one backend server accepts from
	// all callers together.
	MaxConnections int `json:"max_connections,omitempty"`
	// Engine is set if the backend servers run a model.
	Engine *Engine `json:"engine,omitempty"`
	// ColdStart is how long a backend server is cold after its start; nil means never.
	ColdStart *check.Duration `json:"cold_start,omitempty"`
	// ColdRequestsPerSecond is how many requests a second a cold backend server takes from
	// all entries together; 0 means no bound.
	ColdRequestsPerSecond float64 `json:"cold_requests_per_second,omitempty"`
}

// Engine describes the model engines of an upstream.
type Engine struct {
	// Slots is how many sequences one engine runs at once.
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the capacity of one engine's KV cache, in tokens.
	CacheTokens int64 `json:"cache_tokens,omitempty"`
	// EventTokens is the maximum number of tokens in one event of a stream.
	EventTokens int64 `json:"event_tokens,omitempty"`
}

// HostRouteKey returns the key of a host route in Document.HostRoutes: its host
// followed by its path prefix.
func HostRouteKey(host, pathPrefix string) string {
	return host + pathPrefix
}

func (d *Document) validateHostRoutes(faults *check.Faults, order nameOrder) {
	for _, key := range namesOf(d.HostRoutes, order) {
		d.validateHostRoute("host_routes."+key, key, d.HostRoutes[key], faults)
	}
	for _, name := range namesOf(d.Upstreams, order) {
		validateUpstream("upstreams."+name, d.Upstreams[name], faults)
	}
}

func validateUpstream(path string, upstream Upstream, faults *check.Faults) {
	if upstream.MaxConnections < 0 {
		faults.Add(path+".max_connections", "must be 1 or more")
	}
	if upstream.ColdStart != nil && *upstream.ColdStart < 0 {
		faults.Add(path+".cold_start", "must not be below zero")
	}
	if upstream.ColdRequestsPerSecond < 0 {
		faults.Add(path+".cold_requests_per_second", "must not be below zero")
	}
}

func (d *Document) validateHostRoute(path, key string, route HostRoute, faults *check.Faults) {
	if key != HostRouteKey(route.Host, route.PathPrefix) {
		faults.Add(path, "must be named by its host and path prefix, %q", HostRouteKey(route.Host, route.PathPrefix))
	}
	if route.Host == "" {
		faults.Add(path+".host", "is missing: write the host's name")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		faults.Add(path+".path_prefix", "must begin and end with a slash")
	}
	checkOneOf(path+".repetition", route.Repetition, faults, RepeatIdempotent, RepeatOnce, RepeatStream)
	if route.Timeout == nil || *route.Timeout <= 0 {
		faults.Add(path+".timeout", `must be above zero, such as "2s"`)
	}
	d.validateWeightedUpstreams(path+".upstreams", route.Upstreams, faults)
	if route.MaxAttempts < 0 {
		faults.Add(path+".max_attempts", "must be 1 or more")
	}
	validateRegions(path+".allowed_regions", route.AllowedRegions, faults)
}

func (d *Document) validateWeightedUpstreams(path string, upstreams []WeightedUpstream, faults *check.Faults) {
	total := 0
	for _, upstream := range upstreams {
		_, known := d.Upstreams[upstream.Upstream]
		if !known {
			faults.Add(path, "names the upstream %q, which is not under upstreams", upstream.Upstream)
		}
		if upstream.Weight < 0 {
			faults.Add(path, "holds a weight below zero")
		}
		total += upstream.Weight
	}
	if total <= 0 {
		faults.Add(path, "must hold weights that add up to more than zero")
	}
}
