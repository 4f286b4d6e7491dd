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
	maxDeclined = 3
	// maxUnsent bounds the servers to which one request could not be sent.
	maxUnsent = 4
	// firstByteStream and firstByteShare bound the wait for the first byte of
	// an answer that may be asked for again elsewhere.
	firstByteStream = 1100 * time.Millisecond
	firstByteShare  = 2.5
	// gapLimit is the silence after which a resumable stream goes on elsewhere.
	gapLimit = 1200 * time.Millisecond
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
	parent context.Context
	hold   *escrow.Reservation

	tried    []string
	unsent   int
	declined int
	// sends counts the servers that may have begun to run the request.
	sends      int
	mayHaveRun bool
	// lastServer is the server that the request was placed at last.
	lastServer string

	// begun is set once a part of an answer went to the caller.
	begun bool
	// complete is set once the whole answer of a server was read.
	complete bool
	events   int64
	// answerBytes went to the caller.
	answerBytes int64
	lastEvent   string
	status      int
	firstByte   time.Duration
}

// attempt sends the request to one server. It returns the final refusal, or
// nil after a delivered answer; again asks for another attempt.
func (t *task) attempt(ctx context.Context) (refused *refusal, again bool) {
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
		return t.giveUp(reasonServersFull, d.RetryAfter), false
	default:
		return t.giveUp(reasonNoServer, retryLater), false
	}
}

// giveUp ends the request: with a promise that it did not run, if that is so.
func (t *task) giveUp(why reason, after time.Duration) *refusal {
	if t.mayHaveRun {
		return unclear(why)
	}
	return notRun(why, after)
}

func (t *task) sendTo(ctx context.Context, placement *place.Placement) (refused *refusal, again bool) {
	t.tried = append(t.tried, placement.ID)
	t.lastServer = placement.ID
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := t.limitFirstByte(cancel)
	response, err := t.server.Upstream.Do(sending, placement.ID, placement.Address, t.upstreamRequest(placement))
	answered()
	if err != nil {
		return t.sendFailed(ctx, placement, err)
	}
	verdict := t.server.Translator.Verdict(response.Status, response.Header)
	if verdict.Load != nil {
		placement.Heard(*verdict.Load, time.Now())
	}
	switch {
	case verdict.OtherServer:
		response.Abandon()
		placement.Refuted()
		placement.Done(place.Unreachable{}, time.Now())
		refused, again = t.notTaken(reasonNotSent)
		t.reportAttempt(placement, "other_server", "another server has the address", again)
		return refused, again
	case verdict.NotRun:
		t.drop(response)
		placement.Done(place.Declined{}, time.Now())
		refused, again = t.notTaken(reasonDeclined)
		t.reportAttempt(placement, "declined", "the server did not run it", again)
		return refused, again
	}
	t.mayHaveRun = true
	t.sends++
	return t.deliver(ctx, placement, response, verdict)
}

// drop reads the short answer of a refusal, so that its connection is kept.
func (t *task) drop(response *upstream.Response) {
	_, err := response.ReadAll()
	if err != nil {
		response.Abandon()
		return
	}
	response.Finish()
}

// limitFirstByte ends the wait for the first byte while another attempt could
// still be made. The function that it returns ends the limit.
func (t *task) limitFirstByte(cancel context.CancelFunc) (answered func()) {
	if !t.hasAttemptAfter(t.sends + 1) {
		return func() {}
	}
	limit := time.Duration(float64(time.Until(t.deadline)) / firstByteShare)
	if t.request.Prompt != nil {
		limit = firstByteStream
	}
	timer := time.AfterFunc(limit, cancel)
	return func() { timer.Stop() }
}

func (t *task) upstreamRequest(placement *place.Placement) *upstream.Request {
	workspace := ""
	if t.workspace != nil {
		workspace = t.workspace.Name
	}
	attempt := &Attempt{
		Request:   t.request,
		Workspace: workspace,
		Server:    placement.ID,
		Left:      time.Until(t.deadline),
		LastEvent: t.lastEvent,
		Priority:  t.route.priority(t.workspace),
	}
	if attempt.LastEvent == "" {
		attempt.LastEvent = t.request.LastEvent
	}
	return &upstream.Request{
		Method: t.request.Method,
		Target: t.request.Target,
		Host:   t.request.Host,
		Header: t.server.Translator.Header(attempt),
		Body:   t.request.Body,
		Once:   !t.route.mayRepeat(),
		Mine:   func(header http.Header) bool { return t.server.Translator.Answers(header, t.request) },
	}
}

// sendFailed decides after a send without an answer.
func (t *task) sendFailed(ctx context.Context, placement *place.Placement, err error) (refused *refusal, again bool) {
	now := time.Now()
	if t.parent.Err() != nil {
		placement.Done(place.Abandoned{}, now)
		t.mayHaveRun = t.mayHaveRun || !upstream.IsNotSent(err)
		return &refusal{reason: reasonCallerLeft}, false
	}
	if upstream.IsNotSent(err) {
		placement.Done(place.Unreachable{}, now)
		t.server.Upstream.Forget(placement.ID)
		t.unsent++
		if ctx.Err() != nil || t.unsent > maxUnsent {
			refused = t.giveUp(reasonNotSent, retrySoon)
		}
		t.reportAttempt(placement, "not_sent", err.Error(), refused == nil)
		return refused, refused == nil
	}
	placement.Done(place.Failed{}, now)
	t.mayHaveRun = true
	t.sends++
	refused, again = t.repeatOr(ctx, unclear(reasonUnclear))
	t.reportAttempt(placement, "no_answer", err.Error(), again)
	return refused, again
}

// notTaken decides after a server refused the request without running it.
func (t *task) notTaken(why reason) (refused *refusal, again bool) {
	t.declined++
	if t.declined >= maxDeclined || !t.server.Retries.Take(t.upstream, t.server.Entries(), time.Now()) {
		return t.giveUp(why, retrySoon), false
	}
	return nil, true
}

// repeatOr asks for another attempt if the route, the time and the budget allow
// it, and else ends the request with refused.
func (t *task) repeatOr(ctx context.Context, refused *refusal) (*refusal, bool) {
	// A socket may report the deadline before the context's timer fires.
	if ctx.Err() != nil || !time.Now().Before(t.deadline) {
		return &refusal{reason: reasonTimeout, status: http.StatusGatewayTimeout}, false
	}
	if !t.mayRepeatNow() {
		return refused, false
	}
	return nil, true
}

// hasAttemptAfter tells whether the route allows another attempt after a number
// of servers that may have begun.
func (t *task) hasAttemptAfter(sends int) bool {
	return t.route.mayRepeat() && sends < t.route.attempts()
}

func (t *task) mayRepeatNow() bool {
	if !t.hasAttemptAfter(t.sends) {
		return false
	}
	return t.server.Retries.Take(t.upstream, t.server.Entries(), time.Now())
}
