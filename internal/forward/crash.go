package forward

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
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
// a request. Its zero value is ready to use.
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
	// answered is set if the server had answered this entry before.
	answered bool
	// at is when the server closed the first connection, and suspects are the keys of the
	// requests on all that it closed.
	at       time.Time
	suspects []quarantine.Suspect
}

// start checks the server of a placement, or adds the suspects to a check that runs. A
// request that was sent after the server had ended is no evidence. Neither is the end of a
// server in an evacuated failure domain, which may be shut down.
func (c *crashChecks) start(server *Server, placement *place.Placement, suspects []quarantine.Suspect) {
	if placement.IsEvacuated() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	endedAt, ended := c.ended[placement.ID]
	if ended && placement.StartedAt.After(endedAt) {
		return
	}
	check := c.pending[placement.ID]
	if check != nil {
		check.suspects = append(check.suspects, suspects...)
		return
	}
	if c.pending == nil {
		c.pending = make(map[string]*crashCheck)
	}
	check = &crashCheck{server: server, id: placement.ID, address: placement.Address, answered: placement.HasAnswered(), at: time.Now(), suspects: suspects}
	c.pending[placement.ID] = check
	go check.run()
}

// recordAnswer records that the server of a placement has answered. One that had ended has
// started again under its id.
func (c *crashChecks) recordAnswer(placement *place.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	endedAt, ended := c.ended[placement.ID]
	if ended && placement.StartedAt.After(endedAt) {
		delete(c.ended, placement.ID)
	}
}

// finish removes the check of a server, remembers whether it has ended and returns the
// suspects that the check has collected.
func (c *crashChecks) finish(id string, ended bool) []quarantine.Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.pending[id]
	delete(c.pending, id)
	if ended {
		c.remember(id, check.at)
	}
	return check.suspects
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

// run records a crash under the suspects if the server has ended.
func (c *crashCheck) run() {
	ended := c.hasEnded()
	suspects := c.server.crashChecks.finish(c.id, ended)
	segments, digests := suspectIDs(suspects)
	c.server.Log.Info("backend server checked after it closed connections",
		"server", c.id,
		"address", c.address,
		"ended", ended,
		"answered_before", c.answered,
		"request_digests", digests,
		"prompt_segments", segments,
	)
	if ended {
		c.server.Quarantine.RecordCrash(c.id, suspects, c.at)
	}
}

// hasEnded reports whether the server refuses a new connection, or closes it at once
// although it had answered before. Where something accepts connections in front of a
// server, one that never answered may have been down before the requests were sent.
func (c *crashCheck) hasEnded() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	connection, err := c.server.Upstream.Dial(ctx, c.id, c.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	time.Sleep(crashCheckDelay)
	return !connection.Release() && c.answered
}

// suspectIDs returns the hexadecimal ids of the segments and of the requests among
// suspects, separated by commas.
func suspectIDs(suspects []quarantine.Suspect) (segments, digests string) {
	var segmentIDs, requestIDs []string
	for _, s := range suspects {
		switch key := s.Key.(type) {
		case quarantine.Segment:
			segmentIDs = append(segmentIDs, strconv.FormatUint(uint64(key), 16))
		case quarantine.Request:
			requestIDs = append(requestIDs, strconv.FormatUint(uint64(key), 16))
		}
	}
	return strings.Join(segmentIDs, ","), strings.Join(requestIDs, ",")
}
