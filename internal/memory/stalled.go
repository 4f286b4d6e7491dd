package memory

import (
	"slices"
	"time"
)

const (
	// stallTime is the time in which a body that is being read must advance by stallBytes, or
	// it gives way to others that lack memory.
	stallTime  = time.Second
	stallBytes = 4 << 10
)

// reading is the state of a request body that is being read.
type reading struct {
	// stop ends the reading.
	stop func()
	// advancedAt is when the body has last advanced by stallBytes, and since how many bytes
	// have arrived from then on.
	advancedAt time.Time
	since      int
}

// Begin records that the body is being read, and that stop ends that. While others lack memory,
// stop is called for a body that stalls, and its bytes are given back. stop may be called by any
// goroutine, at most once, and not after Complete or Release.
func (r *Request) Begin(stop func()) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.reading = &reading{stop: stop, advancedAt: time.Now()}
	if r.account.reading == nil {
		r.account.reading = make(map[*Request]struct{})
	}
	r.account.reading[r] = struct{}{}
}

// Advance records that bytes of the body have arrived.
func (r *Request) Advance(bytes int) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.reading == nil {
		return
	}
	r.reading.since += bytes
	if r.reading.since >= stallBytes {
		r.reading.since = 0
		r.reading.advancedAt = time.Now()
	}
}

// Complete records that the whole body has been read. It reports whether its bytes are still
// reserved: it may have had to give way just before.
func (r *Request) Complete() bool {
	if r == nil {
		return true
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.endReading()
	return !r.hasGivenWay
}

// HasGivenWay reports whether the reading was ended for the sake of others.
func (r *Request) HasGivenWay() bool {
	if r == nil {
		return false
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.hasGivenWay
}

// endReading forgets that the body is being read; mu is held.
func (r *Request) endReading() {
	r.reading = nil
	delete(r.account.reading, r)
}

// stopStalled ends the reading of bodies that stall, those that have stalled for the longest first,
// until r may grow to the given number of bytes or none is left. It returns their stop functions,
// which must be called without mu; mu is held.
func (a *Account) stopStalled(r *Request, bytes int64) []func() {
	var stops []func()
	for _, other := range a.stalled(r, time.Now()) {
		if a.hasRoom(r.caller, r.bytes, bytes) {
			break
		}
		if other.caller == r.caller || a.callerHasRoom(r.caller, r.bytes, bytes) {
			stops = append(stops, other.giveWay())
		}
	}
	return stops
}

// stalled returns the bodies other than that of r which stall, those that have stalled for the
// longest first; mu is held.
func (a *Account) stalled(r *Request, now time.Time) []*Request {
	var found []*Request
	for other := range a.reading {
		if other != r && other.bytes > 0 && now.Sub(other.reading.advancedAt) >= stallTime {
			found = append(found, other)
		}
	}
	slices.SortFunc(found, func(x, y *Request) int { return x.reading.advancedAt.Compare(y.reading.advancedAt) })
	return found
}

// giveWay gives the bytes of a body that is being read back, and returns the function that ends
// the reading; the account's mu is held.
func (r *Request) giveWay() (stop func()) {
	stop = r.reading.stop
	r.endReading()
	r.hasGivenWay = true
	r.account.add(r.caller, usage{total: -r.bytes, requests: -r.bytes})
	r.account.givenWay++
	r.bytes = 0
	return stop
}
