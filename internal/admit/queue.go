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
	classes
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

	queued bool
	since  time.Time
}

// Waits tells whether the request is queued.
func (r *Request) Waits() bool {
	return r.queued
}

// set identifies the candidates: requests of one work share their slice.
func (r *Request) set() **route.Server {
	return &r.Servers[0]
}

func (r *Request) weight() float64 {
	return float64(max(1, r.Weight))
}

// queue holds the requests that wait: a line for each workspace in each class.
type queue struct {
	lines  [classes][]*line
	clocks [classes]float64
	counts [classes]int
	length int
	// waiting counts by candidates and class.
	waiting map[**route.Server]*[classes]int
}

// line is one workspace's requests in one class, the first come first.
type line struct {
	workspace string
	requests  []*Request
	// start is the virtual time at which the workspace is served next.
	start float64
}

// push adds a request.
func (q *queue) push(r *Request) {
	l := q.line(r)
	if l == nil {
		l = &line{workspace: r.Workspace, start: q.clocks[r.Class]}
		q.lines[r.Class] = append(q.lines[r.Class], l)
	}
	l.requests = append(l.requests, r)
	q.count(r, 1)
	r.queued = true
}

// pop removes the request to serve next out of those that fits accepts: the
// most urgent class, and in it the workspace that had the least of its share.
func (q *queue) pop(fits func(*Request) bool) *Request {
	for class := range classes {
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
	slices.SortFunc(q.lines[class], compareLines)
	for _, l := range q.lines[class] {
		r := l.first(fits)
		if r == nil {
			continue
		}
		q.clocks[class] = max(q.clocks[class], l.start)
		l.start += float64(max(1, r.Cost)) / r.weight()
		q.remove(r)
		return r
	}
	return nil
}

// compareLines orders by virtual time, and by name where that is equal.
func compareLines(a, b *line) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.workspace, b.workspace))
}

// line returns the line of r's class and workspace, or nil.
func (q *queue) line(r *Request) *line {
	for _, l := range q.lines[r.Class] {
		if l.workspace == r.Workspace {
			return l
		}
	}
	return nil
}

func (l *line) first(fits func(*Request) bool) *Request {
	for _, r := range l.requests {
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
	l := q.line(r)
	for i, other := range l.requests {
		if other == r {
			l.requests = append(l.requests[:i], l.requests[i+1:]...)
			break
		}
	}
	r.queued = false
	q.count(r, -1)
	q.forget(r.Class)
}

func (q *queue) count(r *Request, change int) {
	q.counts[r.Class] += change
	q.length += change
	if q.waiting == nil {
		q.waiting = make(map[**route.Server]*[classes]int)
	}
	counts := q.waiting[r.set()]
	if counts == nil {
		counts = &[classes]int{}
		q.waiting[r.set()] = counts
	}
	counts[r.Class] += change
	if *counts == [classes]int{} {
		delete(q.waiting, r.set())
	}
}

// forget drops idle lines that the class's clock has passed.
func (q *queue) forget(class Class) {
	q.lines[class] = slices.DeleteFunc(q.lines[class], func(l *line) bool {
		return len(l.requests) == 0 && (l.start <= q.clocks[class] || q.counts[class] == 0)
	})
}

// ahead returns how many requests are served before a new one of r's class and
// workspace, by the workspaces' shares.
func (q *queue) ahead(r *Request) float64 {
	total := 0.0
	for class := range r.Class {
		total += float64(q.counts[class])
	}
	own := q.line(r)
	mine := 0.0
	if own != nil {
		mine = float64(len(own.requests))
	}
	shares := 0.0
	for _, l := range q.lines[r.Class] {
		if l != own && len(l.requests) > 0 {
			shares += l.requests[0].weight()
		}
	}
	fair := (mine + 1) * (1 + shares/r.weight())
	return total + min(float64(q.counts[r.Class]), fair)
}

// victim returns the request to refuse in favour of r when the queue is full:
// the last of the least urgent class, out of the longest line by share, or nil
// when r itself is that.
func (q *queue) victim(r *Request) *Request {
	for class := classes - 1; class > r.Class; class-- {
		if q.counts[class] > 0 {
			return q.longest(class).last()
		}
	}
	if q.counts[r.Class] == 0 {
		return nil
	}
	longest := q.longest(r.Class)
	own := q.line(r)
	mine := 1.0
	if own != nil {
		mine += float64(len(own.requests))
	}
	if longest == own || longest.share() <= mine/r.weight() {
		return nil
	}
	return longest.last()
}

func (q *queue) longest(class Class) *line {
	var best *line
	for _, l := range q.lines[class] {
		if len(l.requests) == 0 {
			continue
		}
		if best == nil || l.share() > best.share() || l.share() == best.share() && l.workspace < best.workspace {
			best = l
		}
	}
	return best
}

func (l *line) share() float64 {
	return float64(len(l.requests)) / l.requests[0].weight()
}

func (l *line) last() *Request {
	return l.requests[len(l.requests)-1]
}
