package place

import (
	"slices"
	"strings"
	"time"
)

// slowdownTTL is how long an upstream's servers count as stating a slowdown after one of
// them last did.
const slowdownTTL = 30 * time.Second

// UpstreamPolicy is what the configuration states about the servers of an upstream. Zero
// values ask for nothing.
type UpstreamPolicy struct {
	// CacheTokens is the number of tokens that the memory of one engine holds.
	CacheTokens int64
	// ColdStart is how long a server is cold after its start.
	ColdStart time.Duration
	// ColdRequestsPerSecond is how many requests a second a cold server takes from all
	// entries together; 0 means no bound.
	ColdRequestsPerSecond float64
}

// upstreamState is what the fleet knows of the servers of an upstream in common. Its zero
// value knows nothing.
type upstreamState struct {
	policy UpstreamPolicy
	// slowdownStatedAt is when a server last stated a slowdown.
	slowdownStatedAt time.Time
	// adaptive is set if it was last reported that the servers are chosen by estimates.
	adaptive bool
	// pace is how much slower than engineSpeed the engines are in the mean.
	pace pace
	// holdTime and firstEventTime are means over this entry's requests.
	holdTime       meanTime
	firstEventTime meanTime
	// held is what running requests hold of an engine's memory, and segmentTokens the mean
	// length of a prefix segment.
	held          meanHeld
	segmentTokens float64
	// firstSegments counts the recent prompts by the first segment of their prefix.
	firstSegments firstSegments
	// room is what this entry keeps free for urgent requests.
	room room
	// typical is the mean load of the servers.
	typical typicalLoad
	// servers are the listed servers of the upstream, sorted by id.
	servers []*server
}

// SetUpstreams replaces what the configuration states about upstreams.
func (f *Fleet) SetUpstreams(policies map[string]UpstreamPolicy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, u := range f.upstreams {
		u.policy = policies[name]
	}
	for name, policy := range policies {
		f.upstreamOf(name).policy = policy
	}
}

// upstreamOf returns the state of an upstream; mu is held.
func (f *Fleet) upstreamOf(name string) *upstreamState {
	u := f.upstreams[name]
	if u == nil {
		if f.upstreams == nil {
			f.upstreams = make(map[string]*upstreamState)
		}
		u = &upstreamState{}
		f.upstreams[name] = u
	}
	return u
}

// groupServers sorts the listed servers by upstream; mu is held.
func (f *Fleet) groupServers() {
	for _, u := range f.upstreams {
		u.servers = u.servers[:0]
	}
	for _, s := range f.servers {
		u := f.upstreamOf(s.upstream)
		u.servers = append(u.servers, s)
	}
	for _, u := range f.upstreams {
		slices.SortFunc(u.servers, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	}
}

// StatesSlowdown reports whether a server of any upstream has stated a slowdown within
// slowdownTTL.
func (f *Fleet) StatesSlowdown(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if u.statesSlowdown(now) {
			return true
		}
	}
	return false
}

// statesSlowdown reports whether a server of the upstream has stated a slowdown within
// slowdownTTL.
func (u *upstreamState) statesSlowdown(now time.Time) bool {
	return !u.slowdownStatedAt.IsZero() && now.Sub(u.slowdownStatedAt) < slowdownTTL
}

// isAdaptive reports whether the servers of an upstream are chosen by estimates of their
// load and speed; mu is held.
func (f *Fleet) isAdaptive(u *upstreamState, now time.Time) bool {
	return f.Adaptive || u.statesSlowdown(now)
}
