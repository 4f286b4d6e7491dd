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
	// maxRoundTrip bounds what one connection adds to the mean. Connections that take longer
	// mostly wait for the retransmission of a lost packet.
	maxRoundTrip = 100 * time.Millisecond
	// roundTripWeight is the weight of a new connection in the moving average.
	roundTripWeight = 0.1
)

// connectTimes holds how long connections take to open, and the times of the newest idle
// connection to each server. No other lock is taken while its lock is held, so that its methods
// may be called under any lock. Its zero value is ready to use.
type connectTimes struct {
	mu sync.Mutex
	// roundTrip is the moving average of the time to open a connection; 0 before the first.
	roundTrip time.Duration
	// newest holds the most recently used idle connection, by server id.
	newest map[string]idleTimes
}

// idleTimes says since when a connection has been idle, and how long it may stay idle.
type idleTimes struct {
	since   time.Time
	timeout time.Duration
}

// isExpired reports whether the connection has been idle for so long that its server may be
// about to close it.
func (i idleTimes) isExpired(now time.Time) bool {
	return now.Sub(i.since) > i.timeout
}

// mayCarry reports whether the connection, if it has not expired, may carry a request. With
// once set it must have been idle for at most maxIdleTimeOnce.
func (i idleTimes) mayCarry(once bool, now time.Time) bool {
	return !once || now.Sub(i.since) <= maxIdleTimeOnce
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
	t.newest[id] = list[len(list)-1].idleTimes()
}

// until returns the expected time from now until a request can be sent to a server: 0 if the
// newest idle connection can carry it.
func (t *connectTimes) until(id string, once bool, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle, found := t.newest[id]
	if found && !idle.isExpired(now) && idle.mayCarry(once, now) {
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
