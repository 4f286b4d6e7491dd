// Package quarantine finds the prompt segments under which model engines crash, from
// evidence that all entries share, so that requests with them are refused. It does no
// I/O and reads no clock: the current time is an argument.
//
// One crash proves little, because several requests run at a server and those that are
// sound share all other segments. A segment is quarantined once enough servers have
// crashed under it, one after the other, and no answer on it has gone on since.
package quarantine

import (
	"hash/fnv"
	"time"
)

// Evidence is what an entry knows of a segment: a Crash, Progress or a Verdict. Ages
// are used in place of times, because the clocks of entries differ.
type Evidence interface {
	isEvidence()
}

// Crash says that a server ended the connection of a request with the segment before
// its answer had gone on.
type Crash struct {
	Segment uint64
	// Server identifies the run of the server.
	Server uint64
	Age    time.Duration
}

// Progress says that an answer to a request with the segment has gone on beyond its
// begin, so that the segment crashes no servers.
type Progress struct {
	Segment uint64
	Age     time.Duration
}

// Verdict says that the segment is in quarantine, since Age ago.
type Verdict struct {
	Segment uint64
	Age     time.Duration
}

func (Crash) isEvidence()    {}
func (Progress) isEvidence() {}
func (Verdict) isEvidence()  {}

// ServerNumber returns the number that identifies the server with an instance id in a
// Crash.
func ServerNumber(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
