package forward

import (
	"context"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// crashCheckTimeout bounds the connection that tells whether a server has ended.
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckDelay is how long the connection must stay open: something in front of a
	// server that has ended may accept it first.
	crashCheckDelay = 20 * time.Millisecond
	// endedMemory is how long the end of a server is remembered.
	endedMemory = time.Minute
)

// crashChecks finds out whether servers that closed connections have ended. One that has
// closed a single connection, or an idle one, accepts others, and is no evidence against
// a prompt. Its zero value is ready to use.
type crashChecks struct {
	mu sync.Mutex
	// pending holds the check of each server by its id.
	pending map[string]*crashCheck
	// ended holds when servers were seen to end, by id, for endedMemory.
	ended map[string]time.Time
}

// crashCheck checks one server.
type crashCheck struct {
	server  *Server
	id      string
	address string
	// at is when the server closed the first connection, and segments are those of the
	// prompts of all that it closed.
	at       time.Time
	segments []place.PrefixSegment
}

// start checks the server of a placement, or adds the segments to a check that runs. A
// request that was sent after the server had ended is no evidence.
func (c *crashChecks) start(server *Server, placement *place.Placement, segments []place.PrefixSegment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	endedAt, ended := c.ended[placement.ID]
	if ended && placement.StartedAt.After(endedAt) {
		return
	}
	check := c.pending[placement.ID]
	if check != nil {
		check.segments = append(check.segments, segments...)
		return
	}
	if c.pending == nil {
		c.pending = make(map[string]*crashCheck)
	}
	check = &crashCheck{server: server, id: placement.ID, address: placement.Address, at: time.Now()}
	check.segments = append(check.segments, segments...)
	c.pending[placement.ID] = check
	go check.run()
}

// finish removes the check of a server, remembers whether it has ended and returns the
// segments that the check has collected.
func (c *crashChecks) finish(id string, ended bool) []place.PrefixSegment {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.pending[id]
	delete(c.pending, id)
	if ended {
		c.remember(id, check.at)
	}
	return check.segments
}

// remember records when a server ended, and forgets those that ended long before; mu is
// held.
func (c *crashChecks) remember(id string, at time.Time) {
	if c.ended == nil {
		c.ended = make(map[string]time.Time)
	}
	maps.DeleteFunc(c.ended, func(_ string, earlier time.Time) bool { return at.Sub(earlier) > endedMemory })
	_, known := c.ended[id]
	if !known {
		c.ended[id] = at
	}
}

// run records a crash under the segments if the server has ended.
func (c *crashCheck) run() {
	ended := c.hasEnded()
	segments := c.server.crashChecks.finish(c.id, ended)
	c.server.Log.Info("backend server checked after it closed connections",
		"server", c.id,
		"address", c.address,
		"ended", ended,
		"prompt_segments", segmentIDs(segments),
	)
	if ended {
		c.server.Quarantine.RecordCrash(c.id, segments, c.at)
	}
}

// hasEnded reports whether the server refuses a new connection or closes it at once.
func (c *crashCheck) hasEnded() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	connection, err := c.server.Upstream.Dial(ctx, c.id, c.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	time.Sleep(crashCheckDelay)
	return !connection.Release()
}
