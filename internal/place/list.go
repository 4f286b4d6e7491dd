package place

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// returnAfter is how long after a list or a response last showed that a server
// leaves a list may show it as available. It exceeds the age of any list in use,
// so that what a later list shows is another run of the server.
const returnAfter = 15 * time.Second

// Update replaces the list of servers. Servers that are missing from list are
// removed.
func (f *Fleet) Update(list []instances.Instance, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers == nil {
		f.servers = make(map[string]*server)
		f.departures.ReturnAfter = returnAfter
	}
	f.departures.Prune(now)
	f.versions.update(list, now)
	f.firstList = !f.hasList
	f.hasList = f.hasList || len(list) > 0
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
		f.apply(instance, now)
	}
	for id, s := range f.servers {
		if !listed[id] {
			delete(f.servers, id)
			f.notify(s, EventRemoved, 0)
		}
	}
	f.groupServers()
}

// departureKey names one server at one address: a server that starts again elsewhere
// is another one.
func departureKey(id, address string) string {
	return id + " " + address
}

// notify reports an event of s to Changed; mu is held.
func (f *Fleet) notify(s *server, event string, ejectedFor time.Duration) {
	if f.Changed == nil {
		return
	}
	f.Changed(Change{Server: s.id, Upstream: s.upstream, Address: s.address, Version: s.version, Event: event, FailureRate: s.failureRate, Limit: s.limit.PerSecond, Cold: s.cold.reported, EjectedFor: ejectedFor})
}

// apply adds or updates one listed server; mu is held. A leaving server that is
// available again, or one with another software version, has been restarted, and nothing
// is known of its new run.
func (f *Fleet) apply(instance instances.Instance, now time.Time) {
	key := departureKey(instance.ID, instance.Address)
	f.departures.ReportListed(key, instance.Leaving, now)
	leaving := f.departures.IsLeaving(key)
	s := f.servers[instance.ID]
	known := s != nil && s.address == instance.Address && s.upstream == instance.Upstream && s.version == instance.Version && (leaving || !s.leaving)
	if !known {
		s = &server{id: instance.ID, hash: hashID(instance.ID)}
		f.servers[instance.ID] = s
	}
	s.upstream = instance.Upstream
	s.address = instance.Address
	s.failureDomain = instance.FailureDomain
	s.region = f.Regions[s.failureDomain]
	s.slots = max(1, instance.Slots)
	s.version = instance.Version
	f.applyCold(s, instance, known, now)
	if known && leaving == s.leaving {
		return
	}
	s.leaving = leaving
	if leaving {
		f.notify(s, EventLeaving, 0)
	} else {
		f.notify(s, EventListed, 0)
	}
}

// Has reports whether the server with the given id is listed.
func (f *Fleet) Has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id] != nil
}
