// Package bench compares routing and admission policies under a model of a
// site in virtual time. It drives the decision code of internal/route and
// internal/admit; only the engines, the callers and the network are modelled.
package bench

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual times; its zero value works.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

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

// after runs f once the duration has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.sequence, run: f})
}

// runUntil runs the events up to a time.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
