// Package bandwidth decides which requests an entry's network link has room
// for. It answers for the load of a busy workspace whose callers all meet one
// entry, while the links of other entries are idle: a caller that is refused at
// once is served by another entry, one that is let in waits behind a full link
// together with all others. It does no I/O and reads no clock.
package bandwidth

import (
	"sync"
	"time"
)

const (
	// usable is the part of a link that forwarded requests may fill. The rest
	// is for control, other entries and what the estimate leaves out.
	usable = 0.85
	// burst is how far ahead of the link requests may be let in: the longest
	// wait behind a full link.
	burst = 250 * time.Millisecond
	// learnShare is the weight of the newest request in what is expected.
	learnShare = 0.05

	bitsPerByte = 8
	megabit     = 1e6
	// headerBytes are the headers of a request and of its answer, and
	// refusedBytes those of a request alone.
	headerBytes  = 1300
	refusedBytes = 600
	// packetBytes are the headers of a packet, and eventPackets the packets in
	// one direction for an event: itself and an acknowledgement.
	packetBytes  = 66
	eventPackets = 2
	// segmentBytes is the payload of a full packet.
	segmentBytes = 1448
)

// Size is what one request moves.
type Size struct {
	Body   int64
	Answer int64
	Events int64
}

// Link is one instance's network link. Its zero value has no limit.
type Link struct {
	// Megabits is the capacity in megabits a second in each direction; 0 means
	// no limit.
	Megabits float64

	mu sync.Mutex
	// filled is the bytes let in that the link has not moved yet.
	filled float64
	at     time.Time
	// expected is the usual size by kind of request.
	expected map[string]expectation
}

type expectation struct {
	body, answer, events float64
}

// Admit tells whether the link has room for a request of a kind; a body below
// zero is of unknown length.
func (l *Link) Admit(kind string, body int64, now time.Time) bool {
	if l.Megabits <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain(now)
	usual := l.expected[kind]
	size := float64(body)
	if body < 0 {
		size = usual.body
	}
	limit := l.rate() * burst.Seconds()
	if l.filled > limit {
		// The body of a refused request comes in all the same.
		l.filled = min(2*limit, l.filled+refusedBytes+wire(size))
		return false
	}
	l.filled += headerBytes + wire(size+usual.answer) + usual.events*eventPackets*packetBytes
	return true
}

// Learn takes notice of what a request of a kind moved.
func (l *Link) Learn(kind string, size Size) {
	if l.Megabits <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expected == nil {
		l.expected = make(map[string]expectation)
	}
	usual, known := l.expected[kind]
	if !known {
		l.expected[kind] = expectation{body: float64(size.Body), answer: float64(size.Answer), events: float64(size.Events)}
		return
	}
	usual.body += learnShare * (float64(size.Body) - usual.body)
	usual.answer += learnShare * (float64(size.Answer) - usual.answer)
	usual.events += learnShare * (float64(size.Events) - usual.events)
	l.expected[kind] = usual
}

// drain takes out what the link has moved since the last call.
func (l *Link) drain(now time.Time) {
	if !l.at.IsZero() {
		l.filled = max(0, l.filled-now.Sub(l.at).Seconds()*l.rate())
	}
	l.at = now
}

// rate is the usable bytes a second in one direction.
func (l *Link) rate() float64 {
	return l.Megabits * megabit / bitsPerByte * usable
}

// wire returns the bytes that a payload takes in one direction. Every byte of a
// request and of its answer comes in once and goes out once.
func wire(payload float64) float64 {
	return payload * (1 + packetBytes/float64(segmentBytes))
}
