package instances

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// DefaultInterval is short enough that, with the list's own lag, a leaving
	// server is noticed within the time in which it may still receive requests.
	DefaultInterval = 500 * time.Millisecond
	// pollTimeout bounds one read of the list.
	pollTimeout = time.Second
	// maxBackoff bounds the wait after repeated failures.
	maxBackoff = 4 * time.Second
	// maxListingBytes bounds a list that is passed on to entries, in a message that also
	// brings the configuration. Entries read a longer one themselves.
	maxListingBytes = 4 << 20
	// instanceOverhead exceeds the bytes of an encoded instance beside its texts.
	instanceOverhead = 48
)

// Poller reads the list periodically and numbers its changes.
type Poller struct {
	// Lister is the source of the list.
	Lister Lister
	// Interval is the time between reads; 0 means DefaultInterval.
	Interval time.Duration
	Log      *log.Logger
	// Read, if not nil, is called with the list after each successful read.
	Read func([]Instance)

	mu      sync.Mutex
	listing Listing
	// currentAt is when the listing was last known to be current.
	currentAt time.Time
	// changed is closed and replaced when the listing changes.
	changed chan struct{}

	skipped skippedLog

	stop context.CancelFunc
	done chan struct{}
}

// Start starts polling in the background.
func (p *Poller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.done = make(chan struct{})
	p.listing.Reader = rand.Text()
	p.changed = make(chan struct{})
	go p.run(ctx)
}

// Close stops polling and waits until it has ended.
func (p *Poller) Close() {
	p.stop()
	<-p.done
}

// Current returns the newest listing, the time since it was current and a
// channel that is closed at the next change. The age is negative before the
// first successful read.
func (p *Poller) Current() (Listing, time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentAt.IsZero() {
		return p.listing, -1, p.changed
	}
	return p.listing, time.Since(p.currentAt), p.changed
}

// run polls until ctx is done. After each failure in a row it doubles the wait.
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

// poll reads the list once. It increments the listing's number if the list has
// changed.
func (p *Poller) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	started := time.Now()
	reading, err := p.Lister.List(ctx)
	if err != nil {
		return err
	}
	p.skipped.report(p.Log, reading.Skipped)
	if bytesOf(reading.Instances) > maxListingBytes {
		return errors.Newf("list of %d instances is too long to be passed on", len(reading.Instances))
	}
	p.store(reading, started.Add(-reading.Age))
	if p.Read != nil {
		p.Read(reading.Instances)
	}
	return nil
}

// bytesOf returns a bound of the size of an encoded list.
func bytesOf(list []Instance) int {
	bytes := 0
	for _, i := range list {
		bytes += instanceOverhead + len(i.ID) + len(i.Upstream) + len(i.Address) + len(i.FailureDomain) + len(i.Version)
	}
	return bytes
}

// store makes a list that was current at the given time the newest listing, unless
// it is older than that.
func (p *Poller) store(reading Reading, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.Before(p.currentAt) {
		return
	}
	p.currentAt = at
	if p.listing.Number > 0 && slices.Equal(reading.Instances, p.listing.Instances) {
		return
	}
	p.listing.Instances = reading.Instances
	p.listing.Number++
	close(p.changed)
	p.changed = make(chan struct{})
}
