// Package retry limits how many requests may be retried at another backend
// server. A budget bounds the retries of the whole fleet, of which each entry
// enforces its portion without coordination, or those of one entry. It does no
// I/O and reads no clock: the current time is an argument.
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
	// entryRatio, entrySlack and entryWindow are the limits of EntryLimits.
	entryRatio  = 0.05
	entrySlack  = 5
	entryWindow = 10 * time.Second
)

// AllUpstreams is the upstream under which an entry counts all of its requests, if its
// budget does not tell upstreams apart.
const AllUpstreams = ""

// Limits is the retry budget for one upstream.
type Limits struct {
	// PerEntry is set if each entry has the whole budget for itself. Otherwise the
	// entries of the fleet share it.
	PerEntry bool
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window in addition to Ratio.
	Slack float64
	// Window is the period over which requests and retries are counted. Without
	// a window, no retries are allowed.
	Window time.Duration
}

// EntryLimits returns the budget of an entry whose settings state none. Retries add
// at most a tenth to ten requests a second or more.
func EntryLimits() Limits {
	return Limits{PerEntry: true, Ratio: entryRatio, Slack: entrySlack, Window: entryWindow}
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
	if !b.allows(c, entries, now) {
		return false
	}
	c.retries[c.sliceIndex()]++
	return true
}

// Allows reports whether TryRetry would allow a retry, and counts none.
func (b *Budget) Allows(upstream string, entries int, now time.Time) bool {
	if b.Limits.Window <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.advance(upstream, now), entries, now)
}

// allows reports whether the counts of an upstream leave room for a retry; mu is held.
func (b *Budget) allows(c *counts, entries int, now time.Time) bool {
	first, retries := c.totals()
	return float64(retries)+1 <= b.allowed(first, entries, now)
}

// allowed returns the number of retries that the entry may make per window after
// the given number of requests.
func (b *Budget) allowed(requests, entries int, now time.Time) float64 {
	fromRequests := b.Limits.Ratio * float64(requests)
	if b.Limits.PerEntry {
		return fromRequests + b.Limits.Slack
	}
	return safetyFactor * (fromRequests + b.slack(entries, now))
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
