package ledger

import (
	"strings"
	"time"
)

// entryTimeout is the time without a heartbeat or reservation after which an
// epoch of an entry counts as ended.
const entryTimeout = 10 * time.Second

// entryTracker tracks the epochs of entry instances: each one is one run of an
// entry process. The zero value is ready to use.
type entryTracker struct {
	// lastSeen holds the time of the last heartbeat or reservation of each
	// epoch.
	lastSeen map[string]time.Time
	// newest holds the newest epoch of each instance.
	newest map[string]string
}

// observe records a heartbeat or reservation of an entry, "instance/epoch".
// Epochs of one instance sort by their start time.
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

// isReplaced reports whether a newer epoch of the instance was seen. The older
// one has ended and dispatches nothing more.
func (e *entryTracker) isReplaced(entry string) bool {
	return e.newest[instanceOf(entry)] > entry
}

// hasEnded reports whether the epoch was replaced or has sent no
// heartbeat or reservation for entryTimeout. If it has sent none since the
// ledger opened, the time counts from openedAt.
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

// expire drops the epochs that were not seen for longer than the retention.
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

// instanceOf returns the instance id of "instance/epoch".
func instanceOf(entry string) string {
	instance, _, _ := strings.Cut(entry, "/")
	return instance
}
