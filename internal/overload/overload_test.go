package overload_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/overload"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// record records dials a second, of which slow are slow, for some seconds, and returns the
// time after them.
func record(d *overload.Detector, from time.Time, seconds, dials, slow int) time.Time {
	for second := range seconds {
		for i := range dials {
			took := 3 * time.Millisecond
			if i < slow {
				took = 300 * time.Millisecond
			}
			offset := time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(dials)
			d.RecordDial(took, from.Add(offset))
		}
	}
	return from.Add(time.Duration(seconds) * time.Second)
}

// TestDetector checks which times of connections count as overload of the entry itself:
// most of them slow, for two seconds, and enough of them to tell.
func TestDetector(t *testing.T) {
	for name, test := range map[string]struct {
		seconds, dials, slow int
		shedding             bool
	}{
		"all fast":                {5, 50, 0, false},
		"a quarter slow":          {5, 48, 12, false},
		"most slow":               {4, 50, 30, true},
		"most slow for a second":  {1, 50, 30, false},
		"too few to tell":         {5, 8, 8, false},
		"all slow, just enough":   {4, 12, 12, true},
		"no connections are made": {0, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var d overload.Detector
			now := record(&d, start, test.seconds, test.dials, test.slow)
			d.RecordDial(time.Millisecond, now)
			if d.IsShedding(now) != test.shedding {
				t.Errorf("shedding is %v, want %v", !test.shedding, test.shedding)
			}
		})
	}
}

// TestEntryRestsBetweenSheds guards against an entry that stays out of rotation, and against
// one that lets callers go again before the load of those that have left shows.
func TestEntryRestsBetweenSheds(t *testing.T) {
	var d overload.Detector
	shed, longest, current := 0, 0, 0
	const seconds = 40
	for now := start; now.Before(start.Add(seconds * time.Second)); now = record(&d, now, 1, 50, 50) {
		if d.IsShedding(now) {
			shed++
			current++
			longest = max(longest, current)
		} else {
			current = 0
		}
	}
	if shed == 0 || shed > seconds*5/6 || longest > 11 {
		t.Errorf("shedding for %d of %d seconds and %d in a row, want some, at most five sixths and at most 11", shed, seconds, longest)
	}
}

// entry is a simulated entry: its callers' connections, and what it can serve.
type entry struct {
	detector    overload.Detector
	connections int
	// shedding is set while callers are let go.
	shedding bool
	// missed counts the load balancer's checks in a row that found it not ready.
	missed int
}

// inRotation reports whether the load balancer sends new connections to the entry.
func (e *entry) inRotation() bool {
	return e.missed < 2
}

// simulate plays a caller whose connections all hash to the first of some entries. A
// connection carries perConnection requests a second for a few seconds, then the caller
// opens another one; an entry serves capacity requests a second in time. It returns the
// shares of the requests that were served in time in the first and the last half.
func simulate(entries []*entry, connections, perConnection, capacity int, sheds bool) (first, last float64) {
	const (
		steps    = 600
		step     = 100 * time.Millisecond
		lifeStep = 50
	)
	closing := make(map[*entry]int)
	served := [2]float64{}
	total := [2]float64{}
	target := func() *entry {
		for _, e := range entries {
			if e.inRotation() {
				return e
			}
		}
		return entries[0]
	}
	entries[0].connections = connections
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		for _, e := range entries {
			began := !e.shedding
			e.shedding = sheds && e.detector.IsShedding(now)
			began = began && e.shedding
			if i%10 == 0 {
				e.missed++
				if !e.shedding {
					e.missed = 0
				}
			}
			load := e.connections * perConnection
			took := 3 * time.Millisecond
			if load > capacity {
				took = 300 * time.Millisecond
			}
			for range load / 10 {
				e.detector.RecordDial(took, now)
			}
			half := i * 2 / steps
			total[half] += float64(load)
			served[half] += float64(min(load, capacity))
			if began {
				closing[e] = i + int(2*time.Second/step)
			}
			if closing[e] == i && i > 0 {
				// Every second connection was closed after its response.
				moved := e.connections / 2
				e.connections -= moved
				target().connections += moved
			}
			if i%lifeStep == 0 {
				renewed := e.connections / 4
				e.connections -= renewed
				target().connections += renewed
			}
		}
	}
	return served[0] / total[0], served[1] / total[1]
}

// TestLargeCallerIsSpreadOverEntries plays a caller with three times the requests that one
// entry can serve, whose connections all meet one entry while those beside it are idle.
// Without shedding two thirds of its requests are late for good.
func TestLargeCallerIsSpreadOverEntries(t *testing.T) {
	newEntries := func() []*entry {
		var entries []*entry
		for range 12 {
			entries = append(entries, &entry{})
		}
		return entries
	}
	_, without := simulate(newEntries(), 60, 5, 100, false)
	_, with := simulate(newEntries(), 60, 5, 100, true)
	t.Logf("served in time: %.3f without shedding, %.3f with it", without, with)
	if with < 0.85 {
		t.Errorf("%.3f of the requests served in time, want 0.85 or more (%.3f without shedding)", with, without)
	}
	first, last := simulate(newEntries(), 15, 5, 100, true)
	if first < 1 || last < 1 {
		t.Errorf("%.3f and %.3f of the requests of a caller of usual size served in time, want all", first, last)
	}
}
