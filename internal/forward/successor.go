package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/sleep"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// successorInterval is the time between two tries to find a successor.
	successorInterval = 100 * time.Millisecond
	// maxOverlap is how long a silent server keeps a request that was sent to a
	// successor which has neither declined nor begun to respond. Longer, and two
	// servers could work on the request at once.
	maxOverlap = 300 * time.Millisecond
)

// successorState is the state of the search for a successor.
type successorState int

const (
	stateSeeking successorState = iota
	// stateTaken means that a successor takes over the request.
	stateTaken
	// stateStopped means that the silent server keeps the request.
	stateStopped
)

// successor is the search for a server that takes over from a silent one, and then
// the attempt at that server. The silent server keeps the request until the other one
// has begun to respond, or has held it for maxOverlap without declining it.
type successor struct {
	task *task
	// found is called once a successor takes over, to end the wait for the silent
	// server.
	found func()
	timer *time.Timer
	// started counts the attempts that a server may have started to run, with that
	// of the silent server.
	started int
	// ctx and cancel belong to the attempt.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	state successorState
	// placement is the server that the request was sent to; nil if there is none.
	placement *place.Placement

	// The fields below may be read once done is closed.

	// failed holds the servers that may have run the request and failed.
	failed []string
	// avoided holds the servers that did not take the request. It is emptied once no
	// other server is left to ask.
	avoided []string
	// declined holds the servers that received the request and declined it.
	declined []string
	// mayHaveRun is set if a server had the request when its attempt was ended.
	mayHaveRun bool
	// response and err are the result of the attempt, and obstacle is what kept other
	// servers from taking over.
	response *upstream.Response
	err      error
	obstacle denial
}

// seekSuccessor starts the search after delay, until ctx ends. started counts the
// attempts that a server may have started to run, with that of the silent server.
func (t *task) seekSuccessor(ctx context.Context, delay time.Duration, started int, found func()) *successor {
	s := &successor{task: t, started: started, found: found, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.timer = time.AfterFunc(delay, s.run)
	return s
}

// run searches until a successor has taken over or the search is stopped.
func (s *successor) run() {
	defer close(s.done)
	for s.ctx.Err() == nil && s.task.allowsAttemptAfter(s.started+len(s.failed)) {
		if s.try() {
			return
		}
		sleep.For(s.ctx, successorInterval)
	}
}

// try sends the request to one server and reports whether the search is over.
func (s *successor) try() bool {
	placement, connection := s.connect()
	if placement == nil {
		return false
	}
	t := s.task
	if !t.server.Retries.TryRetry(t.upstream, t.server.Entries(), time.Now()) {
		s.obstacle = deniedByRetryBudget
		connection.Release()
		placement.Done(place.Unused{}, time.Now())
		return false
	}
	s.setPlacement(placement)
	request := t.upstreamRequest(placement)
	overlap := time.AfterFunc(maxOverlap, s.takeOver)
	response, err := connection.Do(s.ctx, request)
	overlap.Stop()
	var info ResponseInfo
	if err == nil {
		info = t.server.responseInfo(placement, response)
		t.server.recordServerState(placement, info)
	}
	if err == nil && s.hasBegun(response, info) {
		s.takeOver()
	}
	if s.keepResult(response, err) {
		return true
	}
	s.reject(placement, response, info, err)
	return false
}

// connect chooses a server and opens a connection to it. The placement is nil if no
// server can take the request now.
func (s *successor) connect() (*place.Placement, *upstream.Connection) {
	t := s.task
	if t.isQuarantined() {
		s.obstacle = deniedByQuarantine
		return nil, nil
	}
	if !t.server.Retries.Allows(t.upstream, t.server.Entries(), time.Now()) {
		s.obstacle = deniedByRetryBudget
		return nil, nil
	}
	tried := append(append([]string(nil), t.tried...), s.failed...)
	chosen, ok := t.pick(append(tried, s.avoided...)).(place.Chosen)
	if !ok {
		s.obstacle = deniedByServers
		s.avoided = nil
		return nil, nil
	}
	placement := chosen.Placement
	connection, err := t.server.Upstream.Dial(s.ctx, placement.ID, placement.Address)
	switch {
	case err == nil:
		return placement, connection
	case s.ctx.Err() != nil:
		placement.Done(place.Unused{}, time.Now())
	default:
		placement.Done(t.server.outcomeOfUnsent(err), time.Now())
		s.avoided = append(s.avoided, placement.ID)
		s.obstacle = deniedByServers
	}
	return nil, nil
}

// setPlacement records the server that the request is sent to; nil means none.
func (s *successor) setPlacement(placement *place.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placement = placement
}

// hasBegun reports whether a server has begun to respond to the request in a way that
// the caller's response can use.
func (s *successor) hasBegun(response *upstream.Response, info ResponseInfo) bool {
	if info.NotRun || info.OtherServer || !info.Genuine {
		return false
	}
	return response.Status < http.StatusInternalServerError && s.task.canFollow(response)
}

// takeOver makes the server that the request was sent to the successor, unless the
// search was stopped or the server has already been rejected.
func (s *successor) takeOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != stateSeeking || s.placement == nil {
		return
	}
	s.state = stateTaken
	s.found()
}

