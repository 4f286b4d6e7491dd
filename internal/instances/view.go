package instances

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// staleAfter is the age from which an entry reads the list by itself.
	staleAfter    = 2500 * time.Millisecond
	checkInterval = 500 * time.Millisecond
	// spreadEach is added to the age at which entries read, for each of them:
	// the first to read tells the others.
	spreadEach = 30 * time.Millisecond
	maxSpread  = 3 * time.Second
)

// View is an entry's newest knowledge of the list. It prefers what control
// instances tell and reads the list itself only when they fall silent.
type View struct {
	// Lister reads the list; nil means never.
	Lister Lister
	Log    *log.Logger
	// Changed is called with each newer list; nil means not called.
	Changed func([]Instance)
	// Tell is called with the sum of a list that this entry read itself and the
	// time since the list was current; nil means not called.
	Tell func(sum uint64, age time.Duration)
	// Entries returns how many entries there are; nil means one.
	Entries func() int

	mu        sync.Mutex
	reader    string
	number    uint64
	confirmed time.Time
	// sum is that of the list that the view holds.
	sum uint64

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
	if v.reader == reader && v.number == number {
		v.confirm(age)
	}
}

// Hear takes notice of the sum of a list that another entry read: the same list
// is still current.
func (v *View) Hear(sum uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.sum == sum && !v.confirmed.IsZero() {
		v.confirm(age)
	}
}

// confirm is called with mu held.
func (v *View) confirm(age time.Duration) {
	at := time.Now().Add(-age)
	if at.After(v.confirmed) {
		v.confirmed = at
	}
}

// Offer takes a listing of an age in, unless the view is newer.
func (v *View) Offer(listing Listing, age time.Duration) {
	v.take(listing, sumOf(listing.Instances), age)
}

func (v *View) take(listing Listing, sum uint64, age time.Duration) {
	v.mu.Lock()
	at := time.Now().Add(-age)
	if at.Before(v.confirmed) {
		v.mu.Unlock()
		return
	}
	v.confirmed = at
	v.reader = listing.Reader
	v.number = listing.Number
	v.sum = sum
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
		if v.Lister == nil || !v.isStale() {
			continue
		}
		if age := v.Age(); age >= 0 {
			sleep.For(ctx, staleAfter+v.spread()-age)
		}
		if ctx.Err() == nil && v.isStale() {
			v.read(ctx)
		}
	}
}

// isStale tells whether the list was never told or too long ago.
func (v *View) isStale() bool {
	age := v.Age()
	return age < 0 || age > staleAfter
}

// spread returns how much longer than others this entry waits before it reads
// the list, a random part of what all together wait.
func (v *View) spread() time.Duration {
	if v.Entries == nil || v.Tell == nil {
		return 0
	}
	return rand.N(min(maxSpread, time.Duration(v.Entries())*spreadEach) + 1)
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
	age := time.Since(asked) + reading.Age
	sum := sumOf(reading.Instances)
	v.take(Listing{Instances: reading.Instances}, sum, age)
	if v.Tell != nil {
		v.Tell(sum, age)
	}
}

// sumOf returns a sum that differs between lists; their order counts.
func sumOf(list []Instance) uint64 {
	hash := fnv.New64a()
	for _, i := range list {
		_, _ = fmt.Fprintf(hash, "%s %s %s %s %d %t\n", i.ID, i.Upstream, i.Address, i.FailureDomain, i.Slots, i.Leaving)
	}
	return hash.Sum64()
}
