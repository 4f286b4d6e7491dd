package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxIdle bounds the idle connections to one server.
	maxIdleConns = 16
	// idleFor is how long a connection is kept whose server names no time.
	idleTimeout = 4 * time.Second
	// idleMargin is left of the time that a server names, so that a request
	// does not meet the closing of its connection.
	idleTimeoutMargin = time.Second
	// idleForOnce is how long a connection may have been idle for a request
	// that must not run twice.
	maxIdleTimeOnce = 1500 * time.Millisecond
)

// pool keeps idle connections by server; its zero value works.
type pool struct {
	dials atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
}

// take returns the idle connection that was used last, or nil.
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

// put keeps a connection that has no answer left on it.
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

func (p *pool) closeServer(id string) {
	p.retain(func(candidate string) bool { return candidate != id })
}

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
