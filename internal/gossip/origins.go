package gossip

import (
	"sync"
	"time"
)

const (
	// originTTL is how long the origin of a stream is kept at least.
	originTTL = time.Minute
	// maxOrigins bounds the streams whose origins an entry keeps.
	maxOrigins = 65536
	// maxGeneration is the number of streams at which a generation is full.
	maxGeneration = maxOrigins / 2
)

// originTable maps the attempts that began streams to origins. It keeps each for
// originTTL to twice originTTL, or until maxGeneration newer ones are known. The zero
// value is empty and ready to use.
type originTable struct {
	mu sync.Mutex
	// current receives new streams; older is the generation before it.
	current, older map[string]string
	// rotated is when current was started.
	rotated time.Time
}

// add records the origin of an attempt and returns the origin kept: the first
// one recorded. A repeated record keeps the attempt for another originTTL.
func (t *originTable) add(attempt, origin string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	kept, found := t.current[attempt]
	if found {
		return kept
	}
	kept, found = t.older[attempt]
	if !found {
		kept = origin
	}
	if t.current == nil || len(t.current) >= maxGeneration {
		t.rotate(now)
	}
	t.current[attempt] = kept
	return kept
}

// lookup returns the origin of an attempt, and false if there is none.
func (t *originTable) lookup(attempt string, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	origin, found := t.current[attempt]
	if !found {
		origin, found = t.older[attempt]
	}
	return origin, found
}

// expire drops the generations that have ended; mu is held.
func (t *originTable) expire(now time.Time) {
	age := now.Sub(t.rotated)
	if age < originTTL {
		return
	}
	t.rotate(now)
	if age >= 2*originTTL {
		t.older = nil
	}
}

// rotate starts a new generation and drops the oldest; mu is held.
func (t *originTable) rotate(now time.Time) {
	t.older = t.current
	t.current = make(map[string]string)
	t.rotated = now
}
