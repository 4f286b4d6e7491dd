// Package retry limits how many requests may be retried at another backend
// server. Its budget bounds the retries of the whole fleet; each entry enforces
// its portion without coordination. It does no I/O and reads no clock: the
// current time is an argument.
package retry

import (
	"sync"
	"time"
)

const (
	// windowSlices is the number of slices in the sliding window.
	windowSlices = 20
	// safetyFactor is the fraction of the fleet's budget that is used, because an
	// entry doesn't know the retries of entries that started or ended within the
	// window.
	safetyFactor = 0.7
)

// Limits is the fleet's retry budget for one upstream.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window in addition to Ratio.
	Slack float64
	// Window is the period over which requests and retries are counted. Without
	// a window, no retries are allowed.
	Window time.Duration
}

// Budget counts the requests and retries of one entry by upstream. Its zero
// value allows no retries. It is safe for concurrent use.
type Budget struct {
	Limits Limits

	mu      sync.Mutex
	started time.Time
	counts  map[string]*counts
}

// counts holds the first attempts and the retries for one upstream in each
// slice of the window.
type counts struct {
	first   [windowSlices]int
	retries [windowSlices]int
	slice   int64
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(upstream string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(upstream, now)
	c.first[c.sliceIndex()]++
}

// TryRetry reports whether the budget allows a retry by one of the given number
// of entries, and counts it if so.
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

// slack returns the entry's portion of Limits.Slack. It grows from 0 over the
// first window, because an entry that ended may already have used the portion
// of the one that replaces it.
func (b *Budget) slack(entries int, now time.Time) float64 {
	age := min(1, now.Sub(b.started).Seconds()/b.Limits.Window.Seconds())
	return b.Limits.Slack / float64(max(1, entries)) * age
}

// advance returns the counts for upstream after clearing the slices that have
// left the window; mu is held.
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

// sliceIndex returns the index of the current slice.
func (c *counts) sliceIndex() int {
	return int(c.slice % windowSlices)
}

// totals returns the counts over the whole window.
func (c *counts) totals() (first, retries int) {
	for i := range windowSlices {
		first += c.first[i]
		retries += c.retries[i]
	}
	return first, retries
}
