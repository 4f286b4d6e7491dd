package forward

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/sleep"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// silenceConfirmation is how long a server stays silent, once it was noticed,
	// before a successor is sought: an entry that stood still first reads what the
	// server has sent.
	silenceConfirmation = 20 * time.Millisecond
	// successorInterval is the time between two searches for a successor.
	successorInterval = 100 * time.Millisecond
)

// successor is the search for a server that takes over from a silent one. It has
// found one once the retry budget is charged, a server is chosen and a new connection
// to it is open, so that nothing but the server itself can decline the request. Until
// then the silent server keeps it.
type successor struct {
	task *task
	// found is called once a successor is found, to end the wait for the silent
	// server.
	found func()
	// tried holds the servers that must not be chosen.
	tried []string

	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	done   chan struct{}

	// The result, which may be read after stop. obstacle is why none was found.
	placement  *place.Placement
	connection *upstream.Connection
	obstacle   denial
}

// seekSuccessor starts the search after delay, until ctx ends.
func (t *task) seekSuccessor(ctx context.Context, delay time.Duration, found func()) *successor {
	s := &successor{task: t, found: found, done: make(chan struct{})}
	s.tried = append(s.tried, t.tried...)
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.timer = time.AfterFunc(delay, s.run)
	return s
}

// run searches until a successor is found or the search is stopped.
func (s *successor) run() {
	defer close(s.done)
	for s.ctx.Err() == nil {
		if s.reserve() {
			s.found()
			return
		}
		sleep.For(s.ctx, successorInterval)
	}
}

// reserve makes one try at finding a successor and reports whether it has.
func (s *successor) reserve() bool {
	t := s.task
	if !t.server.Retries.TryRetry(t.upstream, t.server.Entries(), time.Now()) {
		s.obstacle = deniedByRetryBudget
		return false
	}
	if s.connect() {
		return true
	}
	t.server.Retries.Refund(t.upstream, time.Now())
	return false
}

// connect chooses a server and opens a connection to it.
func (s *successor) connect() bool {
	chosen, ok := s.task.pick(s.tried).(place.Chosen)
	if !ok {
		s.obstacle = deniedByServers
		return false
	}
	placement := chosen.Placement
	connection, err := s.task.server.Upstream.Dial(s.ctx, placement.ID, placement.Address)
	switch {
	case err == nil:
		s.placement = placement
		s.connection = connection
		return true
	case s.ctx.Err() != nil:
		placement.Done(place.Unused{}, time.Now())
	default:
		placement.Done(place.Unreachable{}, time.Now())
		s.tried = append(s.tried, placement.ID)
		s.obstacle = deniedByServers
	}
	return false
}

// stop ends the search and reports whether a successor was found, which the caller
// must use or release.
func (s *successor) stop() bool {
	s.cancel()
	if s.timer.Stop() {
		return false
	}
	<-s.done
	return s.placement != nil
}

// release gives back a successor that is not used.
func (s *successor) release() {
	s.placement.Done(place.Unused{}, time.Now())
	s.connection.Release()
	s.task.server.Retries.Refund(s.task.upstream, time.Now())
}
