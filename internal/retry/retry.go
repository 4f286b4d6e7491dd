// Package retry decides whether a request may be sent to another backend
// server. Its budget bounds the repeats of the whole fleet: each entry keeps
// to its part of it. It does no I/O and reads no clock.
package retry

import (
	"sync"
	"time"
)

const (
	// windowSlices divide the window for the sliding counts.
	windowSlices = 20
	// safetyFactor is the part of the fleet's budget that is used, because entries
	// that start and end leave some of theirs unknown to the others.
	safetyFactor = 0.7
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
	first   [windowSlices]int
	retries [windowSlices]int
	slice   int64
}

// CountRequest counts the first send of a request.
func (b *Budget) CountRequest(upstream string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(upstream, now)
	c.first[c.sliceIndex()]++
}

// TryRetry counts a repeat and tells whether the budget allows it, for one of
// several entries.
func (b *Budget) TryRetry(upstream string, entries int, now time.Time) bool {
	if b.Limits.Window <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(upstream, now)
	first, retries := c.totals()
	allowed := safetyFactor * (b.Limits.Ratio*float64(first) + b.slack(entries, now))
	if float64(retries)+1 > allowed {
		return false
	}
	c.retries[c.sliceIndex()]++
	return true
}

// slack grows from nothing over the first window, because an entry that ended
// may have spent the part of the one that takes its place.
func (b *Budget) slack(entries int, now time.Time) float64 {
	age := min(1, now.Sub(b.started).Seconds()/b.Limits.Window.Seconds())
	return b.Limits.Slack / float64(max(1, entries)) * age
}

// advance returns the counts with the slices that have passed cleared.
func (b *Budget) advance(upstream string, now time.Time) *counts {
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
	slice := now.Sub(b.started).Nanoseconds() / (b.Limits.Window.Nanoseconds() / windowSlices)
	for c.slice < slice {
		c.slice = max(c.slice+1, slice-windowSlices)
		c.first[c.sliceIndex()] = 0
		c.retries[c.sliceIndex()] = 0
	}
	return c
}

func (c *counts) sliceIndex() int {
	return int(c.slice % windowSlices)
}

func (c *counts) totals() (first, retries int) {
	for i := range windowSlices {
		first += c.first[i]
		retries += c.retries[i]
	}
	return first, retries
}
