package instances

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// staleAfter is the age from which an entry reads the list itself.
	staleAfter = 2500 * time.Millisecond
	// checkInterval is the time between checks of the age.
	checkInterval = 500 * time.Millisecond
	// jitterPerEntry times the number of entries, but at most maxJitter, is the
	// range of a random delay before an entry reads the list. The first entry
	// to read it announces the result to the other entries, which then need not
	// read it.
	jitterPerEntry = 30 * time.Millisecond
	maxJitter      = 3 * time.Second
	// maxListGap is the longest time between two confirmations of the list in which the
	// view still counts as following it.
	maxListGap = 4 * time.Second
)

// View is an entry's copy of the list of backend servers. It uses the listings
// from the control instances and reads the list itself only when it has
// received none for staleAfter. It is safe for concurrent use.
type View struct {
	// Lister reads the list; nil means that the entry never reads it itself.
	Lister Lister
	Log    *log.Logger
	// Changed, if not nil, is called with each newer list.
	Changed func([]Instance)
	// Announce, if not nil, is called after this entry has read the list
	// itself, with the checksum of the list and the time since it was current.
	Announce func(checksum uint64, age time.Duration)
	// Entries returns the number of entries; nil means one.
	Entries func() int

	mu sync.Mutex
	// reader and number identify the listing that the view holds. They are zero
	// for a list that the entry read itself.
	reader string
	number uint64
	// confirmed is when the list was last known to be current.
	confirmed time.Time
	// followedSince is when the view began to follow the list without a gap.
	followedSince time.Time
	// checksum is the checksum of the list that the view holds.
	checksum uint64
	// provenAt is the latest time at which the list is proven to have been current. It
	// lies before the request for the news, and so doesn't depend on how long these
	// took, or on how long this entry then stood still; confirmed does.
	provenAt time.Time
	// proven is closed and replaced when provenAt changes; nil if nobody waits.
	proven chan struct{}
	// wanted is the latest time for which a proof is awaited.
	wanted time.Time
	// readAt is when this entry last began to read the list itself.
	readAt time.Time
	// wake holds at most one pending signal to read the list.
	wake chan struct{}

	skipped skippedLog

	stop context.CancelFunc
	done chan struct{}
}

// Start starts to monitor the age of the list in the background.
func (v *View) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	v.done = make(chan struct{})
	v.wake = make(chan struct{}, 1)
	go v.run(ctx)
}

// Close stops monitoring and waits until it has ended.
func (v *View) Close() {
	v.stop()
	<-v.done
}

// ListingID returns the reader and the number of the listing that the view
// holds.
func (v *View) ListingID() (reader string, number uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reader, v.number
}

// Age returns the time since the list was last known to be current, or -1 if
// the view has no list yet.
func (v *View) Age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmed.IsZero() {
		return -1
	}
	return time.Since(v.confirmed)
}

// Confirm records that the listing with the given reader and number was still
// current age ago. It has no effect if the view holds another listing.
func (v *View) Confirm(reader string, number uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reader == reader && v.number == number {
		v.confirm(age)
	}
}

// ConfirmChecksum records that a list with the given checksum, read by another
// entry, was current age ago. It has no effect if the view holds another list.
func (v *View) ConfirmChecksum(checksum uint64, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.checksum == checksum && !v.confirmed.IsZero() {
		v.confirm(age)
	}
}

// confirm records that the list was current age ago; mu is held.
func (v *View) confirm(age time.Duration) {
	at := time.Now().Add(-age)
	if at.After(v.confirmed) {
		v.confirmAt(at)
	}
}

// confirmAt records that the list was current at the given time; mu is held.
func (v *View) confirmAt(at time.Time) {
	if at.Sub(v.confirmed) > maxListGap {
		v.followedSince = at
	}
	v.confirmed = at
}

// FollowedFor returns how long the view has followed the list without a gap: every
// instance that was listed for longer than a gap in that time was seen. It returns 0 if
// the list is too old now.
func (v *View) FollowedFor() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmed.IsZero() || time.Since(v.confirmed) > maxListGap {
		return 0
	}
	return time.Since(v.followedSince)
}

// Offer replaces the list by a listing that was current age ago, unless the
// view's own list is newer.
func (v *View) Offer(listing Listing, age time.Duration) {
	v.replace(listing, checksumOf(listing.Instances), age)
}

// replace replaces the list, unless the view's own list is newer, and calls
// Changed.
func (v *View) replace(listing Listing, checksum uint64, age time.Duration) {
	v.mu.Lock()
	at := time.Now().Add(-age)
	if at.Before(v.confirmed) {
		v.mu.Unlock()
		return
	}
	v.confirmAt(at)
	v.reader = listing.Reader
	v.number = listing.Number
	v.checksum = checksum
	v.mu.Unlock()
	if v.Changed != nil {
		v.Changed(listing.Instances)
	}
}

// run reads the list whenever it is stale or requests await a proof, until ctx is done.
func (v *View) run(ctx context.Context) {
	defer close(v.done)
	for ctx.Err() == nil {
		v.sleep(ctx)
		if v.Lister != nil && v.isReadDue() {
			v.readList(ctx)
		}
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

// sleep waits for checkInterval, or until a request awaits a proof or ctx is done.
func (v *View) sleep(ctx context.Context) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-v.wake:
	case <-ctx.Done():
	}
}

// isStale reports whether the view has no list yet or has not been confirmed
// for staleAfter.
func (v *View) isStale() bool {
	age := v.Age()
	return age < 0 || age > staleAfter
}

// readJitter returns a random delay before a read of the list, so that not all
// entries read it at once. The range grows with the number of entries.
func (v *View) readJitter() time.Duration {
	if v.Entries == nil || v.Announce == nil {
		return 0
	}
	return rand.N(min(maxJitter, time.Duration(v.Entries())*jitterPerEntry) + 1)
}

// readList reads the list, replaces the view's and announces it to the other
// entries.
func (v *View) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	started := time.Now()
	v.mu.Lock()
	v.readAt = started
	v.mu.Unlock()
	reading, err := v.Lister.List(ctx)
	if err != nil {
		v.Log.Warn("the list of instances could not be read by the entry itself", "err", err.Error(), "age_ms", v.Age().Milliseconds())
		return
	}
	v.skipped.report(v.Log, reading.Skipped)
	age := time.Since(started) + reading.Age
	checksum := checksumOf(reading.Instances)
	v.replace(Listing{Instances: reading.Instances}, checksum, age)
	v.proveChecksum(checksum, started.Add(-reading.Age))
	if v.Announce != nil {
		v.Announce(checksum, age)
	}
}

// checksumOf returns a hash of the list, which depends on its order. Only a cold server
// adds to its line, so that builds that know of none compute the same for all other lists.
func checksumOf(list []Instance) uint64 {
	hash := fnv.New64a()
	for _, i := range list {
		_, _ = fmt.Fprintf(hash, "%s %s %s %s %d %q %t\n", i.ID, i.Upstream, i.Address, i.FailureDomain, i.Slots, i.Version, i.Leaving)
		if i.Cold {
			_, _ = io.WriteString(hash, "cold\n")
		}
	}
	return hash.Sum64()
}
