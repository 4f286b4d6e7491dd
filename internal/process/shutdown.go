package process

import (
	"context"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/drain"
)

// exitMargin is the time before the shutdown limit at which requests in progress are
// cut off, so that the process can still return its tokens or report its settlements
// and exit within the limit.
const exitMargin = 400 * time.Millisecond

// drainCallers shuts down the listeners for requests of an entry instance, of a listed or a
// seeded site, and waits for the requests in progress until shortly before the deadline
// of ctx. leave makes the instance report not ready and refuse the requests that its
// plan refuses; lag is how long new connections are accepted after that, because the
// load balancer notices with a delay.
func drainCallers(ctx context.Context, lag time.Duration, leave func(drain.Plan), listeners ...*listener) {
	now := time.Now()
	plan := drain.Plan{Start: now, AcceptUntil: now.Add(lag)}
	if deadline, limited := ctx.Deadline(); limited {
		plan.End = deadline.Add(-exitMargin)
		endCtx, cancel := context.WithDeadline(ctx, plan.End)
		defer cancel()
		ctx = endCtx
	}
	leave(plan)
	var closing sync.WaitGroup
	for _, l := range listeners {
		closing.Go(func() { l.shutdown(ctx, lag) })
	}
	closing.Wait()
}
