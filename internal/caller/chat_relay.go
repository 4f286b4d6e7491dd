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
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	resumeTries = 5
	resumePause = 100 * time.Millisecond
	cancelTries = 3
	cancelPause = 200 * time.Millisecond
)

var (
	errOverrun    = errors.New("backend server sent more tokens than the limit")
	errDuplicated = errors.New("backend server sent duplicate chunks")
)

// chatRelay runs a chat request at an engine and relays the response to the
// caller.
type chatRelay struct {
	dispatcher
	body []byte
	// maxOutputTokens is the limit of generated tokens.
	maxOutputTokens int64
	// maxPromptTokens is an upper bound on the prompt's tokens.
	maxPromptTokens int64
	sink            *sink
	// unresolved holds the dispatches whose outcome is unknown and that were
	// replaced by a dispatch to another backend server.
	unresolved []backend.Chat
	// unclear is set once the request was dispatched again after a dispatch that may have
	// run it, so that a refusal of the latest one doesn't mean that it has not run.
	unclear bool
	// dispatchedAt is when the request was last dispatched; resuming a stream does
	// not change it.
	dispatchedAt time.Time
}

// serve runs the request and retries it at another backend server if one refuses
// it.
func (r *chatRelay) serve(ctx context.Context) {
	r.request.attach = r.attach
	r.dispatcher.serve(ctx, r.sink.w, r.maxPromptTokens+r.maxOutputTokens, r.dispatch)
}

// dispatch runs the request and responds to the caller. It returns a refusal, and
// sends nothing, if the backend server did not run the request.
func (r *chatRelay) dispatch(ctx context.Context) *Refusal {
	spanCtx, span := r.attempt.span(ctx, "dispatch")
	defer span.End()
	err := r.attempt.markDispatched()
	if err != nil {
		return r.attempt.refuse(ctx, err)
	}
	r.attempt.lease.Result.Sent = true
	err = r.receive(spanCtx)
	for r.failOver(ctx, err) {
		err = r.receive(spanCtx)
	}
	if isRefused(err) && !r.unclear {
		return r.attempt.refuse(ctx, err)
	}
	r.finish(ctx, err)
	return nil
}

// receive dispatches the request and relays the stream. If the stream breaks, it
// resumes at the same engine, up to resumeTries times in a row without a new
// event.
func (r *chatRelay) receive(ctx context.Context) error {
	r.dispatchedAt = time.Now()
	err := r.relayStream(ctx, r.server.Backend.Open)
	if isRefused(err) {
		return err
	}
	pause := resumePause
	for try := 0; try < resumeTries && isResumable(err) && hasRetryTime(ctx); try++ {
		r.attempt.log().Warn("response broke off, resuming it", "server", r.attempt.lease.Name, "err", err.Error())
		sleep.For(ctx, pause)
		pause *= 2
		events := r.sink.events
		next := r.relayStream(ctx, r.server.Backend.Resume)
		if isAttemptLost(next) {
			return err
		}
		if !isRefused(next) {
			err = next
		}
		if r.sink.events > events {
			try = -1
			pause = resumePause
		}
	}
	return err
}

// openFunc is backend.Client.Open or backend.Client.Resume.
type openFunc func(context.Context, backend.Chat) (*backend.Stream, error)

// relayStream relays the chunks of one connection up to the [DONE] marker.
func (r *chatRelay) relayStream(ctx context.Context, open openFunc) error {
	r.sink.rewind()
	stream, err := open(ctx, r.chat())
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return r.sink.checkComplete()
		}
		if err != nil {
			return err
		}
		err = r.relayEvent(ctx, event)
		if err != nil {
			return err
		}
	}
}

// relayEvent checks that a chunk belongs to the attempt and is within the token
// limit, and passes it to the sink.
func (r *chatRelay) relayEvent(ctx context.Context, event backend.Event) error {
	err := r.server.Check.Check(strings.HasSuffix(event.Chunk.ID, r.attempt.id), invariant.ResponseMatchesAttempt, "chunk of response %s received for attempt %s", event.Chunk.ID, r.attempt.id)
	if err != nil {
		return err
	}
	if r.sink.events == 0 {
		_, span := r.attempt.span(ctx, "first_token")
		span.End()
	}
	if r.sink.tokens+event.Tokens() > r.maxOutputTokens && r.sink.connEvents >= r.sink.events {
		return errors.Newf("%w of %d", errOverrun, r.maxOutputTokens)
	}
	return r.sink.add(event)
}

// chat returns the request for the backend server of the current lease.
func (r *chatRelay) chat() backend.Chat {
	return backend.Chat{
		Address:  r.attempt.lease.Address,
		Attempt:  r.attempt.id,
		Priority: r.request.work.Priority,
		Body:     r.body,
		Once:     !r.request.repeatable,
		Again:    r.unclear,
	}
}

