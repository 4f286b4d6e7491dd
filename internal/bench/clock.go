// Package bench compares routing and admission policies by discrete-event
// simulation of a site. It runs the decision code of internal/route and
// internal/admit; the engines, the callers and the network are modelled.
package bench

import (
	"container/heap"
	"time"
)

// clock is the event queue of the simulation. It runs events in the order of
// their virtual times, and events at one time in the order in which they were
// scheduled. Its zero value is ready to use.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence int
}

// event is a function scheduled for a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.sequence, run: f})
}

// runUntil runs the events up to and including end and advances the clock to
// end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
