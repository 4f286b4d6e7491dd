package place

import (
	"maps"
	"time"
)

// UpstreamPolicy is what the configuration states about the servers of an upstream. Its
// zero value asks for nothing.
type UpstreamPolicy struct {
	// ColdStart is how long a server is cold after its start.
	ColdStart time.Duration
	// ColdRequestsPerSecond is how many requests a second a cold server takes from all
	// entries together; 0 means no bound.
	ColdRequestsPerSecond float64
}

// SetUpstreams replaces what the configuration states about the servers of each upstream.
func (f *Fleet) SetUpstreams(policies map[string]UpstreamPolicy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policies = maps.Clone(policies)
}
