package instances

import (
	"context"
	"time"
)

const (
	// demandIntervalPerEntry times the number of entries, but at least
	// minDemandInterval, is the time between two reads of the list that requests at an
	// entry ask for, so that all entries together stay within the platform's rate.
	demandIntervalPerEntry = 100 * time.Millisecond
	minDemandInterval      = time.Second
)

// Prove records that the listing with the given reader and number was still current at
// some time that is not before at. It has no effect if the view holds another listing.
func (v *View) Prove(reader string, number uint64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reader == reader && v.number == number {
		v.prove(at)
	}
}

// proveChecksum records that a list with the given checksum was current at the given
// time or later. It has no effect if the view holds another list.
func (v *View) proveChecksum(checksum uint64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.checksum == checksum {
		v.prove(at)
	}
}

// prove records that the list was current at the given time or later; mu is held.
func (v *View) prove(at time.Time) {
	if !at.After(v.provenAt) {
		return
	}
	v.provenAt = at
	if v.proven != nil {
		close(v.proven)
		v.proven = nil
	}
}

// AwaitCurrent waits until the list is proven to have been current at the given time or
// later, and makes this entry read it if need be. It returns false if ctx ends first.
func (v *View) AwaitCurrent(ctx context.Context, at time.Time) bool {
	for {
		proven, done := v.want(at)
		if done {
			return true
		}
		select {
		case <-proven:
		case <-ctx.Done():
			return false
		}
	}
}

// want reports whether the list is proven to have been current at the given time or
// later. If not, it asks for a read of the list and returns a channel that is closed at
// the next proof.
func (v *View) want(at time.Time) (proven <-chan struct{}, done bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.provenAt.Before(at) {
		return nil, true
	}
	if v.proven == nil {
		v.proven = make(chan struct{})
	}
	if at.After(v.wanted) {
		v.wanted = at
	}
	select {
	case v.wake <- struct{}{}:
	default:
	}
	return v.proven, false
}

// isReadDue reports whether a request awaits a proof and the entry may read the list
// again.
func (v *View) isReadDue() bool {
	entries := 1
	if v.Entries != nil {
		entries = v.Entries()
	}
	interval := max(minDemandInterval, time.Duration(entries)*demandIntervalPerEntry)
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.wanted.After(v.provenAt) && time.Since(v.readAt) >= interval
}
