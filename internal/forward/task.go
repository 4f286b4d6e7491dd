package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// maxDeclined bounds the servers that may refuse one request.
	maxDeclinedAttempts = 3
	// maxUnsent bounds the servers to which one request could not be sent.
	maxUnsentAttempts = 4
	// firstByteStream and firstByteShare bound the wait for the first byte of
	// an answer that may be asked for again elsewhere.
	promptFirstByteTimeout = 1100 * time.Millisecond
	firstByteDivisor       = 2.5
	// gapLimit is the silence after which a resumable stream goes on elsewhere.
	streamIdleTimeout = 1200 * time.Millisecond
)

// task is the work on one request.
type task struct {
	server    *Server
	w         http.ResponseWriter
	start     time.Time
	table     *Table
	request   *Request
	route     *Route
	workspace *Workspace
	upstream  string
	deadline  time.Time
	// parent ends when the caller leaves.
	callerCtx   context.Context
	reservation *escrow.Hold

	tried            []string
	unsentAttempts   int
	declinedAttempts int
	// sends counts the servers that may have begun to run the request.
	startedAttempts int
	mayHaveRun      bool
	// lastServer is the server that the request was placed at last.
	lastServer string

	// begun is set once a part of an answer went to the caller.
	responseStarted bool
	// complete is set once the whole answer of a server was read.
	responseComplete bool
	events           int64
	// answerBytes went to the caller.
	responseBytes   int64
	lastEventID     string
	status          int
	timeToFirstByte time.Duration
}

// attempt sends the request to one server. It returns the final refusal, or
// nil after a delivered answer; again asks for another attempt.
func (t *task) attempt(ctx context.Context) (refused *refusal, shouldRetry bool) {
	decision := t.server.Fleet.Pick(place.Query{
		Now:           time.Now(),
		Upstream:      t.upstream,
		FailureDomain: t.server.FailureDomain,
		Prompt:        t.request.Prompt,
		Tried:         t.tried,
	})
	switch d := decision.(type) {
	case place.Chosen:
		return t.sendTo(ctx, d.Placement)
	case place.Full:
		return t.fail(reasonServersFull, d.RetryAfter), false
	default:
		return t.fail(reasonNoServer, retryAfterLater), false
	}
}

// giveUp ends the request: with a promise that it did not run, if that is so.
func (t *task) fail(cause reason, delay time.Duration) *refusal {
	if t.mayHaveRun {
		return badGateway(cause)
	}
	return serviceUnavailable(cause, delay)
}

func (t *task) sendTo(ctx context.Context, placement *place.Placement) (refused *refusal, shouldRetry bool) {
	t.tried = append(t.tried, placement.ID)
	t.lastServer = placement.ID
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopTimer := t.startFirstByteTimer(cancel)
	response, err := t.server.Upstream.Do(attemptCtx, placement.ID, placement.Address, t.upstreamRequest(placement))
	stopTimer()
	if err != nil {
		return t.handleSendError(ctx, placement, err)
	}
	info := t.server.Translator.ResponseInfo(response.Status, response.Header)
	if info.Load != nil {
		placement.Heard(*info.Load, time.Now())
	}
	switch {
	case info.OtherServer:
		response.Abandon()
		placement.Refuted()
		placement.Done(place.Unreachable{}, time.Now())
		refused, shouldRetry = t.retryDeclined(reasonNotSent)
		t.reportFailedAttempt(placement, "other_server", "another server has the address", shouldRetry)
		return refused, shouldRetry
	case info.NotRun:
		t.discardResponse(response)
		placement.Done(place.Declined{}, time.Now())
		refused, shouldRetry = t.retryDeclined(reasonDeclined)
		t.reportFailedAttempt(placement, "declined", "the server did not run it", shouldRetry)
		return refused, shouldRetry
	}
	t.mayHaveRun = true
	t.startedAttempts++
	return t.deliver(ctx, placement, response, info)
}

// drop reads the short answer of a refusal, so that its connection is kept.
func (t *task) discardResponse(response *upstream.Response) {
	_, err := response.ReadAll()
	if err != nil {
		response.Abandon()
		return
	}
	response.Finish()
}

