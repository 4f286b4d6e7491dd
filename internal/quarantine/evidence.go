// Package quarantine finds what crashes backend servers, a segment of prompts or one
// request that comes again and again, from evidence that all entries share, so that
// requests with it are refused. It does no I/O and reads no clock: the current time is an
// argument.
//
// One crash proves little, because several requests run at a server and those that are
// sound share all other segments. A key is quarantined once enough servers have crashed
// under it, one after the other, and no answer on it has gone on since.
package quarantine

import (
	"hash/fnv"
	"time"
)

// Key identifies what may crash servers: a Segment or a Request.
type Key interface {
	isKey()
}

// Segment is the id of a prompt segment, which requests share.
type Segment uint64

// Request is the digest of one request, which its repeats share.
type Request uint64

func (Segment) isKey() {}
func (Request) isKey() {}

// Suspect is a key of a request that was at a server when it crashed.
type Suspect struct {
	Key Key
	// SentAt is when the request was sent to the server.
	SentAt time.Time
}

// Evidence is what an entry knows of a key: a Crash, Progress or a Verdict. Ages are used
// in place of times, because the clocks of entries differ.
type Evidence interface {
	isEvidence()
}

// Crash says that a server ended the connection of a request with the key before its
// answer had gone on.
type Crash struct {
	Key Key
	// Server identifies the server by its instance id, which a later run may have again.
	Server uint64
	Age    time.Duration
	// SentAge is the time since the request was sent to the server.
	SentAge time.Duration
}

// Progress says that an answer to a request with the key has gone on beyond its begin, so
// that the key crashes no servers.
type Progress struct {
	Key Key
	Age time.Duration
}

// Verdict says that the key is in quarantine, since Age ago.
type Verdict struct {
	Key Key
	Age time.Duration
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
