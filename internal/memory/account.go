// Package memory accounts for the bytes of the bodies that an entry holds, and bounds them.
// It holds no bodies itself and does no I/O.
package memory

import "sync"

const (
	// bodyDivisor divides the memory of an entry to give the bytes of bodies that it may
	// hold. Connections, streams, state and garbage that is not collected yet take the
	// rest.
	bodyDivisor = 3
	// requestDivisor divides that again to give the bytes of request bodies. The rest is left
	// for the responses to them, which can't be refused.
	requestDivisor = 2
	// serverDivisor divides the bytes of request bodies to give those that may be outstanding
	// at one server, so that a few slow servers leave room for requests to the others.
	serverDivisor = 8
	// callerDivisor divides the bounds of the entry to give those of each caller, so that one
	// whose requests or reading are slow leaves as much to the others.
	callerDivisor = 2

	bytesPerMiB = 1 << 20
)

// Bounds are the numbers of bytes that may be held.
type Bounds struct {
	// Total bounds all bodies. One response at a time may exceed it.
	Total int64
	// Requests bounds the request bodies among them.
	Requests int64
	// Server bounds the bytes of the request bodies that are outstanding at one server. The
	// account does not know servers; place.Fleet obeys it.
	Server int64
}

// BoundsOf returns the bounds of an entry with the given memory in MiB.
func BoundsOf(memoryMB int) Bounds {
	total := int64(memoryMB) * bytesPerMiB / bodyDivisor
	requests := total / requestDivisor
	return Bounds{Total: total, Requests: requests, Server: requests / serverDivisor}
}

// caller returns the bounds of each caller.
func (b Bounds) caller() usage {
	return usage{total: b.Total / callerDivisor, requests: b.Requests / callerDivisor}
}

// usage is a number of bytes of all bodies, and of the request bodies among them.
type usage struct {
	total    int64
	requests int64
}

// responses returns the number of bytes of responses.
func (u usage) responses() int64 {
	return u.total - u.requests
}

// allows reports whether u as a bound allows other.
func (u usage) allows(other usage) bool {
	return other.total <= u.total && other.requests <= u.requests
}

// plus returns the sum.
func (u usage) plus(other usage) usage {
	return usage{total: u.total + other.total, requests: u.requests + other.requests}
}

// Account counts the bytes that are held. It is safe for concurrent use. A nil account
// counts and bounds nothing.
type Account struct {
	Bounds Bounds

	mu   sync.Mutex
	held usage
	// callers holds what is held for each caller for which anything is.
	callers map[string]usage
	// transfers holds the request bodies that are being read, and the responses that are being
	// written.
	transfers map[*transfer]struct{}
	// givenWay counts those that had to give way because they stalled.
	givenWay int64
	// waiting holds the responses that wait for memory, the first first.
	waiting []*waiter
	// overdrawn is the response that may exceed the bound; nil if none does.
	overdrawn *Response
}

// Held tells what is held.
type Held struct {
	// Total is the number of bytes of all bodies.
	Total int64
	// Requests is the number of bytes of the request bodies among them.
	Requests int64
	// Caller is the highest number of bytes of all bodies of one caller.
	Caller int64
	// CallerLimit is its bound.
	CallerLimit int64
	// Waiting is the number of responses that wait for memory.
	Waiting int
	// GivenWay counts the request bodies and responses that stalled while others lacked memory,
	// and gave way.
	GivenWay int64
}

// Held returns what is held.
func (a *Account) Held() Held {
	if a == nil {
		return Held{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	held := Held{Total: a.held.total, Requests: a.held.requests, CallerLimit: a.Bounds.caller().total, Waiting: len(a.waiting), GivenWay: a.givenWay}
	for _, u := range a.callers {
		held.Caller = max(held.Caller, u.total)
	}
	return held
}

// add adds to what is held for a caller; mu is held.
func (a *Account) add(caller string, change usage) {
	a.held = a.held.plus(change)
	u := a.callers[caller].plus(change)
	if u == (usage{}) {
		delete(a.callers, caller)
		return
	}
	if a.callers == nil {
		a.callers = make(map[string]usage)
	}
	a.callers[caller] = u
}

// Request is the reservation of one request body. It must be released. A nil request
// reserves nothing, and always can.
type Request struct {
	account *Account
	caller  string
	bytes   int64
	// reading is set while the body is being read.
	reading *transfer
	// hasGivenWay is set once the body had to give way. It then gets no more memory.
	hasGivenWay bool
}

// Request returns an empty reservation for a request body of the named caller; nil if the
// account is nil.
func (a *Account) Request(caller string) *Request {
	if a == nil {
		return nil
	}
	return &Request{account: a, caller: caller}
}

// TryGrow grows the reservation to the given number of bytes, unless that exceeds a bound,
// and reports whether it did. Bodies that stall give way to it. The only request body of the
// entry may take more than the bound of request bodies, and a caller for whom nothing else is
// held more than the bounds of a caller, because large bodies would otherwise be refused for
// ever.
func (r *Request) TryGrow(bytes int64) bool {
	if r == nil {
		return true
	}
	grown, stops := r.tryGrow(bytes)
	for _, stop := range stops {
		stop()
	}
	return grown
}

// tryGrow is TryGrow, but returns the functions that end the transfers of stalled bodies.
func (r *Request) tryGrow(bytes int64) (grown bool, stops []func()) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.hasGivenWay {
		return false, nil
	}
	if !a.hasRoom(r.caller, r.bytes, bytes) {
		stops = a.stopStalled(r.caller,
			func() bool { return r.hasGivenWay || a.hasRoom(r.caller, r.bytes, bytes) },
			func() bool { return a.callerHasRoom(r.caller, r.bytes, bytes) })
	}
	if r.hasGivenWay || !a.hasRoom(r.caller, r.bytes, bytes) {
		return false, stops
	}
	a.add(r.caller, usage{total: bytes - r.bytes, requests: bytes - r.bytes})
	r.bytes = bytes
	return true, stops
}

// HasRoom reports whether TryGrow would grant a new request of the named caller the given
// number of bytes.
func (a *Account) HasRoom(caller string, bytes int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasRoom(caller, 0, bytes)
}

// hasRoom reports whether a reservation of the named caller may grow from one number of bytes
// to another; mu is held.
func (a *Account) hasRoom(caller string, from, to int64) bool {
	held := a.held.plus(usage{total: to - from, requests: to - from})
	if held.total > a.Bounds.Total || held.requests > a.Bounds.Requests && held.requests > to {
		return false
	}
	return a.callerHasRoom(caller, from, to)
}

// callerHasRoom reports whether the bounds of the named caller allow that; mu is held.
func (a *Account) callerHasRoom(caller string, from, to int64) bool {
	ofCaller := a.callers[caller].plus(usage{total: to - from, requests: to - from})
	return a.Bounds.caller().allows(ofCaller) || ofCaller.total <= to
}

// Release gives all bytes back. Further calls have no effect.
func (r *Request) Release() {
	if r == nil {
		return
	}
	a := r.account
	defer r.reading.end()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.transfers, r.reading)
	a.add(r.caller, usage{total: -r.bytes, requests: -r.bytes})
	r.bytes = 0
	a.grant()
}
