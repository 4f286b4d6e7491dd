package group

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

// startWait is how long a starting instance waits for a majority of the
// control instances before it goes on with what it can reach.
const startWait = 3 * time.Second

// prober asks the control instances that are not the source in turn, so that
// a source which is stuck, empty or cut off is noticed.
type prober struct {
	watcher *Watcher
	next    int
	done    chan struct{}
}

func (p *prober) run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		sleep.For(ctx, probeInterval)
		index, found := p.choose()
		if found && ctx.Err() == nil {
			p.probe(ctx, index)
		}
	}
}

// choose returns the next control instance that is not the source.
func (p *prober) choose() (int, bool) {
	w := p.watcher
	if len(w.Addresses) < 2 {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.next = (p.next + 1) % len(w.Addresses)
	if p.next == w.source {
		p.next = (p.next + 1) % len(w.Addresses)
	}
	return p.next, true
}

func (p *prober) probe(ctx context.Context, index int) {
	w := p.watcher
	before := w.Active().Number
	response, err := w.fetch(ctx, index, watchRequest{}, probeTimeout)
	if err != nil || response.Leaving {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if response.Number > before {
		w.missed++
	}
	if w.missed >= missedProbes {
		w.setSource(index)
		return
	}
	nearer := index < w.source && response.Number >= w.active.Number
	if nearer && time.Since(w.switched) >= returnAfter {
		w.setSource(index)
	}
}

// inquiry asks one control instance for its version number.
type inquiry struct {
	watcher *Watcher
	index   int
	answers chan<- inquiryAnswer
}

type inquiryAnswer struct {
	index    int
	response *watchResponse
	err      error
}

func (q inquiry) run(ctx context.Context) {
	response, _, err := q.watcher.ask(ctx, q.index, watchRequest{NumberOnly: true}, probeTimeout)
	q.answers <- inquiryAnswer{index: q.index, response: response, err: err}
}

// findFirst puts the highest version in force that a majority of the control
// instances shows or, after startWait, that any of them shows.
func (w *Watcher) findFirst(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil {
		best, enough := w.inquire(ctx)
		if best >= 0 && (enough || time.Since(start) >= startWait) {
			_, err := w.pull(ctx, best)
			if err == nil {
				w.mu.Lock()
				w.setSource(best)
				w.switched = time.Time{}
				w.mu.Unlock()
				return
			}
		}
		sleep.For(ctx, watchRetry)
	}
}

// inquire asks every control instance and returns the one with the highest
// version, or -1. It is enough when a majority answered and no instance of the
// fleet reported a higher version.
func (w *Watcher) inquire(ctx context.Context) (best int, enough bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan inquiryAnswer, len(w.Addresses))
	for index := range w.Addresses {
		go inquiry{watcher: w, index: index, answers: answers}.run(ctx)
	}
	best = -1
	var number, known uint64
	answered := 0
	for range w.Addresses {
		answer := <-answers
		if answer.err != nil {
			continue
		}
		answered++
		known = max(known, answer.response.Known)
		if answer.response.Number > number {
			number = answer.response.Number
			best = answer.index
		}
		enough = answered > len(w.Addresses)/2 && number > 0 && number >= known
		if enough {
			return best, true
		}
	}
	return best, false
}