// failOver moves a repeatable request with an unknown outcome to another backend
// server, under the same attempt id, if nothing was sent to the caller yet. It reports
// whether there is a new lease to dispatch the request with.
func (r *chatRelay) failOver(ctx context.Context, err error) bool {
	unclear := isResumable(err) && !isRefused(err)
	if !unclear || !r.request.repeatable || !r.sink.restartable() {
		return false
	}
	lease := r.nextLease(ctx)
	if lease == nil {
		return false
	}
	if lease.Name != r.attempt.lease.Name {
		r.cancelInBackground(ctx)
	}
	r.unclear = true
	r.moveTo(lease, err)
	r.sink.reset()
	return true
}

// finish settles the attempt and only then completes the response. If the ledger
// refuses the settlement, the response ends with an error instead. It calls abort
// if err is not nil.
func (r *chatRelay) finish(ctx context.Context, err error) {
	if err != nil {
		r.abort(ctx, err)
		return
	}
	r.attempt.lease.Result.TimeToFirstToken = r.sink.firstAt.Sub(r.dispatchedAt)
	r.attempt.lease.Result.InterTokenTime = r.sink.interTokenTime()
	response := r.sink.response(r.request.work.Model)
	err = r.attempt.settle(ctx, r.sink.billableTokens(r.attempt.tokens), response)
	if err != nil {
		r.sink.fail(unknownOutcome())
		return
	}
	r.sink.finish(response)
}

// abort ends the response with an explicit error, cancels the dispatches and
// bills the tokens that they generated.
func (r *chatRelay) abort(ctx context.Context, err error) {
	r.attempt.lease.Result.Failed = ctx.Err() == nil
	r.attempt.log().Warn("response ended early", "server", r.attempt.lease.Name, "err", err.Error())
	refusal := incompleteResponse(ctx)
	r.sink.fail(refusal)
	_ = r.attempt.settle(ctx, r.cancelAndCount(ctx), r.sink.partialResponse(refusal))
}

// cancelAndCount cancels every dispatch and returns the tokens to bill: the sum of
// the engines' counts. An engine that does not respond counts with the whole
// reservation.
func (r *chatRelay) cancelAndCount(ctx context.Context) int64 {
	ctx = context.WithoutCancel(ctx)
	total := r.cancelAndCountAt(ctx, r.chat(), r.receivedTokens())
	for _, chat := range r.unresolved {
		total += r.cancelAndCountAt(ctx, chat, 0)
	}
	return total
}

// cancelAndCountAt cancels one dispatch and returns the tokens that the engine
// used. It returns receivedTokens if the engine does not know the attempt, and
// the reserved tokens if the engine does not respond.
func (r *chatRelay) cancelAndCountAt(ctx context.Context, chat backend.Chat, receivedTokens int64) int64 {
	for try := range cancelTries {
		if try > 0 {
			sleep.For(ctx, cancelPause)
		}
		report, err := r.server.Backend.CancelAttempt(ctx, chat.Address, chat.Attempt)
		if err != nil {
			continue
		}
		if report.State != backend.AttemptAbsent {
			return report.Tokens()
		}
		return receivedTokens
	}
	return r.attempt.tokens
}

// receivedTokens returns the tokens to bill if the engine no longer knows the
// attempt: none before the first chunk, then the upper bound on the prompt's
// tokens plus the received tokens.
func (r *chatRelay) receivedTokens() int64 {
	if r.sink.events == 0 {
		return 0
	}
	return r.maxPromptTokens + r.sink.tokens
}

// cancelInBackground cancels the current dispatch without waiting for the engine.
// The engine's token count is queried later, if the request is aborted.
func (r *chatRelay) cancelInBackground(ctx context.Context) {
	r.unresolved = append(r.unresolved, r.chat())
	c := &cancellation{server: r.server, chat: r.chat()}
	go c.run(context.WithoutCancel(ctx))
}

// cancellation cancels an attempt that was replaced by another dispatch.
type cancellation struct {
	server *Server
	chat   backend.Chat
}

func (c *cancellation) run(ctx context.Context) {
	_, err := c.server.Backend.CancelAttempt(ctx, c.chat.Address, c.chat.Attempt)
	if err != nil {
		c.server.Log.Debug("attempt could not be canceled", "err", err.Error())
	}
}

// isRefused reports whether err means that the backend server did not run the
// request.
func isRefused(err error) bool {
	var status *backend.StatusError
	if errors.As(err, &status) {
		return status.NotRun()
	}
	return upstream.IsNotSent(err)
}

// isResumable reports whether the stream may be resumed after err.
func isResumable(err error) bool {
	var status *backend.StatusError
	return errors.As(err, &status) ||
		errors.Is(err, backend.ErrUnclear) ||
		errors.Is(err, upstream.ErrTruncated) ||
		errors.Is(err, upstream.ErrResponseMismatch)
}

// isAttemptLost reports whether err means that the engine no longer has the
// attempt.
func isAttemptLost(err error) bool {
	var status *backend.StatusError
	if !errors.As(err, &status) {
		return false
	}
	return status.Status == http.StatusNotFound || status.Status == http.StatusGone
}

// incompleteResponse returns the refusal for a response that ended early.
func incompleteResponse(ctx context.Context) *Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Refusal{Status: http.StatusGatewayTimeout, Code: codeDeadline, Message: "the answer was not whole at the work's deadline; what was generated is billed", RetryAfter: retrySoon}
	}
	return unknownOutcome()
}
