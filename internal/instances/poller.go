package instances

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// DefaultInterval leaves room for the list's own lag within the time in
	// which a leaving server may still be used.
	DefaultInterval = 500 * time.Millisecond
	pollTimeout     = time.Second
	maxBackoff      = 4 * time.Second
)

// Poller reads the list again and again.
type Poller struct {
	Lister   Lister
	Interval time.Duration
	Log      *log.Logger

	mu      sync.Mutex
	listing Listing
	// readAt is when the list was last read in full.
	readAt  time.Time
	changed chan struct{}

	stop context.CancelFunc
	done chan struct{}
}

// Start begins to poll.
func (p *Poller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.done = make(chan struct{})
	p.listing.Reader = rand.Text()
	p.changed = make(chan struct{})
	go p.run(ctx)
}

// Close ends the polling.
func (p *Poller) Close() {
	p.stop()
	<-p.done
}

// Current returns the newest listing, its age and a channel that is closed at
// the next change. The age is negative before the first listing.
func (p *Poller) Current() (Listing, time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readAt.IsZero() {
		return p.listing, -1, p.changed
	}
	return p.listing, time.Since(p.readAt), p.changed
}

// run polls; after failures it waits longer each time.
func (p *Poller) run(ctx context.Context) {
	defer close(p.done)
	wait := p.interval()
	for ctx.Err() == nil {
		err := p.poll(ctx)
		if err == nil {
			wait = p.interval()
		} else if ctx.Err() == nil {
			p.Log.Warn("the list of instances could not be read", "err", err.Error(), "again_in", wait.String())
			wait = min(2*wait, maxBackoff)
		}
		sleep.For(ctx, wait)
	}
}

func (p *Poller) interval() time.Duration {
	if p.Interval == 0 {
		return DefaultInterval
	}
	return p.Interval
}

func (p *Poller) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	started := time.Now()
	reading, err := p.Lister.List(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := started.Add(-reading.Age)
	if at.Before(p.readAt) {
		return nil
	}
	p.readAt = at
	if p.listing.Number > 0 && slices.Equal(reading.Instances, p.listing.Instances) {
		return nil
	}
	p.listing.Instances = reading.Instances
	p.listing.Number++
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}
