package backend

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/route"
)

// Update takes in a configuration and which backend servers are leaving.
func (p *Pool) Update(document *config.Document) {
	if document == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDocument(document)
	p.markLeaving()
	p.placeWaiting(time.Now())
}

// applyDocument follows the configuration; mu is held. What is known of a server is
// kept while its address stays.
func (p *Pool) applyDocument(document *config.Document) {
	if document == p.document {
		return
	}
	p.document = document
	servers := make(map[string]*route.Server, len(document.BackendServers))
	failureDomains := make(map[string]string, len(document.BackendServers))
	for name, configured := range document.BackendServers {
		server := p.servers[name]
		oldDomain := p.failureDomains[name]
		if server == nil || server.Address != configured.Address || oldDomain != configured.FailureDomain {
			server = route.NewServer(name, configured.FailureDomain)
			server.Address = configured.Address
		}
		failureDomains[name] = configured.FailureDomain
		server.Concurrency = configured.Concurrency
		servers[name] = server
	}
	p.markRemoved(servers)
	p.servers = servers
	p.failureDomains = failureDomains
	p.markLeaving()
	p.candidates = make(map[string][]*route.Server, len(document.Works))
	for name, work := range document.Works {
		p.candidates[name] = p.candidatesOf(work)
	}
	for _, controller := range p.controllers {
		controller.QueueLimit = p.queueLimit()
	}
}

// markRemoved keeps waiting requests off servers that the configuration dropped.
func (p *Pool) markRemoved(current map[string]*route.Server) {
	for name, server := range p.servers {
		if current[name] != server {
			server.Leaving = true
		}
	}
}

// markLeaving takes leaving servers out; mu is held.
func (p *Pool) markLeaving() {
	for name, server := range p.servers {
		server.Leaving = p.document.BackendServers[name].IsLeaving() || p.isLeaving(server.Address)
	}
}

func (p *Pool) candidatesOf(work config.Work) []*route.Server {
	servers := make([]*route.Server, 0, len(work.BackendServers))
	for _, name := range work.BackendServers {
		servers = append(servers, p.servers[name])
	}
	return route.Subset(servers, p.FailureDomain, p.Instance, subsetSize)
}

// target is a backend server whose load is polled.
type target struct {
	server  *route.Server
	address string
}

func (p *Pool) targets() []target {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[*route.Server]bool)
	var targets []target
	for _, servers := range p.candidates {
		for _, server := range servers {
			if seen[server] {
				continue
			}
			seen[server] = true
			targets = append(targets, target{server: server, address: server.Address})
		}
	}
	return targets
}

// report takes in a load report, or the failure to get one.
func (p *Pool) report(server *route.Server, report route.Report, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		server.Failed(now)
		return
	}
	if p.Departures != nil {
		p.Departures.ReportLoad(server.Address, report.Draining)
	}
	server.SetReport(report)
	p.placeWaiting(now)
}
