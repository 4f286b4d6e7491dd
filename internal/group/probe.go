package group

import (
	"context"
	"slices"
	"sync"
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
	last    string
	// running are the probes in progress: one that hangs must not hold up the
	// next.
	running sync.WaitGroup
	done    chan struct{}
}

func (p *prober) run(ctx context.Context) {
	defer close(p.done)
	for ctx.Err() == nil {
		sleep.For(ctx, probeInterval)
		address, found := p.choose()
		if found && ctx.Err() == nil {
			p.running.Go(func() { p.probe(ctx, address) })
		}
	}
	p.running.Wait()
}

// choose returns the next control instance that is not the source.
func (p *prober) choose() (string, bool) {
	w := p.watcher
	w.mu.Lock()
	source := w.source
	w.mu.Unlock()
	next, _ := w.Directory.after(p.last)
	if next == source {
		next, _ = w.Directory.after(next)
	}
	p.last = next
	return next, next != source
}

func (p *prober) probe(ctx context.Context, address string) {
	w := p.watcher
	before := w.Active().Number
	response, err := w.fetch(ctx, address, watchRequest{}, probeTimeout)
	if err != nil || response.Leaving || response.Lagging {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if response.Number > before {
		w.missed++
	}
	if w.missed >= missedProbes {
		w.setSource(address)
		return
	}
	addresses := w.Directory.Addresses()
	nearer := slices.Index(addresses, address) < slices.Index(addresses, w.source) && response.Number >= w.active.Number
	if nearer && time.Since(w.switched) >= returnAfter {
		w.setSource(address)
	}
}

// inquiry asks one control instance for its version number.
type inquiry struct {
	watcher *Watcher
	address string
	answers chan<- inquiryAnswer
}

type inquiryAnswer struct {
	address  string
	response *watchResponse
	err      error
}

func (q inquiry) run(ctx context.Context) {
	response, _, err := q.watcher.ask(ctx, q.address, watchRequest{NumberOnly: true}, probeTimeout)
	q.answers <- inquiryAnswer{address: q.address, response: response, err: err}
}

// findFirst puts the highest version in force that a majority of the control
// instances shows or, after startWait, that any of them shows.
func (w *Watcher) findFirst(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil {
		best, enough := w.inquire(ctx)
		if best != "" && (enough || time.Since(start) >= startWait) {
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
// version, or "". It is enough when a majority answered and no instance of the
// fleet reported a higher version.
func (w *Watcher) inquire(ctx context.Context) (best string, enough bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := w.Directory.Addresses()
	members := len(w.Directory.Members())
	answers := make(chan inquiryAnswer, len(addresses))
	for _, address := range addresses {
		go inquiry{watcher: w, address: address, answers: answers}.run(ctx)
	}
	var number, known uint64
	answered := 0
	for range addresses {
		answer := <-answers
		if answer.err != nil {
			continue
		}
		answered++
		known = max(known, answer.response.Known)
		if answer.response.Number > number {
			number = answer.response.Number
			best = answer.address
		}
		enough = answered > members/2 && number > 0 && number >= known
		if enough {
			return best, true
		}
	}
	return best, false
}
