package process

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/drain"
)

// exitMargin is the time before the shutdown limit at which requests in progress are
// cut off, so that the process can still return its tokens or report its settlements
// and exit within the limit.
const exitMargin = 400 * time.Millisecond

// entryShutdown ends an entry instance of a listed or a seeded site.
type entryShutdown struct {
	callers *listener
	// lag is how long new connections are accepted after the instance reported not
	// ready, because the load balancer notices with a delay.
	lag time.Duration
	// leave makes the instance report not ready and refuse the requests that plan
	// refuses.
	leave func(plan drain.Plan)
}

// run waits for the requests in progress until shortly before the deadline of ctx.
func (e entryShutdown) run(ctx context.Context) {
	plan := drain.Plan{AcceptUntil: time.Now().Add(e.lag)}
	if deadline, limited := ctx.Deadline(); limited {
		plan.End = deadline.Add(-exitMargin)
		endCtx, cancel := context.WithDeadline(ctx, plan.End)
		defer cancel()
		ctx = endCtx
	}
	e.leave(plan)
	e.callers.shutdown(ctx, e.lag)
}
