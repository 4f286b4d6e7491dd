// Package admit decides whether a request is sent to a backend server now,
// queued or refused at once. Queued requests are ordered by priority class and,
// within a class, by weighted fair queueing over workspaces. It does no I/O and
// reads no clock: the current time is an argument.
package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/route"
)

// Class is a priority class of requests.
type Class int

// Classes, the most urgent first.
const (
	Interactive Class = iota
	Standard
	Batch
	classCount
)

// Request is a request that needs a slot at a backend server.
type Request struct {
	Class     Class
	Workspace string
	// Weight is the workspace's weight in fair queueing; 0 means 1.
	Weight int
	// Work names the kind of request, for estimates of its duration.
	Work string
	// Servers are the candidates. Requests of one work must share one slice,
	// because its address identifies the set.
	Servers []*route.Server
	// Prompt is nil for requests that run no model.
	Prompt *place.Prompt
	// Tried holds the names of servers that must not be picked.
	Tried map[string]bool
	// Cost is the maximum number of tokens that the request may use.
	Cost int64
	// Deadline is when the response must be complete.
	Deadline time.Time
	// Owner is for the user of the package, which doesn't read it.
	Owner any

	queued   bool
	queuedAt time.Time
}

// IsQueued reports whether the request is queued.
func (r *Request) IsQueued() bool {
	return r.queued
}

// serverSet identifies the candidate set by its address: requests of one work
// share one slice.
func (r *Request) serverSet() **route.Server {
	return &r.Servers[0]
}

// weight returns the workspace's weight, at least 1.
func (r *Request) weight() float64 {
	return float64(max(1, r.Weight))
}

// queue holds the queued requests, with one flow per class and workspace.
type queue struct {
	// flows are the flows of each class; virtualTimes is the virtual time up to
	// which each class has been served.
	flows        [classCount][]*flow
	virtualTimes [classCount]float64
	// counts is the number of queued requests per class, and length their sum.
	counts [classCount]int
	length int
	// queuedByServers counts queued requests per candidate set and class.
	queuedByServers map[**route.Server]*[classCount]int
}

// flow holds the queued requests of one workspace in one class, oldest first.
type flow struct {
	workspace string
	requests  []*Request
	// virtualStart is the virtual time at which the next request of the
	// workspace starts.
	virtualStart float64
}

// push queues r.
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

// pop removes and returns the next request among those that fits accepts, or
// nil. The most urgent class comes first, and within it the workspace with the
// least service relative to its weight.
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

// popClass is pop for one class. It advances the workspace's virtual start by
// the request's cost divided by the weight.
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

// compareFlows orders flows by virtual start and then by workspace name.
func compareFlows(a, b *flow) int {
	return cmp.Or(cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.workspace, b.workspace))
}

// flow returns the flow of r's class and workspace, or nil.
func (q *queue) flow(r *Request) *flow {
	for _, f := range q.flows[r.Class] {
		if f.workspace == r.Workspace {
			return f
		}
	}
	return nil
}

// firstFitting returns the oldest request that fits accepts, or nil.
func (f *flow) firstFitting(fits func(*Request) bool) *Request {
	for _, r := range f.requests {
		if fits(r) {
			return r
		}
	}
	return nil
}

// remove removes r if it is queued. An empty flow stays while its virtual start
// is ahead of the class's virtual time, so that a workspace can't reset its
// position by emptying its queue.
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

// count adds change to the counts of r's class and candidate set.
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

// removeIdleFlows drops empty flows whose virtual start the class's virtual
// time has passed, or all empty flows if the class has no queued request.
func (q *queue) removeIdleFlows(class Class) {
	q.flows[class] = slices.DeleteFunc(q.flows[class], func(f *flow) bool {
		return len(f.requests) == 0 && (f.virtualStart <= q.virtualTimes[class] || q.counts[class] == 0)
	})
}

// requestsAhead estimates how many requests are served before a new one of r's
// class and workspace: those of more urgent classes, and those of its class
// according to the weights.
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
// the newest request of the least urgent class, from the flow that is longest
// relative to its weight. It returns nil if r itself is that request.
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

// longestFlow returns the flow of the class that is longest relative to its
// weight, or nil if none has requests.
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

// weightedLength returns the number of queued requests divided by the
// workspace's weight.
func (f *flow) weightedLength() float64 {
	return float64(len(f.requests)) / f.requests[0].weight()
}

// last returns the newest request.
func (f *flow) last() *Request {
	return f.requests[len(f.requests)-1]
}
