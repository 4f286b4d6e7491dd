package backend

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/route"
)

// Update applies a configuration and marks the leaving backend servers. A nil
// document changes nothing.
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

// applyDocument rebuilds the servers and candidates from the configuration; mu is
// held. A server keeps its load and health state as long as its address and
// failure domain stay the same.
func (p *Pool) applyDocument(document *config.Document) {
	if document == p.document {
		return
	}
	p.document = document
	p.reportLeaving()
	servers := make(map[string]*route.Server, len(document.BackendServers))
	failureDomains := make(map[string]string, len(document.BackendServers))
	evacuated := document.EvacuatedDomains()
	for name, configured := range document.BackendServers {
		server := p.servers[name]
		oldDomain := p.failureDomains[name]
		if server == nil || server.Address != configured.Address || oldDomain != configured.FailureDomain {
			server = route.NewServer(name, configured.FailureDomain)
			server.Address = configured.Address
		}
		failureDomains[name] = configured.FailureDomain
		server.Concurrency = configured.Concurrency
		server.Evacuated = evacuated[configured.FailureDomain]
		servers[name] = server
	}
	p.markRemoved(servers)
	p.servers = servers
	p.failureDomains = failureDomains
	p.evacuatedDomains = len(evacuated)
	p.markLeaving()
	p.candidates = make(map[string][]*route.Server, len(document.Works))
	for name, work := range document.Works {
		p.candidates[name] = p.candidatesOf(work)
	}
	for _, controller := range p.controllers {
		controller.QueueLimit = p.queueLimit()
	}
}

// markRemoved marks servers that are no longer in the configuration as leaving, so
// that no waiting request is placed on them; mu is held.
func (p *Pool) markRemoved(current map[string]*route.Server) {
	for name, server := range p.servers {
		if current[name] != server {
			server.Leaving = true
		}
	}
}

// markLeaving updates which servers are leaving; mu is held.
func (p *Pool) markLeaving() {
	for name, server := range p.servers {
		server.Leaving = p.document.BackendServers[name].IsLeaving() || p.Departures.IsLeaving(server.Address)
	}
}

// reportLeaving reports the servers that the configuration marks as leaving; mu is
// held.
func (p *Pool) reportLeaving() {
	if p.Departures == nil {
		return
	}
	leaving := make(map[string]bool)
	for _, server := range p.document.BackendServers {
		if server.IsLeaving() {
			leaving[server.Address] = true
		}
	}
	p.Departures.ReportAll(instances.SourceConfiguration, leaving, time.Now())
}

// candidatesOf returns the servers that may run work, at most subsetSize of them; mu
// is held.
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

// targets returns every candidate server once.
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

// report records a load report, or a failure of the server if err is not nil.
func (p *Pool) report(server *route.Server, report route.Report, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		server.Failed(now)
		return
	}
	if p.Departures != nil {
		p.Departures.Report(instances.SourceLoadReport, server.Address, report.Draining, now)
	}
	server.SetReport(report)
	p.placeWaiting(now)
}
