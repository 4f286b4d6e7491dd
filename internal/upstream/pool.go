package upstream

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxIdleConns limits the idle connections to one server.
	maxIdleConns = 16
	// idleTimeout is how long a connection may be idle if its server states no
	// Keep-Alive timeout and the client has no other value.
	idleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from a server's Keep-Alive timeout, so that
	// the server doesn't close the connection while a request is being sent.
	idleTimeoutMargin = time.Second
	// maxIdleTimeOnce is how long a connection may have been idle to carry a
	// request that must not run twice.
	maxIdleTimeOnce = 1500 * time.Millisecond
	// sweepInterval is the time between two searches for expired connections. A sweep
	// compares two times for each idle connection.
	sweepInterval = time.Second
	// evictedAtOnce is how many idle connections are closed when a connection can't be
	// opened for want of descriptors, so that the next few requests find some too.
	evictedAtOnce = 8
)

// pool holds the idle connections by server id. Its zero value is ready to use.
type pool struct {
	// dials counts the connections that were opened, and open those that are open.
	dials atomic.Int64
	open  atomic.Int64

	// connects holds the times of the newest connections in idle. Its lock may be taken while
	// mu is held; mu is never taken while its lock is held.
	connects connectTimes

	// bodies bounds the memory of the bodies that are being read.
	bodies bodyBudget

	mu sync.Mutex
	// idle holds each server's connections, with the most recently used one last. No list
	// is empty.
	idle map[string][]*conn
	// idleCount is the number of connections in idle.
	idleCount int
	// sweeping is set while a sweep is scheduled.
	sweeping bool
}

// order says which of several idle connections to a server carries a request.
type order int

const (
	newestFirst order = iota
	oldestFirst
)

// get removes and returns an idle connection to a server that can carry a request, or nil.
// The order applies to requests that may be repeated.
func (p *pool) get(id string, once bool, o order) *conn {
	for {
		c := p.pop(id, once, o)
		if c == nil || c.isOpen() {
			return c
		}
		c.close()
	}
}

// pop removes and returns an idle connection that has not expired, or nil. It closes the
// expired ones that it meets. Connections that have been idle too long for a request that
// must not run twice stay for other requests.
func (p *pool) pop(id string, once bool, o order) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[id]; len(list) > 0; list = p.idle[id] {
		i := len(list) - 1
		if o == oldestFirst && !once {
			i = 0
		}
		c := list[i]
		expired := c.idleTimes().isExpired(now)
		if !expired && !c.idleTimes().mayCarry(once, now) {
			return nil
		}
		p.setList(id, slices.Delete(list, i, i+1))
		if !expired {
			return c
		}
		c.close()
	}
	return nil
}

// setList replaces the idle connections to a server; mu is held.
func (p *pool) setList(id string, list []*conn) {
	p.idleCount += len(list) - len(p.idle[id])
	p.connects.setIdle(id, list)
	if len(list) == 0 {
		delete(p.idle, id)
		return
	}
	p.idle[id] = list
}

// put adds an idle connection without unread response bytes. It closes the least recently
// used one if the server already has maxIdleConns, and others that exceed what maxIdle returns;
// nil stands for no bound.
func (p *pool) put(c *conn, maxIdle func() int) {
	c.idleSince = time.Now()
	limit := idleLimit(maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	list := p.idle[c.id]
	if len(list) >= maxIdleConns {
		p.closeFirst(c.id)
		list = p.idle[c.id]
	}
	p.setList(c.id, append(list, c))
	p.trim(limit)
	p.scheduleSweep(maxIdle)
}

// idleLimit returns the number of idle connections that may be kept.
func idleLimit(maxIdle func() int) int {
	if maxIdle == nil {
		return math.MaxInt
	}
	return max(0, maxIdle())
}

// countIdle returns the number of idle connections.
func (p *pool) countIdle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleCount
}

// closeFirst closes the least recently used idle connection to a server; mu is held.
func (p *pool) closeFirst(id string) {
	list := p.idle[id]
	list[0].close()
	p.setList(id, slices.Delete(list, 0, 1))
}

// trim closes the least recently used idle connections to all servers until at most limit
// are left; mu is held.
func (p *pool) trim(limit int) {
	for p.idleCount > limit {
		var oldest *conn
		for _, list := range p.idle {
			if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
				oldest = list[0]
			}
		}
		p.closeFirst(oldest.id)
	}
}

// evict closes the least recently used evictedAtOnce idle connections, and reports whether
// there was any.
func (p *pool) evict() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.idleCount
	p.trim(max(0, before-evictedAtOnce))
	return before > 0
}

// scheduleSweep lets expired connections be closed after sweepInterval, if there are idle
// ones; mu is held.
func (p *pool) scheduleSweep(maxIdle func() int) {
	if p.sweeping || p.idleCount == 0 {
		return
	}
	p.sweeping = true
	time.AfterFunc(sweepInterval, func() { p.sweep(maxIdle) })
}

// sweep closes the expired connections, and those that exceed what maxIdle returns.
func (p *pool) sweep(maxIdle func() int) {
	now := time.Now()
	limit := idleLimit(maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	for id, list := range p.idle {
		p.setList(id, slices.DeleteFunc(list, func(c *conn) bool {
			expired := c.idleTimes().isExpired(now)
			if expired {
				c.close()
			}
			return expired
		}))
	}
	p.trim(limit)
	p.scheduleSweep(maxIdle)
}

// closeServer closes the idle connections to one server.
func (p *pool) closeServer(id string) {
	p.retain(func(candidate string) bool { return candidate != id })
}

// retain closes the idle connections to the servers for which retain is false.
func (p *pool) retain(retain func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		if retain(id) {
			continue
		}
		for _, c := range list {
			c.close()
		}
		p.setList(id, nil)
	}
}
