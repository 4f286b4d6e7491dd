package instances

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// staleAfter is the age from which an entry reads the list by itself.
	staleAfter    = 2500 * time.Millisecond
	checkInterval = 500 * time.Millisecond
)

// View is an entry's newest knowledge of the list. It prefers what control
// instances tell and reads the list itself only when they fall silent.
type View struct {
	// Lister reads the list; nil means never.
	Lister Lister
	Log    *log.Logger
	// Changed is called with each newer list; nil means not called.
	Changed func([]Instance)

	mu        sync.Mutex
	reader    string
	number    uint64
	confirmed time.Time

	stop context.CancelFunc
	done chan struct{}
}

// Start begins to watch the view's age.
func (v *View) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	v.done = make(chan struct{})
	go v.run(ctx)
}

// Close ends the watch.
func (v *View) Close() {
	v.stop()
	<-v.done
}

// Known returns which listing the view holds.
func (v *View) Known() (reader string, number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reader, v.number
}

// Age returns the time since the view was known to be current.
func (v *View) Age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmed.IsZero() {
		return -1
	}
	return time.Since(v.confirmed)
}

// Confirm takes notice that a reader's listing is still current at an age.
func (v *View) Confirm(reader string, number uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := time.Now().Add(-age)
	if v.reader == reader && v.number == number && at.After(v.confirmed) {
		v.confirmed = at
	}
}

// Offer takes a listing of an age in, unless the view is newer.
func (v *View) Offer(listing Listing, age time.Duration) {
	v.mu.Lock()
	at := time.Now().Add(-age)
	if at.Before(v.confirmed) {
		v.mu.Unlock()
		return
	}
	v.confirmed = at
	v.reader = listing.Reader
	v.number = listing.Number
	v.mu.Unlock()
	if v.Changed != nil {
		v.Changed(listing.Instances)
	}
}

// run reads the list when nobody has told it for a while.
func (v *View) run(ctx context.Context) {
	defer close(v.done)
	for ctx.Err() == nil {
		sleep.For(ctx, checkInterval)
		age := v.Age()
		if v.Lister != nil && ctx.Err() == nil && (age < 0 || age > staleAfter) {
			v.read(ctx)
		}
	}
}

func (v *View) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := time.Now()
	reading, err := v.Lister.List(ctx)
	if err != nil {
		v.Log.Warn("the list of instances could not be read by the entry itself", "err", err.Error(), "age_ms", v.Age().Milliseconds())
		return
	}
	v.Offer(Listing{Instances: reading.Instances}, time.Since(asked)+reading.Age)
}
