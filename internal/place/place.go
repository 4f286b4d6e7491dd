// Package place chooses backend servers for requests from their estimated load,
// failures and cached prompt prefixes. It does no I/O and reads no clock: the
// current time is an argument. A Fleet counts the requests that this entry
// sends and the prompts that other entries report.
package place

import (
	"time"
)

// Prompt describes the work that a request gives a model engine.
type Prompt struct {
	// Tokens is the length of the prompt, and Output the maximum number of
	// generated tokens.
	Tokens int64
	Output int64
	// Prefix lists the leading segments of the prompt, which engines cache.
	Prefix []PrefixSegment
}

// PrefixSegment is a section of a prompt prefix that several requests share.
type PrefixSegment struct {
	ID     uint64
	Tokens int64
}

// Query describes the request to place.
type Query struct {
	Now           time.Time
	Upstream      string
	FailureDomain string
	// Prompt is nil for requests that run no model.
	Prompt *Prompt
	// Bytes is the size of the request body.
	Bytes int64
	// Version limits the software version of the server.
	Version VersionLimit
	// Regions limits the region of the server; nil allows any.
	Regions *RegionLimit
	// Tried lists the ids of the servers of earlier attempts, which are not
	// picked again.
	Tried []string
	// Once is set for a request that must not run twice. Only recently used idle connections
	// carry it.
	Once bool
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// TimeLeft is how long the caller still waits for the first event; 0 if it is not known.
	TimeLeft time.Duration

	// urgency says how much room the request may use.
	urgency urgency
	// granted is set if it uses that of the most urgent ones.
	granted bool
	// late is set if a server takes the request, but too late for the caller.
	late bool
	// trace records what the choice compares; nil unless the choice is explained.
	trace *trace
}

// Decision is the result of Fleet.Pick: Chosen, Full or NoServer.
type Decision interface {
	isDecision()
}

// Chosen holds a placement, which counts as in flight until Done.
type Chosen struct {
	Placement *Placement
}

// Full means that every server that may take the request is full.
type Full struct {
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
	// Late is set if a server takes the request, but is expected to send the first event
	// later than its caller waits.
	Late bool
}

// NoServer means that the fleet knows no server that may take the request.
type NoServer struct{}

func (Chosen) isDecision()   {}
func (Full) isDecision()     {}
func (NoServer) isDecision() {}

// Outcome is how a placed request ended: Served, Declined, Failed, Unreachable,
// Abandoned or Unused.
type Outcome interface {
	isOutcome()
}

// Served means that the server sent a complete response.
type Served struct{}

// Declined means that the server refused the request without running it.
type Declined struct{}

// Failed means that the server returned a failure, broke off its response or
// sent none.
type Failed struct{}

// Unreachable means that the request did not reach the server, for example
// because no connection could be opened.
type Unreachable struct{}

// Abandoned means that the entry ended the attempt because the caller
// disconnected or the request timed out; it does not affect the server's failure
// rate.
type Abandoned struct{}

// Unused means that the request was not sent to the server after all.
type Unused struct{}

func (Served) isOutcome()      {}
func (Declined) isOutcome()    {}
func (Failed) isOutcome()      {}
func (Unreachable) isOutcome() {}
func (Abandoned) isOutcome()   {}
func (Unused) isOutcome()      {}

// Values of Change.Event.
const (
	EventListed     = "listed"
	EventLeaving    = "leaving"
	EventRemoved    = "gone"
	EventEjected    = "ejected"
	EventReadmitted = "back"
	EventReplaced   = "replaced at its address"
	EventLimited    = "limited"
	EventUnlimited  = "unlimited"
	EventBrittle    = "brittle"
	EventNotBrittle = "not brittle any more"
	EventCold       = "cold"
	EventWarm       = "not cold any more"
)

// Change reports a state change of a server.
type Change struct {
	Server   string
	Upstream string
	Address  string
	// Version is the version of the server's software.
	Version string
	// Event is one of the Event constants.
	Event string
	// FailureRate is the moving average of failed requests, from 0 to 1.
	FailureRate float64
	// Limit is the number of requests a second that the server takes from all entries
	// together; 0 if it names none.
	Limit float64
	// Cold is why the server counts as cold; empty if it does not.
	Cold string
	// EjectedFor is how long an ejected server receives no requests; 0 for
	// other events.
	EjectedFor time.Duration
}

// Load is the load that a server reports in a response.
type Load struct {
	// Running and Waiting count requests; Slots is how many run at once.
	Running int
	Waiting int
	Slots   int
	// Slowdown is how much longer than usual work takes on the server's machine now: 1 is
	// usual, 0 means that the server does not state it.
	Slowdown float64
}
