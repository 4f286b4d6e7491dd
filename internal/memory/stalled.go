package memory

import (
	"slices"
	"sync"
	"time"
)

const (
	// bodyStallTime is the time in which a request body that is being read must advance by
	// stallBytes, and responseStallTime that for a response that is being written, or it gives
	// way to others that lack memory.
	bodyStallTime     = time.Second
	responseStallTime = 3 * time.Second
	stallBytes        = 4 << 10
)

// transfer is a body on its way between the entry and a caller. It gives way to others that lack
// memory if it stalls.
type transfer struct {
	caller string
	// stop ends the transfer, and giveBack gives its bytes back; the account's mu is held.
	stop     func()
	giveBack func()
	// stallTime is the time in which it must advance by stallBytes.
	stallTime time.Duration
	// advancedAt is when it has last advanced by stallBytes, and since how many bytes have
	// been transferred from then on.
	advancedAt time.Time
	since      int
	// ended makes sure that stop isn't called once the transfer has ended: by then its
	// connection may carry the next one.
	ended sync.Once
}

// end records that the transfer has ended; nothing if x is nil. The account's mu is not held.
func (x *transfer) end() {
	if x != nil {
		x.ended.Do(func() {})
	}
}

// isStalled reports whether the transfer has not advanced for its stallTime.
func (x *transfer) isStalled(now time.Time) bool {
	return now.Sub(x.advancedAt) >= x.stallTime
}

// advance records that bytes have been transferred; nothing if x is nil.
func (x *transfer) advance(bytes int) {
	if x == nil {
		return
	}
	x.since += bytes
	if x.since >= stallBytes {
		x.since = 0
		x.advancedAt = time.Now()
	}
}

// begin adds a transfer that begins now; mu is held.
func (a *Account) begin(x *transfer) *transfer {
	x.advancedAt = time.Now()
	if a.transfers == nil {
		a.transfers = make(map[*transfer]struct{})
	}
	a.transfers[x] = struct{}{}
	return x
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
	r.reading = r.account.begin(&transfer{caller: r.caller, stop: stop, stallTime: bodyStallTime, giveBack: r.giveBack})
}

// giveBack gives the bytes of a body that has to give way back; mu is held.
func (r *Request) giveBack() {
	r.hasGivenWay = true
	r.account.add(r.caller, usage{total: -r.bytes, requests: -r.bytes})
	r.bytes = 0
}

// Advance records that bytes of the body have arrived.
func (r *Request) Advance(bytes int) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.reading.advance(bytes)
}

// Complete records that the whole body has been read. It reports whether its bytes are still
// reserved: it may have had to give way just before.
func (r *Request) Complete() bool {
	if r == nil {
		return true
	}
	defer r.reading.end()
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	delete(r.account.transfers, r.reading)
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

// Begin records that the whole response is there and is being written to its caller, and that stop
// ends that. While others lack memory, stop is called for a response that stalls, and its bytes
// are given back. stop may be called by any goroutine, at most once, and not after Release.
func (r *Response) Begin(stop func()) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.writing = r.account.begin(&transfer{caller: r.caller, stop: stop, stallTime: responseStallTime, giveBack: r.giveBack})
}

// giveBack gives the bytes of a response that has to give way back; mu is held.
func (r *Response) giveBack() {
	r.account.add(r.caller, usage{total: -r.bytes})
	r.bytes = 0
	if r.account.overdrawn == r {
		r.account.overdrawn = nil
	}
}

// Advance records that bytes of the response have been written.
func (r *Response) Advance(bytes int) {
	if r == nil {
		return
	}
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.writing.advance(bytes)
}

// stopStalled ends transfers that stall, those that have stalled for the longest first, until
// hasRoom holds or none is left. Only those of the named caller help if callerHasRoom doesn't
// hold. It returns their stop functions, which must be called without mu; mu is held.
func (a *Account) stopStalled(caller string, hasRoom, callerHasRoom func() bool) []func() {
	var stops []func()
	for _, x := range a.stalled(time.Now()) {
		if hasRoom() {
			break
		}
		if x.caller != caller && !callerHasRoom() {
			continue
		}
		delete(a.transfers, x)
		x.giveBack()
		a.givenWay++
		stops = append(stops, func() { x.ended.Do(x.stop) })
	}
	return stops
}

// stalled returns the transfers that stall, those that have stalled for the longest first; mu is
// held.
func (a *Account) stalled(now time.Time) []*transfer {
	var found []*transfer
	for x := range a.transfers {
		if x.isStalled(now) {
			found = append(found, x)
		}
	}
	slices.SortFunc(found, func(x, y *transfer) int { return x.advancedAt.Compare(y.advancedAt) })
	return found
}
