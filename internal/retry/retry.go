// Package retry decides whether a request may be sent to another backend
// server. Its budget bounds the repeats of the whole fleet: each entry keeps
// to its part of it. It does no I/O and reads no clock.
package retry

import (
	"sync"
	"time"
)

const (
	// slices divide the window for the sliding counts.
	slices = 20
	// safety is the part of the fleet's budget that is used, because entries
	// that start and end leave some of theirs unknown to the others.
	safety = 0.7
)

// Limits are the fleet's budget for one upstream.
type Limits struct {
	// Ratio is the repeats allowed for each first send.
	Ratio float64
	// Slack is the repeats allowed besides, within a window.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

// Budget counts the first sends and the repeats by upstream. Its zero value
// allows no repeats.
type Budget struct {
	Limits Limits

	mu      sync.Mutex
	started time.Time
	counts  map[string]*counts
}

// counts are the sends of one upstream in each slice of the window.
type counts struct {
	first   [slices]int
	repeats [slices]int
	slice   int64
}

// First counts the first send of a request.
func (b *Budget) First(upstream string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(upstream, now)
	c.first[c.index()]++
}

// Take counts a repeat and tells whether the budget allows it, for one of
// several entries.
func (b *Budget) Take(upstream string, entries int, now time.Time) bool {
	if b.Limits.Window <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(upstream, now)
	first, repeats := c.sums()
	allowed := safety * (b.Limits.Ratio*float64(first) + b.slack(entries, now))
	if float64(repeats)+1 > allowed {
		return false
	}
	c.repeats[c.index()]++
	return true
}

// slack grows from nothing over the first window, because an entry that ended
// may have spent the part of the one that takes its place.
func (b *Budget) slack(entries int, now time.Time) float64 {
	age := min(1, now.Sub(b.started).Seconds()/b.Limits.Window.Seconds())
	return b.Limits.Slack / float64(max(1, entries)) * age
}

// at returns the counts with the slices that have passed cleared.
func (b *Budget) at(upstream string, now time.Time) *counts {
	if b.counts == nil {
		b.counts = make(map[string]*counts)
		b.started = now
	}
	c := b.counts[upstream]
	if c == nil {
		c = &counts{}
		b.counts[upstream] = c
	}
	if b.Limits.Window <= 0 {
		return c
	}
	slice := now.Sub(b.started).Nanoseconds() / (b.Limits.Window.Nanoseconds() / slices)
	for c.slice < slice {
		c.slice = max(c.slice+1, slice-slices)
		c.first[c.index()] = 0
		c.repeats[c.index()] = 0
	}
	return c
}

func (c *counts) index() int {
	return int(c.slice % slices)
}

func (c *counts) sums() (first, repeats int) {
	for i := range slices {
		first += c.first[i]
		repeats += c.repeats[i]
	}
	return first, repeats
}
