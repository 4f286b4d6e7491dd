// Package admit decides which request may go to a backend server now, which
// waits and which is refused at once. It does no I/O and reads no clock: the
// present time is an argument.
package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/route"
)

// Class is a priority of requests.
type Class int

// Classes, the most urgent first.
const (
	Interactive Class = iota
	Standard
	Batch
	classCount
)

// Request asks for a place at a backend server.
type Request struct {
	Class     Class
	Workspace string
	// Weight is the workspace's share; 0 means 1.
	Weight int
	// Work names the kind of request, for estimates of its time.
	Work string
	// Servers are the candidates.
	Servers []*route.Server
	Prefix  uint64
	Tried   map[string]bool
	// Cost is the request's worst case in tokens.
	Cost int64
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Owner is the driver's and is not read here.
	Owner any

	queued   bool
	queuedAt time.Time
}

// IsQueued tells whether the request is queued.
func (r *Request) IsQueued() bool {
	return r.queued
}

// serverSet identifies the candidates: requests of one work share their slice.
func (r *Request) serverSet() **route.Server {
	return &r.Servers[0]
}

func (r *Request) weight() float64 {
	return float64(max(1, r.Weight))
}

// queue holds the requests that wait: a line for each workspace in each class.
type queue struct {
	flows        [classCount][]*flow
	virtualTimes [classCount]float64
	counts       [classCount]int
	length       int
	// queuedByServers counts by candidates and class.
	queuedByServers map[**route.Server]*[classCount]int
}

// flow is one workspace's requests in one class, the first come first.
type flow struct {
	workspace string
	requests  []*Request
	// virtualStart is the virtual time at which the workspace is served next.
	virtualStart float64
}

// push adds a request.
func (q *queue) push(r *Request) {
	f := q.flow(r)
	if f == nil {
		f = &flow{workspace: r.Workspace, virtualStart: q.virtualTimes[r.Class]}
		q.flows[r.Class] = append(q.flows[r.Class], f)
	}
	f.requests = append(f.requests, r)
	q.count(r, 1)
	r.queued = true
}

// pop removes the request to serve next out of those that fits accepts: the
// most urgent class, and in it the workspace that had the least of its share.
func (q *queue) pop(fits func(*Request) bool) *Request {
	for class := range classCount {
		if q.counts[class] == 0 {
			continue
		}
		r := q.popClass(class, fits)
		if r != nil {
			return r
		}
	}
	return nil
}

func (q *queue) popClass(class Class, fits func(*Request) bool) *Request {
	slices.SortFunc(q.flows[class], compareFlows)
	for _, f := range q.flows[class] {
		r := f.firstFitting(fits)
		if r == nil {
			continue
		}
		q.virtualTimes[class] = max(q.virtualTimes[class], f.virtualStart)
		f.virtualStart += float64(max(1, r.Cost)) / r.weight()
		q.remove(r)
		return r
	}
	return nil
}

// compareFlows orders by virtual time, and by name where that is equal.
func compareFlows(a, b *flow) int {
	return cmp.Or(cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.workspace, b.workspace))
}

// flow returns the line of r's class and workspace, or nil.
func (q *queue) flow(r *Request) *flow {
	for _, f := range q.flows[r.Class] {
		if f.workspace == r.Workspace {
			return f
		}
	}
	return nil
}

func (f *flow) firstFitting(fits func(*Request) bool) *Request {
	for _, r := range f.requests {
		if fits(r) {
			return r
		}
	}
	return nil
}

// remove takes a request out. The line of a workspace that waits for nothing
// is kept while it is ahead of the class's clock.
func (q *queue) remove(r *Request) {
	if !r.queued {
		return
	}
	f := q.flow(r)
	for i, other := range f.requests {
		if other == r {
			f.requests = append(f.requests[:i], f.requests[i+1:]...)
			break
		}
	}
	r.queued = false
	q.count(r, -1)
	q.removeIdleFlows(r.Class)
}

func (q *queue) count(r *Request, change int) {
	q.counts[r.Class] += change
	q.length += change
	if q.queuedByServers == nil {
		q.queuedByServers = make(map[**route.Server]*[classCount]int)
	}
	counts := q.queuedByServers[r.serverSet()]
	if counts == nil {
		counts = &[classCount]int{}
		q.queuedByServers[r.serverSet()] = counts
	}
	counts[r.Class] += change
	if *counts == [classCount]int{} {
		delete(q.queuedByServers, r.serverSet())
	}
}

// removeIdleFlows drops idle lines that the class's clock has passed.
func (q *queue) removeIdleFlows(class Class) {
	q.flows[class] = slices.DeleteFunc(q.flows[class], func(f *flow) bool {
		return len(f.requests) == 0 && (f.virtualStart <= q.virtualTimes[class] || q.counts[class] == 0)
	})
}

// requestsAhead returns how many requests are served before a new one of r's class and
// workspace, by the workspaces' shares.
func (q *queue) requestsAhead(r *Request) float64 {
	total := 0.0
	for class := range r.Class {
		total += float64(q.counts[class])
	}
	own := q.flow(r)
	ownQueued := 0.0
	if own != nil {
		ownQueued = float64(len(own.requests))
	}
	otherWeights := 0.0
	for _, f := range q.flows[r.Class] {
		if f != own && len(f.requests) > 0 {
			otherWeights += f.requests[0].weight()
		}
	}
	fairPosition := (ownQueued + 1) * (1 + otherWeights/r.weight())
	return total + min(float64(q.counts[r.Class]), fairPosition)
}

// victim returns the request to refuse in favour of r when the queue is full:
// the last of the least urgent class, out of the longest line by share, or nil
// when r itself is that.
func (q *queue) victim(r *Request) *Request {
	for class := classCount - 1; class > r.Class; class-- {
		if q.counts[class] > 0 {
			return q.longestFlow(class).last()
		}
	}
	if q.counts[r.Class] == 0 {
		return nil
	}
	longestFlow := q.longestFlow(r.Class)
	own := q.flow(r)
	ownQueued := 1.0
	if own != nil {
		ownQueued += float64(len(own.requests))
	}
	if longestFlow == own || longestFlow.weightedLength() <= ownQueued/r.weight() {
		return nil
	}
	return longestFlow.last()
}

func (q *queue) longestFlow(class Class) *flow {
	var best *flow
	for _, f := range q.flows[class] {
		if len(f.requests) == 0 {
			continue
		}
		if best == nil || f.weightedLength() > best.weightedLength() || f.weightedLength() == best.weightedLength() && f.workspace < best.workspace {
			best = f
		}
	}
	return best
}

func (f *flow) weightedLength() float64 {
	return float64(len(f.requests)) / f.requests[0].weight()
}

func (f *flow) last() *Request {
	return f.requests[len(f.requests)-1]
}
