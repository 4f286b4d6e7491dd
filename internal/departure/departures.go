package departure

import (
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	// maxDispatchDelay is how long a dispatch may still reach a backend server
	// after a source said that it is leaving.
	maxDispatchDelay = 3 * time.Second
	// forgetAfter is how long a departure is kept that the platform no longer
	// lists.
	forgetAfter = time.Hour
)

// source says that a backend server is leaving.
type source int

const (
	sourceConfiguration source = iota
	sourceLoadReport
	sourcePlatform
	sourceCount
)

// Departures knows which backend servers are leaving: the configuration, a
// server's own load report or the platform's list says so, and any one is
// enough. Servers are known by their addresses. Its zero value works.
type Departures struct {
	// Check asserts that no request goes to a leaving server.
	Check *invariant.Checker

	mu           sync.Mutex
	leavingSince [sourceCount]map[string]time.Time
	// lastListed is when the platform last lastListed a leaving address.
	lastListed map[string]time.Time
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
	for address := range d.leavingSince[sourceConfiguration] {
		if !leaving[address] {
			delete(d.leavingSince[sourceConfiguration], address)
		}
	}
	for address := range leaving {
		d.setLeaving(sourceConfiguration, address, true)
	}
}

// ReportLoad takes in what a backend server's own load report says.
func (d *Departures) ReportLoad(address string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLeaving(sourceLoadReport, address, leaving)
}

// ReportPlatform takes in the platform's list, by address. A leaving server
// that the list drops stays out until the list shows it live again.
func (d *Departures) ReportPlatform(leaving map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastListed == nil {
		d.lastListed = make(map[string]time.Time)
	}
	now := time.Now()
	for address, isLeaving := range leaving {
		d.setLeaving(sourcePlatform, address, isLeaving)
		if isLeaving {
			d.lastListed[address] = now
		} else {
			delete(d.lastListed, address)
		}
	}
	for address, at := range d.lastListed {
		if now.Sub(at) > forgetAfter {
			d.setLeaving(sourcePlatform, address, false)
			delete(d.lastListed, address)
		}
	}
}

// setLeaving is called with mu held.
func (d *Departures) setLeaving(from source, address string, leaving bool) {
	if !leaving {
		delete(d.leavingSince[from], address)
		return
	}
	if d.leavingSince[from] == nil {
		d.leavingSince[from] = make(map[string]time.Time)
	}
	_, known := d.leavingSince[from][address]
	if !known {
		d.leavingSince[from][address] = time.Now()
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
	for _, addresses := range d.leavingSince {
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
	return d.Check.Check(age <= maxDispatchDelay, invariant.LeavingServer, "%s has been leaving for %s", address, age)
}
