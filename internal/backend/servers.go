package backend

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/route"
)

// Update takes a configuration in.
func (p *Pool) Update(document *config.Document) {
	if document == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sync(document)
	p.wake(time.Now())
}

// SetLeaving takes out the backend servers at the addresses that the platform's
// list names as leaving, beside those of the configuration and of their own
// reports.
func (p *Pool) SetLeaving(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = addresses
	p.markLeaving()
}

// sync follows the configuration; mu is held. What is known of a server is
// kept while its address stays.
func (p *Pool) sync(document *config.Document) {
	if document == p.document {
		return
	}
	p.document = document
	servers := make(map[string]*route.Server, len(document.BackendServers))
	for name, configured := range document.BackendServers {
		server := p.servers[name]
		if server == nil || server.Address != configured.Address {
			server = route.NewServer(name, configured.FailureDomain)
			server.Address = configured.Address
		}
		server.FailureDomain = configured.FailureDomain
		server.Concurrency = configured.Concurrency
		servers[name] = server
	}
	p.markGone(servers)
	p.servers = servers
	p.markLeaving()
	p.candidates = make(map[string][]*route.Server, len(document.Works))
	for name, work := range document.Works {
		p.candidates[name] = p.candidatesOf(work)
	}
	for _, controller := range p.controllers {
		controller.QueueLimit = p.queueLimit()
	}
}

// markGone keeps waiting requests off servers that the configuration dropped.
func (p *Pool) markGone(kept map[string]*route.Server) {
	for name, server := range p.servers {
		if kept[name] != server {
			server.Leaving = true
		}
	}
}

func (p *Pool) markLeaving() {
	for name, server := range p.servers {
		server.Leaving = p.document.BackendServers[name].IsLeaving() || p.leaving[server.Address]
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
	server.SetReport(report)
	if p.Departures != nil {
		p.Departures.ReportLoad(server.Address, report.Draining)
	}
	p.wake(now)
}
