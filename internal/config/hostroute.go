package config

import (
	"strings"

	"github.com/cactusbay/cactusbay/internal/check"
)

// Repetitions of a host route: what may be done with its requests again.
const (
	// RepeatIdempotent requests may run more than once.
	RepeatIdempotent = "idempotent"
	// RepeatOnce requests run at most once an attempt of the caller.
	RepeatOnce = "once"
	// RepeatStream answers are event streams; they run once unless the route
	// is resumable.
	RepeatStream = "stream"
)

// HostRoute sends the requests of one host below one path to upstreams. Their
// bodies are passed on unread.
type HostRoute struct {
	// Name is the operators' name of the route, for logs and metrics.
	Name       string `json:"name,omitempty"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	// Repetition is one of idempotent, once and stream.
	Repetition string `json:"repetition"`
	// Timeout bounds the time to the end of the answer.
	Timeout *check.Duration `json:"timeout"`
	// LatencyTarget is the time to the first byte of a good answer.
	LatencyTarget *check.Duration `json:"latency_target,omitempty"`
	// EventGapTarget is the longest pause between events of a good answer.
	EventGapTarget *check.Duration `json:"event_gap_target,omitempty"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Upstreams share the requests by their weights.
	Upstreams []WeightedUpstream `json:"upstreams"`
	// MaxAttempts bounds the backend servers that one request may run on.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Public routes need no caller's key.
	Public bool `json:"public,omitempty"`
	// PromptCache tells that requests name the parts of their prompts, which
	// backend servers keep.
	PromptCache bool `json:"prompt_cache,omitempty"`
	// Resumable streams may go on at another backend server.
	Resumable bool `json:"resumable,omitempty"`
}

// WeightedUpstream is an upstream's share of a route's requests.
type WeightedUpstream struct {
	Upstream string `json:"upstream"`
	Weight   int    `json:"weight"`
}

// Upstream is a set of interchangeable backend servers, which the list of
// instances names.
type Upstream struct {
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is what one backend server accepts from all callers.
	MaxConnections int `json:"max_connections,omitempty"`
	// Engine is set when the backend servers run a model.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of an upstream.
type Engine struct {
	// Slots are the sequences that one engine runs at once.
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the memory of one engine, in tokens.
	CacheTokens int64 `json:"cache_tokens,omitempty"`
	// EventTokens is the most tokens that one event of a stream holds.
	EventTokens int64 `json:"event_tokens,omitempty"`
}

// HostRouteKey is the name of a host route in a document: its host and prefix.
func HostRouteKey(host, pathPrefix string) string {
	return host + pathPrefix
}

func (d *Document) validateHostRoutes(faults *check.Faults) {
	for _, key := range sortedNames(d.HostRoutes) {
		d.validateHostRoute("host_routes."+key, key, d.HostRoutes[key], faults)
	}
	for _, name := range sortedNames(d.Upstreams) {
		if d.Upstreams[name].MaxConnections < 0 {
			faults.Add("upstreams."+name+".max_connections", "must be 1 or more")
		}
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
