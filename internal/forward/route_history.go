package forward

import (
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxFormerTables bounds the former configurations that an entry remembers.
const maxFormerTables = 32

// formerTable is a configuration with its routes that another one has replaced.
type formerTable struct {
	table *Table
	// until is when it was replaced.
	until time.Time
}

// routeHistory remembers the routes of former configurations. The zero value is ready to
// use.
type routeHistory struct {
	mu sync.Mutex
	// since is from when on all configurations are remembered; zero before the first.
	since  time.Time
	former []formerTable
}

// install puts next in force and records the table that it replaces, which is nil if next is the
// first. Tables with the same routes need no record. Nobody reads the history in between.
func (h *routeHistory) install(inForce *atomic.Pointer[Table], next *Table, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	table := inForce.Swap(next)
	if table == nil {
		h.since = now
		return
	}
	if reflect.DeepEqual(table.hosts, next.hosts) {
		return
	}
	if len(h.former) == maxFormerTables {
		h.since = h.former[0].until
		h.former = slices.Delete(h.former, 0, 1)
	}
	h.former = append(h.former, formerTable{table: &Table{hosts: table.hosts}, until: now})
}

// originCandidates is where a stream that a caller resumes can have begun.
type originCandidates struct {
	upstreams []string
	// within is the longest time since its begin.
	within time.Duration
}

// add adds the upstreams of a route.
func (c *originCandidates) add(route *Route) {
	for _, weighted := range route.Upstreams {
		if weighted.Weight > 0 && !slices.Contains(c.upstreams, weighted.Upstream) {
			c.upstreams = append(c.upstreams, weighted.Upstream)
		}
	}
}

// findOrigins returns where the stream that the request resumes can have begun, by the
// configurations that were in force for as long as it may have lasted. known is false if
// they aren't all remembered.
func (t *task) findOrigins(now time.Time) (candidates originCandidates, known bool) {
	h := &t.server.routes
	h.mu.Lock()
	defer h.mu.Unlock()
	candidates.within = max(t.route.Timeout, t.request.CallerTimeout) + streamAgeMargin
	candidates.add(t.route)
	tables := append(slices.Clone(h.former), formerTable{table: t.server.table.Load(), until: now})
	for _, former := range tables {
		route := former.table.Route(t.request.Host, t.request.Path)
		if route != nil && now.Sub(former.until) <= route.Timeout+streamAgeMargin {
			candidates.within = max(candidates.within, route.Timeout+streamAgeMargin)
		}
	}
	for _, former := range tables {
		route := former.table.Route(t.request.Host, t.request.Path)
		if route != nil && now.Sub(former.until) <= candidates.within {
			candidates.add(route)
		}
	}
	return candidates, !h.since.IsZero() && now.Sub(h.since) >= candidates.within
}