// limitFirstByte ends the wait for the first byte while another attempt could
// still be made. The function that it returns ends the limit.
func (t *task) startFirstByteTimer(cancel context.CancelFunc) (stop func()) {
	if !t.allowsAttemptAfter(t.startedAttempts + 1) {
		return func() {}
	}
	timeout := time.Duration(float64(time.Until(t.deadline)) / firstByteDivisor)
	if t.request.Prompt != nil {
		timeout = promptFirstByteTimeout
	}
	timer := time.AfterFunc(timeout, cancel)
	return func() { timer.Stop() }
}

func (t *task) upstreamRequest(placement *place.Placement) *upstream.Request {
	workspace := ""
	if t.workspace != nil {
		workspace = t.workspace.Name
	}
	attempt := &Attempt{
		Request:     t.request,
		Workspace:   workspace,
		Server:      placement.ID,
		Timeout:     time.Until(t.deadline),
		LastEventID: t.lastEventID,
		Priority:    t.route.priority(t.workspace),
	}
	if attempt.LastEventID == "" {
		attempt.LastEventID = t.request.LastEventID
	}
	return &upstream.Request{
		Method: t.request.Method,
		Target: t.request.Target,
		Host:   t.request.Host,
		Header: t.server.Translator.Header(attempt),
		Body:   t.request.Body,
		Once:   !t.route.retriable(),
		Mine:   func(header http.Header) bool { return t.server.Translator.IsResponseTo(header, t.request) },
	}
}

// sendFailed decides after a send without an answer.
func (t *task) handleSendError(ctx context.Context, placement *place.Placement, err error) (refused *refusal, shouldRetry bool) {
	now := time.Now()
	if t.callerCtx.Err() != nil {
		placement.Done(place.Abandoned{}, now)
		t.mayHaveRun = t.mayHaveRun || !upstream.IsNotSent(err)
		return &refusal{reason: reasonCallerLeft}, false
	}
	if upstream.IsNotSent(err) {
		placement.Done(place.Unreachable{}, now)
		t.server.Upstream.Forget(placement.ID)
		t.unsentAttempts++
		if ctx.Err() != nil || t.unsentAttempts > maxUnsentAttempts {
			refused = t.fail(reasonNotSent, retryAfterSoon)
		}
		t.reportFailedAttempt(placement, "not_sent", err.Error(), refused == nil)
		return refused, refused == nil
	}
	placement.Done(place.Failed{}, now)
	t.mayHaveRun = true
	t.startedAttempts++
	refused, shouldRetry = t.retryOr(ctx, badGateway(reasonOutcomeUnclear))
	t.reportFailedAttempt(placement, "no_answer", err.Error(), shouldRetry)
	return refused, shouldRetry
}

// notTaken decides after a server refused the request without running it.
func (t *task) retryDeclined(cause reason) (refused *refusal, shouldRetry bool) {
	t.declinedAttempts++
	if t.declinedAttempts >= maxDeclinedAttempts || !t.server.Retries.Take(t.upstream, t.server.Entries(), time.Now()) {
		return t.fail(cause, retryAfterSoon), false
	}
	return nil, true
}

// repeatOr asks for another attempt if the route, the time and the budget allow
// it, and else ends the request with refused.
func (t *task) retryOr(ctx context.Context, refused *refusal) (*refusal, bool) {
	// A socket may report the deadline before the context's timer fires.
	if ctx.Err() != nil || !time.Now().Before(t.deadline) {
		return &refusal{reason: reasonTimeout, status: http.StatusGatewayTimeout}, false
	}
	if !t.spendRetry() {
		return refused, false
	}
	return nil, true
}

// hasAttemptAfter tells whether the route allows another attempt after a number
// of servers that may have begun.
func (t *task) allowsAttemptAfter(startedAttempts int) bool {
	return t.route.retriable() && startedAttempts < t.route.maxAttempts()
}

func (t *task) spendRetry() bool {
	if !t.allowsAttemptAfter(t.startedAttempts) {
		return false
	}
	return t.server.Retries.Take(t.upstream, t.server.Entries(), time.Now())
}
