package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	resumeTries    = 5
	resumePause    = 100 * time.Millisecond
	cancelTries    = 3
	cancelPause    = 200 * time.Millisecond
	maxDispatches  = 3
	minRetryBudget = 250 * time.Millisecond
)

var (
	errOverrun    = errors.New("the backend server sent more tokens than the limit")
	errDuplicated = errors.New("the backend server sent chunks twice")
)

// delivery brings one engine's answer to its caller.
type delivery struct {
	server   *Server
	accepted *accepted
	body     []byte
	limit    int64
	// prompt is the most tokens that the prompt can have.
	prompt int64
	sink   *sink
	run    *run
	tried  map[string]bool
	// dispatches counts the tries that ended without an answer.
	dispatches int
	// left are dispatches whose outcome is unclear and which were moved.
	left []backend.Chat
	// opened is when the present backend server was first sent the request.
	opened time.Time
}

// serve runs the request, at another backend server when one refused it.
func (d *delivery) serve(ctx context.Context) {
	d.tried = make(map[string]bool)
	d.accepted.attach = d.attach
	for {
		run, kept, refusal := d.server.start(ctx, d.accepted, d.prompt+d.limit, d.tried)
		if refusal != nil {
			refusal.write(d.sink.w)
			return
		}
		if kept != nil {
			replayAnswer(d.sink.w, *kept)
			return
		}
		if run == nil {
			return
		}
		d.run = run
		refusal = d.dispatch(ctx)
		d.run.lease.Release()
		if refusal == nil {
			return
		}
		if !d.retries(ctx) {
			refusal.write(d.sink.w)
			return
		}
	}
}

// retries tells whether another backend server may be tried after a refusal.
func (d *delivery) retries(ctx context.Context) bool {
	d.tried[d.run.lease.Name] = true
	d.dispatches++
	return d.dispatches < maxDispatches && hasTime(ctx) && d.server.Pool.Retry()
}

func hasTime(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() == nil && (!bounded || time.Until(deadline) > minRetryBudget)
}

// dispatch runs the request and answers the caller, or returns the refusal of
// a backend server that did not run it.
func (d *delivery) dispatch(ctx context.Context) *Refusal {
	spanCtx, span := d.run.span(ctx, "dispatch")
	defer span.End()
	err := d.run.mark()
	if err != nil {
		return d.run.refuse(ctx, err)
	}
	d.run.lease.Result.Sent = true
	err = d.receive(spanCtx)
	for d.restarts(ctx, err) {
		err = d.receive(spanCtx)
	}
	if isRefused(err) && len(d.left) == 0 {
		return d.run.refuse(ctx, err)
	}
	d.finish(ctx, err)
	return nil
}

// receive opens the stream, and resumes it at the same engine each time that
// it breaks off.
func (d *delivery) receive(ctx context.Context) error {
	d.opened = time.Now()
	err := d.follow(ctx, d.server.Backend.Open)
	if isRefused(err) {
		return err
	}
	pause := resumePause
	for try := 0; try < resumeTries && isBroken(err) && hasTime(ctx); try++ {
		sleep.For(ctx, pause)
		pause *= 2
		events := d.sink.events
		next := d.follow(ctx, d.server.Backend.Resume)
		if isGone(next) {
			return err
		}
		if !isRefused(next) {
			err = next
		}
		if d.sink.events > events {
			try = -1
			pause = resumePause
		}
	}
	return err
}

type opener func(context.Context, backend.Chat) (*backend.Stream, error)

// follow passes the chunks of one connection on until the end mark.
func (d *delivery) follow(ctx context.Context, open opener) error {
	d.sink.rewind()
	stream, err := open(ctx, d.chat())
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return d.sink.check()
		}
		if err != nil {
			return err
		}
		err = d.take(ctx, event)
		if err != nil {
			return err
		}
	}
}

// take passes one chunk on.
func (d *delivery) take(ctx context.Context, event backend.Event) error {
	err := d.server.Check.Check(strings.HasSuffix(event.Chunk.ID, d.run.attempt), invariant.ResponseMatchesAttempt, "chunk of %s for %s", event.Chunk.ID, d.run.attempt)
	if err != nil {
		return err
	}
	if d.sink.events == 0 {
		_, span := d.run.span(ctx, "first_token")
		span.End()
	}
	if d.sink.tokens+event.Tokens() > d.limit && d.sink.seen >= d.sink.events {
		return errors.Newf("%w of %d", errOverrun, d.limit)
	}
	return d.sink.add(event)
}

func (d *delivery) chat() backend.Chat {
	return backend.Chat{
		Address:  d.run.lease.Address,
		Attempt:  d.run.attempt,
		Priority: d.accepted.work.Priority,
		Body:     d.body,
	}
}

