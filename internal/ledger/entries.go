package ledger

import (
	"strings"
	"time"
)

// entryTimeout is the silence after which an entry's incarnation counts as
// ended.
const entryTimeout = 10 * time.Second

// entryTracker are the incarnations of entry instances that were heard of; the zero
// value works.
type entryTracker struct {
	lastSeen map[string]time.Time
	// newest holds the newest incarnation of each instance.
	newest map[string]string
}

// observe notes a sign of life of an entry, "instance/incarnation". Incarnations
// of one instance sort by the time of their start.
func (e *entryTracker) observe(entry string, at time.Time) {
	if e.lastSeen == nil {
		e.lastSeen = make(map[string]time.Time)
		e.newest = make(map[string]string)
	}
	e.lastSeen[entry] = at
	instance := instanceOf(entry)
	if entry > e.newest[instance] {
		e.newest[instance] = entry
	}
}

// isReplaced tells whether a newer incarnation of the instance was heard of,
// after which the older one certainly dispatches nothing.
func (e *entryTracker) isReplaced(entry string) bool {
	return e.newest[instanceOf(entry)] > entry
}

// hasEnded tells whether the incarnation was replaced or fell silent. One that
// was not heard of since the ledger opened counts from then.
func (e *entryTracker) hasEnded(entry string, openedAt, at time.Time) bool {
	if e.isReplaced(entry) {
		return true
	}
	last, found := e.lastSeen[entry]
	if !found {
		last = openedAt
	}
	return at.Sub(last) > entryTimeout
}

// expire drops incarnations that were silent for longer than the retention.
func (e *entryTracker) expire(at time.Time) {
	for entry, last := range e.lastSeen {
		if at.Sub(last) <= retention {
			continue
		}
		delete(e.lastSeen, entry)
		if e.newest[instanceOf(entry)] == entry {
			delete(e.newest, instanceOf(entry))
		}
	}
}

func instanceOf(entry string) string {
	instance, _, _ := strings.Cut(entry, "/")
	return instance
}
