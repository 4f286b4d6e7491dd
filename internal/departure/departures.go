package departure

import (
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	// departureBound is how long a dispatch may still reach a backend server
	// after a source said that it is leaving.
	departureBound = 3 * time.Second
	// forgetAfter is how long a departure is kept that the platform no longer
	// lists.
	forgetAfter = time.Hour
)

// source says that a backend server is leaving.
type source int

const (
	sourceConfiguration source = iota
	sourceReport
	sourcePlatform
	sourceCount
)

// Departures knows which backend servers are leaving: the configuration, a
// server's own load report or the platform's list says so, and any one is
// enough. Servers are known by their addresses. Its zero value works.
type Departures struct {
	// Check asserts that no request goes to a leaving server.
	Check *invariant.Checker

	mu    sync.Mutex
	since [sourceCount]map[string]time.Time
	// listed is when the platform last listed a leaving address.
	listed map[string]time.Time
}

// ReportConfiguration takes in the configuration in force.
func (d *Departures) ReportConfiguration(document *config.Document) {
	leaving := make(map[string]bool)
	for _, server := range document.BackendServers {
		if server.IsLeaving() {
			leaving[server.Address] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.since[sourceConfiguration] {
		if !leaving[address] {
			delete(d.since[sourceConfiguration], address)
		}
	}
	for address := range leaving {
		d.set(sourceConfiguration, address, true)
	}
}

// ReportLoad takes in what a backend server's own load report says.
func (d *Departures) ReportLoad(address string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(sourceReport, address, leaving)
}

// ReportPlatform takes in the platform's list, by address. A leaving server
// that the list drops stays out until the list shows it live again.
func (d *Departures) ReportPlatform(leaving map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed == nil {
		d.listed = make(map[string]time.Time)
	}
	now := time.Now()
	for address, leaves := range leaving {
		d.set(sourcePlatform, address, leaves)
		if leaves {
			d.listed[address] = now
		} else {
			delete(d.listed, address)
		}
	}
	for address, at := range d.listed {
		if now.Sub(at) > forgetAfter {
			d.set(sourcePlatform, address, false)
			delete(d.listed, address)
		}
	}
}

// set is called with mu held.
func (d *Departures) set(from source, address string, leaving bool) {
	if !leaving {
		delete(d.since[from], address)
		return
	}
	if d.since[from] == nil {
		d.since[from] = make(map[string]time.Time)
	}
	_, known := d.since[from][address]
	if !known {
		d.since[from][address] = time.Now()
	}
}

// IsLeaving tells whether the backend server at address is leaving. A nil
// Departures knows none.
func (d *Departures) IsLeaving(address string) bool {
	_, leaving := d.Since(address)
	return leaving
}

// Since returns since when the backend server at address has been leaving.
func (d *Departures) Since(address string) (time.Time, bool) {
	if d == nil {
		return time.Time{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var first time.Time
	found := false
	for _, addresses := range d.since {
		at, leaving := addresses[address]
		if leaving && (!found || at.Before(first)) {
			first = at
			found = true
		}
	}
	return first, found
}

// CheckDispatch asserts, right before a new request is sent, that its backend
// server has not been leaving for longer than the bound.
func (d *Departures) CheckDispatch(address string) error {
	since, leaving := d.Since(address)
	if !leaving {
		return nil
	}
	age := time.Since(since)
	return d.Check.Check(age <= departureBound, invariant.NoDispatchToLeavingServer, "%s has been leaving for %s", address, age)
}
