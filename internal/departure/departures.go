package departure

import (
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	// maxDispatchDelay is how long after the first report of its leaving a
	// backend server may still receive new requests.
	maxDispatchDelay = 3 * time.Second
	// forgetAfter is how long a backend server stays marked as leaving after
	// the platform last listed it.
	forgetAfter = time.Hour
)

// source identifies who reported that a backend server is leaving.
type source int

const (
	sourceConfiguration source = iota
	sourceLoadReport
	sourcePlatform
	sourceCount
)

// Departures tracks which backend servers are leaving, by address. A server is
// leaving as soon as one source reports it: the configuration, the server's own
// load report or the platform's list. The zero value is ready to use. It is
// safe for concurrent use.
type Departures struct {
	// Check verifies that no request is sent to a leaving server.
	Check *invariant.Checker

	mu           sync.Mutex
	leavingSince [sourceCount]map[string]time.Time
	// lastListed is when the platform last listed an address as leaving.
	lastListed map[string]time.Time
}

// ReportConfiguration records which backend servers the configuration in force
// marks as leaving.
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

// ReportLoad records whether a backend server's own load report says that it is
// leaving.
func (d *Departures) ReportLoad(address string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLeaving(sourceLoadReport, address, leaving)
}

// ReportPlatform records the platform's list: for each address, whether the
// instance is leaving. A leaving server that disappears from the list stays
// marked until the list shows it live again or forgetAfter has passed.
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

// setLeaving records or removes one source's report; mu must be held.
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

// IsLeaving reports whether the backend server at address is leaving; a nil
// Departures knows of none.
func (d *Departures) IsLeaving(address string) bool {
	_, leaving := d.Since(address)
	return leaving
}

// Since returns the time of the earliest report in effect that the backend
// server at address is leaving, or false if there is none.
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

// CheckDispatch returns an error if the backend server has been leaving for
// longer than maxDispatchDelay. It is called right before a new request is
// sent.
func (d *Departures) CheckDispatch(address string) error {
	since, leaving := d.Since(address)
	if !leaving {
		return nil
	}
	age := time.Since(since)
	return d.Check.Check(age <= maxDispatchDelay, invariant.NoDispatchToLeavingServer, "%s has been leaving for %s", address, age)
}
