// Package backend speaks to backend servers: model engines and plain services.
package backend

import (
	"sync"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/route"
)

// defaultConcurrency bounds the requests in progress at a backend server whose
// configuration sets no bound.
const defaultConcurrency = 64

// Pool counts an entry's requests in progress at each backend server; its zero
// value works.
type Pool struct {
	// Departures keeps new requests off leaving servers; nil means none leave.
	Departures Departures

	mu      sync.Mutex
	running map[string]int
}

// Lease is a place at a backend server. Release it once.
type Lease struct {
	Name    string
	Address string

	pool *Pool
}

// Acquire picks a backend server for the work and takes a place at it. It
// returns false when none has room.
func (p *Pool) Acquire(document *config.Document, work config.Work, failureDomain string, tried map[string]bool) (*Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(document, work, tried)
	index, found := route.Pick(candidates, failureDomain)
	if !found {
		return nil, false
	}
	name := candidates[index].Name
	if p.running == nil {
		p.running = make(map[string]int)
	}
	p.running[name]++
	return &Lease{Name: name, Address: document.BackendServers[name].Address, pool: p}, true
}

func (p *Pool) candidates(document *config.Document, work config.Work, tried map[string]bool) []route.Candidate {
	candidates := make([]route.Candidate, 0, len(work.BackendServers))
	for _, name := range work.BackendServers {
		server := document.BackendServers[name]
		limit := server.Concurrency
		if limit == 0 {
			limit = defaultConcurrency
		}
		candidates = append(candidates, route.Candidate{
			Name:          name,
			FailureDomain: server.FailureDomain,
			Running:       p.running[name],
			Limit:         limit,
			Excluded:      server.IsLeaving() || p.isLeaving(server.Address) || tried[name],
		})
	}
	return candidates
}

// Running returns the number of requests in progress at a backend server.
func (p *Pool) Running(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[name]
}

// Release gives the place back.
func (l *Lease) Release() {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.running[l.Name]--
}
