package caller

import (
	"context"
	"maps"
	"time"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

// successorInterval is the time between two searches for a successor.
const successorInterval = 100 * time.Millisecond

// successor is the search for another server that takes over a running dispatch. It has
// found one once the retry is charged and the server is leased. Until then the dispatch
// runs on.
type successor struct {
	dispatcher *dispatcher
	// tried holds the names of the servers of all dispatches, with the running one.
	tried map[string]bool
	// found is called once a server is leased, to end the running dispatch.
	found func()

	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	done   chan struct{}
	// lease is the result, which may be read once done is closed.
	lease *backend.Lease
}

// seekSuccessor starts the search after delay. It ends when too little time for a retry
// remains until deadline.
func (d *dispatcher) seekSuccessor(ctx context.Context, delay time.Duration, deadline time.Time, found func()) *successor {
	s := &successor{dispatcher: d, tried: maps.Clone(d.tried), found: found, done: make(chan struct{})}
	s.tried[d.attempt.lease.Name] = true
	s.ctx, s.cancel = context.WithDeadline(ctx, deadline.Add(-minRetryTime))
	s.timer = time.AfterFunc(delay, s.run)
	return s
}

// run searches until a server is leased or the search ends.
func (s *successor) run() {
	defer close(s.done)
	for s.ctx.Err() == nil {
		s.lease = s.chargedLease()
		if s.lease != nil {
			s.found()
			return
		}
		sleep.For(s.ctx, successorInterval)
	}
}

// chargedLease charges a retry and leases a server that was not tried. It returns nil,
// and charges nothing, if the budget allows no retry or all such servers are busy.
func (s *successor) chargedLease() *backend.Lease {
	d := s.dispatcher
	if !d.server.Pool.AllowsRetry() {
		return nil
	}
	lease, busy := d.server.acquire(s.ctx, d.request, d.attempt.tokens, s.tried)
	if busy != nil {
		return nil
	}
	if !d.server.Pool.Retry() {
		lease.Release()
		return nil
	}
	return lease
}

// stop ends the search and returns the lease that it found, or nil.
func (s *successor) stop() *backend.Lease {
	s.cancel()
	if !s.timer.Stop() {
		<-s.done
	}
	return s.lease
}
