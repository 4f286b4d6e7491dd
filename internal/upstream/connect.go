package upstream

import (
	"sync"
	"time"
)

const (
	// serverConnectTime is the time that a server takes to accept a connection, beside the
	// round trip.
	serverConnectTime = time.Millisecond
	// defaultRoundTrip is the time to open a connection before the first one was opened.
	defaultRoundTrip = time.Millisecond
	// maxRoundTrip bounds the time that one connection shows. Longer ones wait for a lost
	// packet to be sent again.
	maxRoundTrip = 100 * time.Millisecond
	// roundTripWeight is the weight of a new connection in the mean.
	roundTripWeight = 0.1
)

// connectTimes knows how long connections take to open, and the newest idle connection to
// each server. Its lock is held only here and for a moment, so that it may be asked under any
// other lock. Its zero value is ready to use.
type connectTimes struct {
	mu sync.Mutex
	// roundTrip is the mean time in which connections were opened; 0 before the first.
	roundTrip time.Duration
	newest    map[string]idleTimes
}

// idleTimes says since when a connection is idle, and until when it may be used.
type idleTimes struct {
	since, until time.Time
}

// recordOpened records the time in which a connection was opened.
func (t *connectTimes) recordOpened(d time.Duration) {
	d = min(d, maxRoundTrip)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.roundTrip == 0 {
		t.roundTrip = d
		return
	}
	t.roundTrip += time.Duration(roundTripWeight * float64(d-t.roundTrip))
}

// setIdle records the idle connections to a server, with the most recently used one last.
func (t *connectTimes) setIdle(id string, list []*conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(list) == 0 {
		delete(t.newest, id)
		return
	}
	if t.newest == nil {
		t.newest = make(map[string]idleTimes)
	}
	c := list[len(list)-1]
	t.newest[id] = idleTimes{since: c.idleSince, until: c.idleSince.Add(c.idleTimeout)}
}

// until returns the time until a request can be sent to a server.
func (t *connectTimes) until(id string, once bool, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle, found := t.newest[id]
	if found && !now.After(idle.until) && (!once || now.Sub(idle.since) <= maxIdleTimeOnce) {
		return 0
	}
	if t.roundTrip == 0 {
		return defaultRoundTrip + serverConnectTime
	}
	return t.roundTrip + serverConnectTime
}

// ConnectTime returns the expected time until a request can be sent to a server: 0 if an idle
// connection can carry it, or else the mean time to open one. Once is set for a request that
// must not run twice. It returns at once and may be called with any lock held.
func (c *Client) ConnectTime(id string, once bool) time.Duration {
	return c.pool.connects.until(id, once, time.Now())
}
