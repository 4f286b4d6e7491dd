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
	// jitterPerEntry is added to the age at which entries read, for each of them:
	// the first to read tells the others.
	jitterPerEntry = 30 * time.Millisecond
	maxJitter      = 3 * time.Second
)

// View is an entry's newest knowledge of the list. It prefers what control
// instances tell and reads the list itself only when they fall silent.
type View struct {
	// Lister reads the list; nil means never.
	Lister Lister
	Log    *log.Logger
	// Changed is called with each newer list; nil means not called.
	Changed func([]Instance)
	// Announce is called with the sum of a list that this entry read itself and the
	// time since the list was current; nil means not called.
	Announce func(checksum uint64, age time.Duration)
	// Entries returns how many entries there are; nil means one.
	Entries func() int

	mu        sync.Mutex
	reader    string
	number    uint64
	confirmed time.Time
	// checksum is that of the list that the view holds.
	checksum uint64

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

// ListingID returns which listing the view holds.
func (v *View) ListingID() (reader string, number uint64) {
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

// ConfirmChecksum takes notice of the sum of a list that another entry read: the same list
// is still current.
func (v *View) ConfirmChecksum(checksum uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.checksum == checksum && !v.confirmed.IsZero() {
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
	v.replace(listing, checksumOf(listing.Instances), age)
}

func (v *View) replace(listing Listing, checksum uint64, age time.Duration) {
	v.mu.Lock()
	at := time.Now().Add(-age)
	if at.Before(v.confirmed) {
		v.mu.Unlock()
		return
	}
	v.confirmed = at
	v.reader = listing.Reader
	v.number = listing.Number
	v.checksum = checksum
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
			sleep.For(ctx, staleAfter+v.readJitter()-age)
		}
		if ctx.Err() == nil && v.isStale() {
			v.readList(ctx)
		}
	}
}

// isStale tells whether the list was never told or too long ago.
func (v *View) isStale() bool {
	age := v.Age()
	return age < 0 || age > staleAfter
}

// readJitter returns how much longer than others this entry waits before it reads
// the list, a random part of what all together wait.
func (v *View) readJitter() time.Duration {
	if v.Entries == nil || v.Announce == nil {
		return 0
	}
	return rand.N(min(maxJitter, time.Duration(v.Entries())*jitterPerEntry) + 1)
}

func (v *View) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	started := time.Now()
	reading, err := v.Lister.List(ctx)
	if err != nil {
		v.Log.Warn("the list of instances could not be read by the entry itself", "err", err.Error(), "age_ms", v.Age().Milliseconds())
		return
	}
	age := time.Since(started) + reading.Age
	checksum := checksumOf(reading.Instances)
	v.replace(Listing{Instances: reading.Instances}, checksum, age)
	if v.Announce != nil {
		v.Announce(checksum, age)
	}
}

// checksumOf returns a sum that differs between lists; their order counts.
func checksumOf(list []Instance) uint64 {
	hash := fnv.New64a()
	for _, i := range list {
		_, _ = fmt.Fprintf(hash, "%s %s %s %s %d %t\n", i.ID, i.Upstream, i.Address, i.FailureDomain, i.Slots, i.Leaving)
	}
	return hash.Sum64()
}