// keepResult keeps the result of the attempt if the server has taken over, and reports
// whether it has. Otherwise takeOver has no effect until the next attempt.
func (s *successor) keepResult(response *upstream.Response, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != stateTaken {
		s.placement = nil
		return false
	}
	s.response = response
	s.err = err
	return true
}

// reject ends an attempt at a server that did not take over.
func (s *successor) reject(placement *place.Placement, response *upstream.Response, info ResponseInfo, err error) {
	s.obstacle = deniedByServers
	switch {
	case s.ctx.Err() != nil:
		s.mayHaveRun = s.mayHaveRun || !upstream.IsNotSent(err) && !info.NotRun
		abandonResponse(response)
		placement.Done(place.Abandoned{}, time.Now())
	case err != nil:
		s.rejectError(placement, err)
	default:
		s.rejectResponse(placement, response, info)
	}
}

// rejectError ends an attempt that brought no response.
func (s *successor) rejectError(placement *place.Placement, err error) {
	if upstream.IsNotSent(err) {
		placement.Done(s.task.server.outcomeOfUnsent(err), time.Now())
		s.avoided = append(s.avoided, placement.ID)
		s.task.reportFailedAttempt(placement, "not_sent", err.Error(), true)
		return
	}
	placement.Done(place.Failed{}, time.Now())
	s.task.recordCrash(placement, err)
	s.failed = append(s.failed, placement.ID)
	s.task.reportFailedAttempt(placement, "no_answer", err.Error(), true)
}

// rejectResponse ends an attempt whose response the caller's can't use.
func (s *successor) rejectResponse(placement *place.Placement, response *upstream.Response, info ResponseInfo) {
	if info.OtherServer || info.NotRun {
		d := s.task.endDeclined(placement, response, info)
		s.avoided = append(s.avoided, placement.ID)
		s.declined = append(s.declined, placement.ID)
		s.task.reportFailedAttempt(placement, d.outcome, d.cause, true)
		return
	}
	response.Abandon()
	placement.Done(place.Failed{}, time.Now())
	s.failed = append(s.failed, placement.ID)
	s.task.reportFailedAttempt(placement, "failed", http.StatusText(response.Status), true)
}

// abandonResponse ends a response, if there is one.
func abandonResponse(response *upstream.Response) {
	if response != nil {
		response.Abandon()
	}
}

// stop ends the search and reports whether a successor has taken over, which the
// caller must use or abandon. Otherwise no attempt at another server is left.
func (s *successor) stop() bool {
	s.mu.Lock()
	if s.state == stateTaken {
		s.mu.Unlock()
		return true
	}
	s.state = stateStopped
	s.mu.Unlock()
	s.cancel()
	if !s.timer.Stop() {
		<-s.done
	}
	s.task.recordSearch(s)
	return false
}

// recordSearch counts the attempts of a search that servers may have run and that failed,
// and records the servers that declined.
func (t *task) recordSearch(s *successor) {
	t.tried = append(t.tried, s.failed...)
	t.declinedBy = append(t.declinedBy, s.declined...)
	t.startedAttempts += len(s.failed)
	t.mayHaveRun = t.mayHaveRun || s.mayHaveRun || len(s.failed) > 0
}

// wait returns the result of the attempt at the server that has taken over.
func (s *successor) wait() (*upstream.Response, error) {
	<-s.done
	return s.response, s.err
}

// abandon ends the attempt at a server that has taken over and is not used.
func (s *successor) abandon() {
	s.cancel()
	response, _ := s.wait()
	abandonResponse(response)
	s.placement.Done(place.Abandoned{}, time.Now())
}
