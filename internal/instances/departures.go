package instances

import (
	"sync"
	"time"
)

// forgetAfter is how long a server stays marked as leaving after a list last showed
// it.
const forgetAfter = time.Hour

// Source identifies who reports that a server is leaving.
type Source int

// Sources of a report.
const (
	// SourceConfiguration is the configuration in force.
	SourceConfiguration Source = iota
	// SourceLoadReport is the server's own load report.
	SourceLoadReport
	sourceList
	sourceCount
)

// Departures tracks which servers are leaving. A server is leaving as soon as one
// source reports it. Its zero value is ready to use, a nil Departures knows of no
// leaving server, and it is safe for concurrent use. The current time is an
// argument.
//
// Servers are named by any key that their users agree on, such as an id or an
// address.
type Departures struct {
	// ReturnAfter is how long after the last list that shows a server as leaving a
	// list may show it as available. Earlier ones count as outdated.
	ReturnAfter time.Duration

	mu           sync.Mutex
	leavingSince [sourceCount]map[string]time.Time
	// lastListed is when a list last showed a server as leaving.
	lastListed map[string]time.Time
}

// Report records whether a source says that a server is leaving.
func (d *Departures) Report(from Source, server string, leaving bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(from, server, leaving, now)
}

// ReportAll records the complete set of servers that a source says are leaving.
func (d *Departures) ReportAll(from Source, leaving map[string]bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server := range d.leavingSince[from] {
		if !leaving[server] {
			delete(d.leavingSince[from], server)
		}
	}
	for server := range leaving {
		d.set(from, server, true, now)
	}
}

// ReportListed records that a list shows a server, as leaving or as available. A
// leaving server that disappears from the list stays marked until a list shows it as
// available or forgetAfter has passed.
func (d *Departures) ReportListed(server string, leaving bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if leaving {
		if d.lastListed == nil {
			d.lastListed = make(map[string]time.Time)
		}
		d.lastListed[server] = now
		d.set(sourceList, server, true, now)
		return
	}
	last, known := d.lastListed[server]
	if known && now.Sub(last) >= d.ReturnAfter {
		d.forget(server)
	}
}

// Prune forgets the servers that no list has shown as leaving for forgetAfter.
func (d *Departures) Prune(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for server, at := range d.lastListed {
		if now.Sub(at) > forgetAfter {
			d.forget(server)
		}
	}
}

// forget removes what the lists said of a server; mu is held.
func (d *Departures) forget(server string) {
	delete(d.lastListed, server)
	delete(d.leavingSince[sourceList], server)
}

// set records or removes one source's report; mu is held.
func (d *Departures) set(from Source, server string, leaving bool, now time.Time) {
	if !leaving {
		delete(d.leavingSince[from], server)
		return
	}
	if d.leavingSince[from] == nil {
		d.leavingSince[from] = make(map[string]time.Time)
	}
	_, known := d.leavingSince[from][server]
	if !known {
		d.leavingSince[from][server] = now
	}
}

// IsLeaving reports whether the server is leaving.
func (d *Departures) IsLeaving(server string) bool {
	_, leaving := d.Since(server)
	return leaving
}

// Since returns the time of the earliest report in effect that the server is leaving,
// or false if there is none.
func (d *Departures) Since(server string) (time.Time, bool) {
	if d == nil {
		return time.Time{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var first time.Time
	found := false
	for _, servers := range d.leavingSince {
		at, leaving := servers[server]
		if leaving && (!found || at.Before(first)) {
			first = at
			found = true
		}
	}
	return first, found
}
