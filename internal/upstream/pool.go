package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxIdleConns limits the idle connections to one server.
	maxIdleConns = 16
	// idleTimeout is how long a connection may be idle if its server states no
	// Keep-Alive timeout.
	idleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from a server's Keep-Alive timeout, so that
	// the server doesn't close the connection while a request is being sent.
	idleTimeoutMargin = time.Second
	// maxIdleTimeOnce is how long a connection may have been idle to carry a
	// request that must not run twice.
	maxIdleTimeOnce = 1500 * time.Millisecond
)

// pool holds the idle connections by server id. Its zero value is ready to use.
type pool struct {
	// dials counts the connections that were opened.
	dials atomic.Int64

	// bodies bounds the memory of the bodies that are being read.
	bodies bodyBudget

	mu sync.Mutex
	// idle holds each server's connections, with the most recently used one last.
	idle map[string][]*conn
}

// get removes and returns the most recently used idle connection to a server that
// is reusable, or nil. It closes the ones that are not.
func (p *pool) get(id string, once bool) *conn {
	for {
		c := p.pop(id)
		if c == nil {
			return nil
		}
		if c.isReusable(once) {
			return c
		}
		c.close()
	}
}

// pop removes and returns the most recently used idle connection, or nil.
func (p *pool) pop(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return c
}

// put adds an idle connection without unread response bytes. If the server already
// has maxIdleConns, it closes the least recently used one.
func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	list := p.idle[c.id]
	if len(list) >= maxIdleConns {
		list[0].close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.id] = append(list, c)
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
		delete(p.idle, id)
	}
}