// restarts moves a repeatable request of which the caller has nothing to
// another backend server, or sends it to the same one under the same attempt id
// when there is no other. The reservation stays.
func (d *delivery) restarts(ctx context.Context, err error) bool {
	unclear := isBroken(err) && !isRefused(err)
	if !unclear || !d.accepted.repeatable || !d.sink.restartable() {
		return false
	}
	if !d.retries(ctx) {
		return false
	}
	lease, busy := d.server.acquire(ctx, d.accepted, d.run.tokens, d.tried)
	if busy != nil {
		lease, busy = d.server.acquire(ctx, d.accepted, d.run.tokens, nil)
	}
	if busy != nil {
		return false
	}
	if lease.Name != d.run.lease.Name {
		d.leave(ctx)
	}
	d.run.lease.Result.Failed = true
	d.run.lease.Release()
	lease.Result.Sent = true
	d.run.lease = lease
	d.sink.reset()
	return true
}

// finish settles, and only then lets the answer look whole.
func (d *delivery) finish(ctx context.Context, err error) {
	if err != nil {
		d.breakOff(ctx, err)
		return
	}
	d.run.lease.Result.First = d.sink.first.Sub(d.opened)
	d.run.lease.Result.Gap = d.sink.gap()
	answer := d.sink.answer(d.accepted.work.Model)
	err = d.run.settle(ctx, d.sink.billable(d.run.tokens), answer)
	if err != nil {
		d.sink.fail(unknownOutcome())
		return
	}
	d.sink.finish(answer)
}

// breakOff cancels what runs, bills what was generated and ends the answer
// with an explicit error.
func (d *delivery) breakOff(ctx context.Context, err error) {
	d.run.lease.Result.Failed = ctx.Err() == nil
	d.run.log().Warn("answer broke off", "server", d.run.lease.Name, "err", err.Error())
	refusal := brokenOff(ctx)
	d.sink.fail(refusal)
	_ = d.run.settle(ctx, d.generated(ctx), d.sink.partial(refusal))
}

// generated cancels every dispatch and returns the tokens to bill: the engines'
// counts, or the worst case when one can't tell.
func (d *delivery) generated(ctx context.Context) int64 {
	ctx = context.WithoutCancel(ctx)
	total := d.generatedBy(ctx, d.chat(), d.received())
	for _, chat := range d.left {
		total += d.generatedBy(ctx, chat, 0)
	}
	return total
}

// generatedBy returns what one engine generated, or received when it lost the
// attempt.
func (d *delivery) generatedBy(ctx context.Context, chat backend.Chat, received int64) int64 {
	for try := range cancelTries {
		if try > 0 {
			sleep.For(ctx, cancelPause)
		}
		cancelled, err := d.server.Backend.Cancel(ctx, chat)
		if err != nil {
			continue
		}
		if cancelled.Ran {
			return cancelled.Tokens
		}
		return received
	}
	return d.run.tokens
}

// received returns the tokens that an engine which lost the attempt must have
// used.
func (d *delivery) received() int64 {
	if d.sink.events == 0 {
		return 0
	}
	return d.prompt + d.sink.tokens
}

// leave cancels the present dispatch without waiting for the engine, whose
// count is asked for when nothing else is billed.
func (d *delivery) leave(ctx context.Context) {
	d.left = append(d.left, d.chat())
	c := &cancellation{server: d.server, chat: d.chat()}
	go c.run(context.WithoutCancel(ctx))
}

// cancellation ends an attempt whose answer is no longer wanted.
type cancellation struct {
	server *Server
	chat   backend.Chat
}

func (c *cancellation) run(ctx context.Context) {
	_, err := c.server.Backend.Cancel(ctx, c.chat)
	if err != nil {
		c.server.Log.Debug("attempt was not cancelled", "err", err.Error())
	}
}

// isRefused tells whether the backend server did not run the request.
func isRefused(err error) bool {
	var status *backend.StatusError
	if errors.As(err, &status) {
		return status.NotRun()
	}
	return errors.Is(err, backend.ErrNotSent)
}

// isBroken tells whether resuming may help.
func isBroken(err error) bool {
	var status *backend.StatusError
	return errors.As(err, &status) ||
		errors.Is(err, backend.ErrTruncated) ||
		errors.Is(err, backend.ErrUnclear) ||
		errors.Is(err, backend.ErrCrossed)
}

// isGone tells whether the engine no longer has the attempt.
func isGone(err error) bool {
	var status *backend.StatusError
	if !errors.As(err, &status) {
		return false
	}
	return status.Status == http.StatusNotFound || status.Status == http.StatusGone
}

// brokenOff returns the error of an answer that ended before its end.
func brokenOff(ctx context.Context) *Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Refusal{Status: http.StatusGatewayTimeout, Code: codeDeadline, Message: "the answer was not whole at the work's deadline; what was generated is billed", RetryAfter: retrySoon}
	}
	return unknownOutcome()
}
