package process

import (
	"context"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/drain"
)

const (
	// noticeShare is the part of the shutdown limit, at most, that is given to load
	// balancers which have not noticed yet. The rest belongs to the requests.
	noticeShare = 0.3
	// interruptMargin is the time before the shutdown limit at which requests in progress
	// are interrupted, so that those without a response still get one.
	interruptMargin = 600 * time.Millisecond
	// exitMargin is the time before the shutdown limit at which connections that are still
	// open are closed, so that the process can return its tokens or report its settlements
	// and exit within the limit.
	exitMargin = 400 * time.Millisecond
)

// drainCallers shuts down the listeners for requests of an entry instance, of a listed or a
// seeded site, and waits for the requests in progress until shortly before the deadline
// of ctx. leave makes the instance report not ready, refuse the requests that its plan
// refuses and interrupt those in progress at its end; lag is how long new connections are
// accepted after that, because the load balancer notices with a delay.
func drainCallers(ctx context.Context, lag time.Duration, leave func(drain.Plan), listeners ...*listener) {
	leave(newPlan(ctx, lag, time.Now()))
	deadline, limited := ctx.Deadline()
	if limited {
		closeCtx, cancel := context.WithDeadline(ctx, deadline.Add(-exitMargin))
		defer cancel()
		ctx = closeCtx
	}
	var closing sync.WaitGroup
	for _, l := range listeners {
		closing.Go(func() { l.shutdown(ctx, lag) })
	}
	closing.Wait()
}

// newPlan returns the plan of a shutdown that starts now, accepts connections for lag and
// must be over at the deadline of ctx, if there is one.
func newPlan(ctx context.Context, lag time.Duration, now time.Time) drain.Plan {
	plan := drain.Plan{Start: now, NoticedBy: now.Add(lag)}
	deadline, limited := ctx.Deadline()
	if limited {
		limit := deadline.Sub(now)
		notice := time.Duration(float64(limit) * noticeShare)
		plan.NoticedBy = now.Add(min(lag, notice))
		plan.End = deadline.Add(-interruptMargin)
	}
	return plan
}
