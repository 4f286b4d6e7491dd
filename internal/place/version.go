package place

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// VersionLimit limits a placement to servers of one software version. Its zero value
// allows every version.
type VersionLimit struct {
	Limited bool
	Version string
}

// allows reports whether the limit allows a server of the given version.
func (l VersionLimit) allows(version string) bool {
	return !l.Limited || l.Version == version
}

// versionHistory remembers which software versions the servers of each upstream had. Its
// zero value is ready to use.
type versionHistory struct {
	// since is when the first list arrived.
	since time.Time
	// seen holds, by upstream and version, until when the version was listed; zero while
	// it still is.
	seen map[string]map[string]time.Time
}

// update records a new list.
func (h *versionHistory) update(list []instances.Instance, now time.Time) {
	if h.seen == nil {
		h.since = now
		h.seen = make(map[string]map[string]time.Time)
	}
	for _, versions := range h.seen {
		for version, until := range versions {
			if until.IsZero() {
				versions[version] = now
			}
		}
	}
	for _, instance := range list {
		versions := h.seen[instance.Upstream]
		if versions == nil {
			versions = make(map[string]time.Time)
			h.seen[instance.Upstream] = versions
		}
		versions[instance.Version] = time.Time{}
	}
}

// sole returns the only version that the upstream's servers had in the given time before
// now, or false if there were several or the history is shorter than that. It forgets
// versions that were last listed before.
func (h *versionHistory) sole(upstream string, within time.Duration, now time.Time) (version string, ok bool) {
	from := now.Add(-within)
	if h.seen == nil || h.since.After(from) {
		return "", false
	}
	versions := h.seen[upstream]
	for v, until := range versions {
		if !until.IsZero() && until.Before(from) {
			delete(versions, v)
			continue
		}
		version = v
	}
	return version, len(versions) == 1
}

// has reports whether the upstream had servers in the given time before now.
func (h *versionHistory) has(upstream string, within time.Duration, now time.Time) bool {
	from := now.Add(-within)
	for _, until := range h.seen[upstream] {
		if until.IsZero() || !until.Before(from) {
			return true
		}
	}
	return false
}

// HadServers reports whether an upstream's servers were listed in the given time before now,
// as far as the fleet has been known.
func (f *Fleet) HadServers(upstream string, within time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions.has(upstream, within, now)
}

// SoleVersion returns the only software version that an upstream's servers have had in
// the given time before now. It returns false if they had several, or if the fleet has
// not been known for so long.
func (f *Fleet) SoleVersion(upstream string, within time.Duration, now time.Time) (version string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions.sole(upstream, within, now)
}
