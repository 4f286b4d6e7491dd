// Package overload tells when an entry can't keep up with its callers, so that it lets
// some of them go to other entries. It does no I/O and reads no clock: the current time is
// an argument.
//
// It answers a load that is uneven: a load balancer that picks an entry by a hash of the
// caller sends all requests of a large caller to one entry, which runs out of processor
// time or bandwidth while the entries beside it are idle.
package overload

import (
	"sync"
	"time"
)

const (
	// slowDial is the time from which opening a connection to a backend server is slow.
	// Servers accept within milliseconds, also across failure domains.
	slowDial = 100 * time.Millisecond
	// windowLength is the time over which connections are counted. Overload is
	// noticed after windowsToShed such windows in a row, in each of which at least
	// minDials connections were opened and more than half of them slowly.
	windowLength  = time.Second
	windowsToShed = 2
	minDials      = 10
	// shedTime is how long an overloaded entry lets callers go. It is long enough for a
	// load balancer that checks each second and for callers to open new connections.
	shedTime = 10 * time.Second
	// restTime is how long an entry then takes all callers, whatever its load, so that
	// the effect shows before it lets more of them go.
	restTime = 2 * time.Second
)

// Detector tells from the times in which an entry opens connections to backend servers
// whether it is overloaded. Slow connections to most servers at once have their cause in
// the entry: its processor or its own link. The zero value is ready to use, and safe for
// concurrent use.
type Detector struct {
	// Began, if not nil, is called when the entry begins to let callers go, with the
	// connections of the last window and how many of them were slow. It must not call the
	// detector.
	Began func(dials, slow int)

	mu sync.Mutex
	// windowStart is when the current window began, dials are the connections of it and
	// slow those that took long or could not be opened in time.
	windowStart time.Time
	dials       int
	slow        int
	// slowWindows counts the windows of slow connections in a row.
	slowWindows int
	// shedUntil is when the entry takes all callers again.
	shedUntil time.Time
}

// RecordDial records that opening a connection took the given time and ended at now.
func (d *Detector) RecordDial(took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.windowStart) >= windowLength {
		d.endWindow(now)
	}
	d.dials++
	if took >= slowDial {
		d.slow++
	}
}

// endWindow judges the window that ends at now and starts the next one; mu is held.
func (d *Detector) endWindow(now time.Time) {
	recent := now.Sub(d.windowStart) < 2*windowLength
	if recent && d.dials >= minDials && 2*d.slow > d.dials {
		d.slowWindows++
	} else {
		d.slowWindows = 0
	}
	if d.slowWindows >= windowsToShed && now.Sub(d.shedUntil) >= restTime {
		d.shedUntil = now.Add(shedTime)
		d.slowWindows = 0
		if d.Began != nil {
			d.Began(d.dials, d.slow)
		}
	}
	d.windowStart = now
	d.dials = 0
	d.slow = 0
}

// IsShedding reports whether the entry should take no new callers and let a part of its
// callers go.
func (d *Detector) IsShedding(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.shedUntil)
}
