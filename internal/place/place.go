// Package place chooses backend servers for requests. It does no I/O and reads
// no clock: the present time is an argument. A Fleet answers for the requests
// that this entry sends and for those that other entries tell it of.
package place

import (
	"time"
)

// Prompt is what a request asks of a model engine.
type Prompt struct {
	// Tokens is the length of the prompt, and Output the most that is made.
	Tokens int64
	Output int64
	// Prefix are the leading parts of the prompt, which engines keep.
	Prefix []PrefixSegment
}

// PrefixSegment is a part of a prompt that several requests share.
type PrefixSegment struct {
	ID     uint64
	Tokens int64
}

// Query asks for a server.
type Query struct {
	Now           time.Time
	Upstream      string
	FailureDomain string
	// Prompt is nil for requests that run no model.
	Prompt *Prompt
	// Tried are the ids of servers that had the request already.
	Tried []string
}

// Decision is what a query comes to: Chosen, Full or Absent.
type Decision interface {
	isDecision()
}

// Chosen names the server; its place is taken until Done.
type Chosen struct {
	Placement *Placement
}

// Full means that every server is taken.
type Full struct {
	// RetryAfter is when there will be room.
	RetryAfter time.Duration
}

// NoServer means that no server is known that may take the request.
type NoServer struct{}

func (Chosen) isDecision()   {}
func (Full) isDecision()     {}
func (NoServer) isDecision() {}

// Outcome is how a placed request ended: one of the types below.
type Outcome interface {
	isOutcome()
}

// Served means a whole answer.
type Served struct{}

// Declined means that the server refused and did not run the request.
type Declined struct{}

// Failed means that the server broke off, did not answer or failed.
type Failed struct{}

// Unreachable means that no connection could be made.
type Unreachable struct{}

// Abandoned means that the caller left; it says nothing of the server.
type Abandoned struct{}

func (Served) isOutcome()      {}
func (Declined) isOutcome()    {}
func (Failed) isOutcome()      {}
func (Unreachable) isOutcome() {}
func (Abandoned) isOutcome()   {}

// Events of a server.
const (
	EventListed     = "listed"
	EventLeaving    = "leaving"
	EventRemoved    = "gone"
	EventEjected    = "ejected"
	EventReadmitted = "back"
	EventReplaced   = "replaced at its address"
)

// Change is a change of what is believed of a server.
type Change struct {
	Server   string
	Upstream string
	Address  string
	// Event is one of the events above.
	Event       string
	FailureRate float64
	// EjectedFor is how long an ejected server is left out.
	EjectedFor time.Duration
}

// Load is what a server says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
