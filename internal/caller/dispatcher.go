package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cactusbay/cactusbay/internal/backend"
)

const (
	maxDispatches = 3
	// minRetryTime is the time that must remain until the deadline for a retry.
	minRetryTime = 250 * time.Millisecond
)

// dispatcher makes the attempts of one request until a backend server ran it, and
// moves an attempt to another server. It is shared by chats and service calls.
type dispatcher struct {
	server  *Server
	request *request
	attempt *attempt
	// tried holds the names of the servers of failed dispatches, and failed counts
	// the dispatches that ended without a response.
	tried  map[string]bool
	failed int
}

// serve makes attempts of the given worst case in tokens. dispatch runs one and responds
// to the caller, or returns a refusal if the backend server did not run the request.
func (d *dispatcher) serve(ctx context.Context, w http.ResponseWriter, tokens int64, dispatch func(context.Context) *Refusal) {
	d.tried = make(map[string]bool)
	for {
		attempt, stored, refusal := d.server.startAttempt(ctx, d.request, tokens, d.tried)
		if refusal != nil {
			refusal.write(w)
			return
		}
		if stored != nil {
			replayResponse(w, *stored)
			return
		}
		if attempt == nil {
			return
		}
		d.attempt = attempt
		refusal = dispatch(ctx)
		d.attempt.lease.Release()
		if refusal == nil {
			return
		}
		if !d.mayRetry(ctx) {
			refusal.write(w)
			return
		}
	}
}

// mayRetry records the failed dispatch and reports whether the number of
// dispatches, the deadline and the retry budget allow another one.
func (d *dispatcher) mayRetry(ctx context.Context) bool {
	d.recordFailure()
	return d.failed < maxDispatches && hasRetryTime(ctx) && d.server.Pool.Retry()
}

// recordFailure records that the current dispatch ended without a response.
func (d *dispatcher) recordFailure() {
	d.tried[d.attempt.lease.Name] = true
	d.failed++
}

// hasRetryTime reports whether enough time remains until the deadline of ctx for a
// retry.
func hasRetryTime(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() == nil && (!bounded || time.Until(deadline) > minRetryTime)
}

// nextLease returns a lease of a server that was not tried or, if none is available, of
// the server of an earlier attempt. It returns nil if all are busy or no retry is
// allowed. The reservation stays, so that the request is billed once.
func (d *dispatcher) nextLease(ctx context.Context) *backend.Lease {
	if !d.mayRetry(ctx) {
		return nil
	}
	lease, busy := d.server.acquire(ctx, d.request, d.attempt.tokens, d.tried)
	if busy != nil {
		lease, busy = d.server.acquire(ctx, d.request, d.attempt.tokens, nil)
	}
	if busy != nil {
		return nil
	}
	return lease
}

// moveTo replaces the lease of a server that failed with err by lease.
func (d *dispatcher) moveTo(lease *backend.Lease, err error) {
	d.attempt.log().Warn("dispatch failed, another backend server takes over", "server", d.attempt.lease.Name, "next", lease.Name, "err", err.Error())
	d.attempt.lease.Result.Failed = true
	d.attempt.lease.Release()
	lease.Result.Sent = true
	d.attempt.lease = lease
}
