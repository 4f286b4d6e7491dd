package gossip

import (
	"sync"
	"time"
)

const (
	// versionTTL is how long the version of a stream is kept at least.
	versionTTL = 30 * time.Second
	// maxVersions bounds the streams whose versions an entry keeps.
	maxVersions = 65536
	// maxGeneration is the number of streams at which a generation is full.
	maxGeneration = maxVersions / 2
)

// versionTable maps the attempts that began streams to software versions. It
// keeps each for versionTTL to twice versionTTL, or until maxGeneration newer
// ones are known. The zero value is empty and ready to use.
type versionTable struct {
	mu sync.Mutex
	// current receives new streams; older is the generation before it.
	current, older map[string]string
	// rotated is when current was started.
	rotated time.Time
}

// add records the version of an attempt and returns the version kept: the first
// one recorded. A repeated record keeps the attempt for another versionTTL.
func (t *versionTable) add(attempt, version string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	kept, found := t.current[attempt]
	if found {
		return kept
	}
	kept, found = t.older[attempt]
	if !found {
		kept = version
	}
	if t.current == nil || len(t.current) >= maxGeneration {
		t.rotate(now)
	}
	t.current[attempt] = kept
	return kept
}

// lookup returns the version of an attempt, and false if there is none.
func (t *versionTable) lookup(attempt string, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	version, found := t.current[attempt]
	if !found {
		version, found = t.older[attempt]
	}
	return version, found
}

// expire drops the generations that have ended; mu is held.
func (t *versionTable) expire(now time.Time) {
	age := now.Sub(t.rotated)
	if age < versionTTL {
		return
	}
	t.rotate(now)
	if age >= 2*versionTTL {
		t.older = nil
	}
}

// rotate starts a new generation and drops the oldest; mu is held.
func (t *versionTable) rotate(now time.Time) {
	t.older = t.current
	t.current = make(map[string]string)
	t.rotated = now
}
