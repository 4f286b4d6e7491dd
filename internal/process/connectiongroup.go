package process

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// closedShare is the share of the connections, one in so many, that are closed at once for
	// want of room, so that the group is not searched for each new one.
	closedShare = 16
	// reserveShare is the share of the bound, one in so many, that may be open beyond it while
	// connections are being closed.
	reserveShare = 8
	// maxRoomWait bounds the time in which a new connection waits for others to be closed.
	maxRoomWait      = time.Second
	roomPollInterval = time.Millisecond
)

// connectionGroup holds the open connections of the listeners that share descriptors, and bounds
// them. When there are too many, it closes those on which no whole request has arrived, the least
// recently active first. Its zero value bounds none.
type connectionGroup struct {
	// max is the number of connections; 0 bounds none.
	max int
	// maxHeldBytes is the number of bytes of the headers of all requests that are being read
	// or served; 0 bounds none. Short header lines take many times their length of memory.
	maxHeldBytes int64
	// excess counts what callers do beyond the limits.
	excess excessCounter

	mu   sync.Mutex
	open map[*connection]struct{}
	// leaving counts the open connections that are being closed for want of room.
	leaving atomic.Int64
	// heldBytes counts the bytes of headers.
	heldBytes atomic.Int64
}

// add adds a new connection, for which others are closed if there are too many. It waits for
// them, and closes the new one if there are too many all the same.
func (g *connectionGroup) add(c *connection) {
	g.mu.Lock()
	if g.open == nil {
		g.open = make(map[*connection]struct{})
	}
	g.open[c] = struct{}{}
	g.mu.Unlock()
	if g.max == 0 {
		return
	}
	if excess := g.count() - int(g.leaving.Load()) - g.max; excess > 0 {
		g.makeRoom(excess + g.max/closedShare)
	}
	if !g.awaitRoom() {
		c.cutOff()
		g.excess.record(connectionClosed, 1)
	}
}

// remove removes a connection that is closed.
func (g *connectionGroup) remove(c *connection) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
	c.leave()
}

// count returns the number of open connections.
func (g *connectionGroup) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

// awaitRoom waits until no more connections are open than the bound and its reserve allow, and
// reports whether that is so within maxRoomWait.
func (g *connectionGroup) awaitRoom() bool {
	limit := g.max + g.max/reserveShare
	for end := time.Now().Add(maxRoomWait); g.count() > limit; time.Sleep(roomPollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// makeRoom closes up to the given number of connections.
func (g *connectionGroup) makeRoom(count int) {
	waiting := g.unfinished()
	g.closeAll(waiting[:min(count, len(waiting))])
}

// isOverHeads reports whether the headers of all requests are over their bound.
func (g *connectionGroup) isOverHeads() bool {
	return g.maxHeldBytes > 0 && g.heldBytes.Load() > g.maxHeldBytes
}

// boundHeads closes connections on which no whole request has arrived while the headers of all
// requests are over their bound.
func (g *connectionGroup) boundHeads() {
	if !g.isOverHeads() {
		return
	}
	excess := g.heldBytes.Load() - g.maxHeldBytes + g.maxHeldBytes/closedShare
	var chosen []*connection
	for _, c := range g.unfinished() {
		if excess <= 0 {
			break
		}
		held := c.heldHead()
		if held > 0 {
			chosen = append(chosen, c)
			excess -= int64(held)
		}
	}
	g.closeAll(chosen)
}

// unfinished returns the connections on which no whole request has arrived, the least recently
// active first.
func (g *connectionGroup) unfinished() []*connection {
	type candidate struct {
		conn   *connection
		active time.Time
	}
	var candidates []candidate
	g.mu.Lock()
	for c := range g.open {
		active, unfinished := c.activity()
		if unfinished {
			candidates = append(candidates, candidate{c, active})
		}
	}
	g.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int { return a.active.Compare(b.active) })
	conns := make([]*connection, len(candidates))
	for i, found := range candidates {
		conns[i] = found.conn
	}
	return conns
}

// closeAll closes connections for want of room, unless a request has arrived on them since.
func (g *connectionGroup) closeAll(conns []*connection) {
	count := 0
	for _, c := range conns {
		if c.closeForRoom() {
			count++
		}
	}
	if count > 0 {
		g.excess.record(connectionClosed, count)
	}
}
