// Package overload decides which requests an entry refuses while its own link or processor
// is overloaded. It measures the delay by datagrams that other entries echo, and raises a
// shedding level while the delay is above its target. It does no I/O and reads no clock: the
// current time is an argument.
package overload

import "time"

// Request is what is known of a request before its body is read.
type Request struct {
	Workspace string
	// Priority is 0 for the most urgent requests.
	Priority int
	// LatencyTarget is the longest acceptable time to the first byte; 0 means that the
	// route states none.
	LatencyTarget time.Duration
	// Remaining is the time until the response must be complete.
	Remaining time.Duration
	// Bytes estimates what the request and its response send over the link, in one
	// direction.
	Bytes int64
	// Resumes is set if the request resumes a stream.
	Resumes bool
}

// Decision is Admitted or Refused.
type Decision interface {
	isDecision()
}

// Admitted lets a request in.
type Admitted struct{}

// Refused turns a request away that has not run.
type Refused struct {
	Reason Reason
}

func (Admitted) isDecision() {}
func (Refused) isDecision()  {}

// Reason says why a request is refused.
type Reason string

const (
	// Shed means that the entry has too much to do, and that other entries have room.
	Shed Reason = "overloaded"
	// Hopeless means that the delay exceeds the time that the caller still has.
	Hopeless Reason = "overloaded_hopeless"
)

// Status is the state of a controller.
type Status struct {
	// Delay is the queueing delay of the entry; Known is false if nothing was measured
	// within the window.
	Delay time.Duration
	Known bool
	// Target is the delay above which requests are shed.
	Target time.Duration
	// Level is the shedding level: 0 sheds nothing, maxLevel the most.
	Level float64
	// Room is the share of the peers that have room, from 0 to 1.
	Room float64
}
