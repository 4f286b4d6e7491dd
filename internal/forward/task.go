package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// maxDeclinedAttempts is the number of declined attempts at which a request
	// fails.
	maxDeclinedAttempts = 3
	// maxUnsentAttempts is the number of unsent attempts that a request may
	// have; one more fails the request.
	maxUnsentAttempts = 4
	// promptFirstByteTimeout is how long an attempt at a model engine may take to
	// send the first byte before another server is sought, if the route allows
	// another attempt.
	promptFirstByteTimeout = 1100 * time.Millisecond
	// firstByteDivisor divides the time until the deadline to give the same
	// timeout for other requests.
	firstByteDivisor = 2.5
	// streamIdleTimeout is how long a resumable stream may send nothing before
	// another server is sought that resumes it.
	streamIdleTimeout = 1200 * time.Millisecond
)

// denial names why a request gets no further attempt. It appears in logs.
type denial string

const (
	deniedByDeadline    denial = "deadline"
	deniedByRoute       denial = "route"
	deniedByAttempts    denial = "attempts_used"
	deniedByRetryBudget denial = "retry_budget"
	deniedByQuarantine  denial = "quarantined"
	deniedByServers     denial = "no_other_server"
	deniedByShutdown    denial = "shutdown"
	deniedByEventID     denial = "no_event_id"
)

// task holds the state of one request.
type task struct {
	server    *Server
	w         http.ResponseWriter
	start     time.Time
	table     *Table
	request   *Request
	route     *Route
	workspace *Workspace
	// caller names whose bodies count together; see callerOf.
	caller   string
	upstream string
	deadline time.Time
	// callerCtx ends when the caller disconnects. Unlike the context of the
	// attempts, it has no deadline.
	callerCtx   context.Context
	reservation *escrow.Reservation
	// bodyMemory is the memory of the request body.
	bodyMemory *memory.Request
	// prepared is set once the request may be sent to servers.
	prepared bool
	// relayed is set if another entry has passed the request on, and peersTried counts the
	// other entries that this one has passed it to.
	relayed    bool
	peersTried int

	// requestDigest is the digest of the request once digested is set.
	requestDigest uint64
	digested      bool

	// tried holds the ids of the servers of all attempts so far.
	tried []string
	// declinedBy holds the ids of the servers that have declined to take over from a
	// silent one. They may be tried again.
	declinedBy       []string
	unsentAttempts   int
	declinedAttempts int
	// startedAttempts counts the attempts that a server may have started to run.
	startedAttempts int
	// mayHaveRun is set once a server may have run the request, even in part.
	mayHaveRun bool
	// lastServer is the id of the server of the latest attempt.
	lastServer string
	// lastVersion is the version of that server's software.
	lastVersion string
	// lastReceived is when the server of the latest attempt last sent anything, or
	// when the attempt started.
	lastReceived time.Time
	// notRepeated names why no attempt follows the latest one.
	notRepeated denial
	// version limits further attempts to the software version that began the stream.
	version place.VersionLimit
	// regions limits the regions of the servers; nil allows any.
	regions *place.RegionLimit
	// next is the server that takes over from a silent one; nil if none does.
	next *successor

	// responseStarted is set once the response to the caller has started.
	responseStarted bool
	// format is the body's format of the latest stream.
	format bodyFormat
	// responseComplete is set once a server's response was read to its end.
	responseComplete bool
	// events counts the events of a stream that were forwarded.
	events int64
	// responseBytes is the size of the response body sent to the caller.
	responseBytes int64
	// lastEventID is the id of the last forwarded event.
	lastEventID string
	// lastDataLacksID is set if data was forwarded after the event of lastEventID, or
	// without any id. No server can go on right after it.
	lastDataLacksID bool
	status          int
	timeToFirstByte time.Duration
}

// attempt sends the request to one server. If shouldRetry is set, another attempt
// must follow; otherwise refused is nil if the response was delivered.
func (t *task) attempt(ctx context.Context) (refused *refusal, shouldRetry bool) {
	if t.next != nil {
		next := t.next
		t.next = nil
		t.recordSearch(next)
		return t.sendTo(ctx, next.placement, next)
	}
	refused = t.refuseQuarantined()
	if refused != nil {
		return refused, false
	}
	if peer := t.pickPeer(); peer != nil {
		return t.sendTo(ctx, peer, nil)
	}
	refused = t.prepare(ctx)
	if refused != nil {
		return refused, false
	}
	switch d := t.pick(t.tried).(type) {
	case place.Chosen:
		return t.sendTo(ctx, d.Placement, nil)
	case place.Full:
		return t.refuseFull(d), false
	}
	if peer := t.placeAtPeer(); peer != nil {
		return t.sendTo(ctx, peer, nil)
	}
	return t.refuseWithoutServer(), false
}

// refuseFull returns the refusal of a request that no server takes now.
func (t *task) refuseFull(full place.Full) *refusal {
	if full.Late {
		return t.fail(reasonTooLate, full.RetryAfter)
	}
	return t.fail(reasonServersFull, full.RetryAfter)
}

// refuseWithoutServer returns the refusal of a request that no server may take.
func (t *task) refuseWithoutServer() *refusal {
	if t.isEvacuated() {
		return t.fail(reasonEvacuated, retryAfterLater)
	}
	if t.isOutsideRegions() {
		return t.fail(reasonRegion, retryAfterLater)
	}
	return t.fail(reasonNoServer, retryAfterLater)
}

// pick places the request at a server other than those of tried.
func (t *task) pick(tried []string) place.Decision {
	return t.server.Fleet.Pick(t.query(tried, time.Now()))
}

// query describes the request to the fleet.
func (t *task) query(tried []string, now time.Time) place.Query {
	timeLeft := max(0, t.deadline.Sub(now))
	if t.mayHaveRun {
		// The server that goes on with a response gets a chance, even if it seems late.
		timeLeft = 0
	}
	return place.Query{
		Now:           now,
		Upstream:      t.upstream,
		FailureDomain: t.server.FailureDomain,
		Prompt:        t.request.Prompt,
		Bytes:         int64(t.request.Body.Len()),
		Version:       t.version,
		Regions:       t.regions,
		Tried:         tried,
		Once:          !t.route.retriable(),
		Priority:      t.route.priority(t.workspace),
		TimeLeft:      timeLeft,
	}
}

// abandonNext ends the attempt at a successor that is not used.
func (t *task) abandonNext() {
	if t.next != nil {
		t.next.abandon()
		t.next = nil
	}
}

// fail returns the refusal of a request that gets no further attempt: a 502 if a
// server may have run it, and a 503 with a Retry-After of delay if none did.
func (t *task) fail(cause reason, delay time.Duration) *refusal {
	if t.mayHaveRun {
		return badGateway(cause)
	}
	return serviceUnavailable(cause, delay)
}

// sendTo makes one attempt at the placed server and handles its response. A successor
// that is not nil has already sent the request.
func (t *task) sendTo(ctx context.Context, placement *place.Placement, next *successor) (refused *refusal, shouldRetry bool) {
	t.tried = append(t.tried, placement.ID)
	t.lastServer = placement.ID
	t.lastVersion = placement.Version
	t.lastReceived = time.Now()
	response, err := t.awaitResponse(ctx, placement, next)
	if err != nil {
		return t.handleSendError(ctx, placement, err)
	}
	t.lastReceived = time.Now()
	info := t.server.responseInfo(placement, response)
	if placement.Peer {
		return t.deliverRelayed(ctx, placement, response, info)
	}
	t.server.recordServerState(placement, info)
	if info.OtherServer || info.NotRun {
		d := t.endDeclined(placement, response, info)
		refused, shouldRetry = t.retryDeclined(d.reason)
		t.reportFailedAttempt(placement, d.outcome, d.cause, shouldRetry)
		return refused, shouldRetry
	}
	t.mayHaveRun = true
	t.startedAttempts++
	return t.deliver(ctx, placement, response, info)
}

// deliverRelayed handles the response of another entry: that of a server, or its own.
func (t *task) deliverRelayed(ctx context.Context, placement *place.Placement, response *upstream.Response, info ResponseInfo) (refused *refusal, shouldRetry bool) {
	if !info.Genuine {
		return t.handlePeerRefusal(placement, response)
	}
	t.mayHaveRun = true
	t.useUpAttempts()
	return t.deliver(ctx, placement, response, info)
}

// responseInfo decodes the response from a placement. A server's response that names no
// attempt, on a connection that was idle before, may repeat the response to an earlier
// request or come from the end of the idle time. It states nothing about this request, which
// may have run.
func (s *Server) responseInfo(placement *place.Placement, response *upstream.Response) ResponseInfo {
	info := s.Translator.ResponseInfo(response.Status, response.Header)
	if response.Reused && !info.Identified && !placement.Peer {
		return ResponseInfo{}
	}
	return info
}

// recordServerState records what a response states about its server.
func (s *Server) recordServerState(placement *place.Placement, info ResponseInfo) {
	now := time.Now()
	placement.RecordAnswer(now)
	s.crashChecks.recordAnswer(placement)
	if info.Load != nil {
		placement.SetLoad(*info.Load, now)
	}
	if info.Brittle.Named || info.Genuine && !info.OtherServer {
		placement.RecordBrittle(info.Brittle, now)
	}
	if info.Limit.Named || info.Genuine && !info.OtherServer {
		placement.RecordLimit(info.Limit, now)
	}
	if info.ColdStated {
		placement.RecordCold(info.ColdFor, now)
	}
	if info.Leaving {
		placement.MarkLeaving(now)
	}
	if info.RetryAfter > 0 {
		placement.HoldOff(now.Add(info.RetryAfter))
	}
}

// declined describes, for the log and for a refusal, why a server did not run a request.
type declined struct {
	reason  reason
	outcome string
	cause   string
}

// endDeclined ends an attempt at a server that did not run the request.
func (t *task) endDeclined(placement *place.Placement, response *upstream.Response, info ResponseInfo) declined {
	if info.OtherServer {
		response.Abandon()
		placement.MarkReplaced(time.Now())
		placement.Done(place.Unreachable{}, time.Now())
		return declined{reason: reasonNotSent, outcome: "other_server", cause: "another server answers at this address"}
	}
	t.discardResponse(response)
	placement.Done(place.Declined{}, time.Now())
	return declined{reason: reasonDeclined, outcome: "declined", cause: "the server did not run the request"}
}

// discardResponse reads the rest of a response that is not forwarded, so that the
// connection can be reused.
func (t *task) discardResponse(response *upstream.Response) {
	if !response.Discard() {
		response.Abandon()
		return
	}
	response.Finish()
}

// errSuperseded reports that another server has taken over the request.
var errSuperseded = errors.New("another server has taken over the request")

// awaitResponse sends the request, unless a successor has, and waits for the header of
// the response. While that takes too long it seeks a successor, if the route allows an
// attempt after this one.
func (t *task) awaitResponse(ctx context.Context, placement *place.Placement, next *successor) (*upstream.Response, error) {
	if next != nil {
		return next.wait()
	}
	if placement.Peer {
		return t.server.Upstream.Do(ctx, placement.ID, placement.Address, t.relayRequest())
	}
	if !t.allowsAttemptAfter(t.startedAttempts + 1) {
		return t.server.Upstream.Do(ctx, placement.ID, placement.Address, t.upstreamRequest(placement))
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	s := t.seekSuccessor(ctx, t.firstByteTimeout(), t.startedAttempts+1, cancel)
	response, err := t.server.Upstream.Do(attemptCtx, placement.ID, placement.Address, t.upstreamRequest(placement))
	if !s.stop() {
		return response, err
	}
	t.next = s
	t.mayHaveRun = true
	abandonResponse(response)
	if err == nil {
		err = errSuperseded
	}
	return nil, err
}

// firstByteTimeout is how long an attempt may take to send the response header before
// a successor is sought.
func (t *task) firstByteTimeout() time.Duration {
	if t.request.Prompt != nil {
		return promptFirstByteTimeout
	}
	return time.Duration(float64(time.Until(t.deadline)) / firstByteDivisor)
}

// upstreamRequest returns the request to send to the placed server.
func (t *task) upstreamRequest(placement *place.Placement) *upstream.Request {
	attempt := &Attempt{
		Request:     t.request,
		Workspace:   t.workspaceName(),
		Server:      placement.ID,
		Timeout:     time.Until(t.deadline),
		LastEventID: t.resumptionID(),
		Priority:    t.route.priority(t.workspace),
	}
	if placement.Granted {
		attempt.Priority = 0
	}
	return &upstream.Request{
		Method:     t.request.Method,
		Target:     t.request.Target,
		Host:       t.request.Host,
		Header:     t.server.Translator.Header(attempt),
		Body:       t.request.Body,
		Once:       !t.route.retriable(),
		Again:      slices.Contains(t.declinedBy, placement.ID),
		IsResponse: t.isResponse,
	}
}

// resumptionID returns the id of the last event that the caller has, from this response or
// from the attempt that it resumes; empty if it has none.
func (t *task) resumptionID() string {
	if t.lastEventID != "" {
		return t.lastEventID
	}
	return t.request.LastEventID
}

// isResponse reports whether a response with this header belongs to the request.
func (t *task) isResponse(header http.Header) bool {
	return t.server.Translator.IsResponseTo(header, t.request)
}

// handleSendError decides whether to retry after an attempt that failed with err
// before a response header arrived.
func (t *task) handleSendError(ctx context.Context, placement *place.Placement, err error) (refused *refusal, shouldRetry bool) {
	now := time.Now()
	if t.callerCtx.Err() != nil {
		placement.Done(place.Abandoned{}, now)
		t.mayHaveRun = t.mayHaveRun || !upstream.IsNotSent(err)
		return &refusal{reason: reasonCallerLeft}, false
	}
	if upstream.IsNotSent(err) {
		t.server.endUnsent(placement, err, now)
		t.unsentAttempts++
		switch {
		case drain.IsInterrupted(ctx):
			refused = t.endWith(ctx)
		case ctx.Err() != nil:
			t.notRepeated = deniedByDeadline
			refused = t.fail(reasonNotSent, retryAfterSoon)
		case t.unsentAttempts > maxUnsentAttempts:
			return t.passToPeer(ctx, placement, err)
		case upstream.LacksDescriptors(err):
			refused = t.fail(reasonNotSent, retryAfterOtherEntry)
		}
		t.reportFailedAttempt(placement, "not_sent", err.Error(), refused == nil)
		return refused, refused == nil
	}
	placement.Done(t.outcomeOfError(ctx), now)
	t.mayHaveRun = true
	if placement.Peer {
		t.useUpAttempts()
	} else {
		t.startedAttempts++
		t.recordCrash(placement, err)
	}
	refused, shouldRetry = t.retryOr(ctx, badGateway(reasonOutcomeUnclear))
	t.reportFailedAttempt(placement, "no_answer", err.Error(), shouldRetry)
	return refused, shouldRetry
}

// outcomeOfError returns the outcome for the placement of an attempt that ended with an
// error: its server is not to blame for the end of a shutdown.
func (t *task) outcomeOfError(ctx context.Context) place.Outcome {
	if drain.IsInterrupted(ctx) {
		return place.Abandoned{}
	}
	return place.Failed{}
}

// passToPeer makes the last attempt, at another entry, of a request that could not be sent
// to several servers. Without such an entry it fails the request.
func (t *task) passToPeer(ctx context.Context, placement *place.Placement, err error) (refused *refusal, shouldRetry bool) {
	peer := t.placeAtPeer()
	t.reportFailedAttempt(placement, "not_sent", err.Error(), peer != nil)
	if peer != nil {
		return t.sendTo(ctx, peer, nil)
	}
	t.notRepeated = deniedByAttempts
	return t.fail(reasonNotSent, retryAfterSoon), false
}

// retryDeclined asks for another attempt after a server declined the request
// without running it, if maxDeclinedAttempts and the retry budget allow one. A brittle
// server might fall over by the same request.
// Otherwise it fails the request with cause.
func (t *task) retryDeclined(cause reason) (refused *refusal, shouldRetry bool) {
	t.declinedAttempts++
	if t.declinedAttempts >= maxDeclinedAttempts || t.server.Fleet.IsBrittle(t.upstream, time.Now()) {
		t.notRepeated = deniedByAttempts
		return t.fail(cause, retryAfterSoon), false
	}
	if !t.chargeRetry() {
		return t.fail(cause, retryAfterSoon), false
	}
	return nil, true
}

// retryOr asks for another attempt if the route, the deadline and the retry
// budget allow one. Otherwise it returns refused, or a timeout once the deadline
// has passed.
func (t *task) retryOr(ctx context.Context, refused *refusal) (*refusal, bool) {
	// The idle timeout of a stream may end a read shortly before the deadline, which
	// then passes before the context's timer has fired.
	if ctx.Err() != nil || !time.Now().Before(t.deadline) {
		return t.endWith(ctx), false
	}
	if t.next == nil && !t.spendRetry() {
		return refused, false
	}
	return nil, true
}

// endWith returns the refusal of a request whose deadline has passed, or that the end of
// the shutdown has interrupted, as the context of its attempts tells.
func (t *task) endWith(ctx context.Context) *refusal {
	if drain.IsInterrupted(ctx) {
		t.notRepeated = deniedByShutdown
		return t.fail(reasonInterrupted, retryAfterOtherEntry)
	}
	t.notRepeated = deniedByDeadline
	return &refusal{reason: reasonTimeout, status: http.StatusGatewayTimeout}
}

// allowsAttemptAfter reports whether the route and the stream allow another attempt after
// startedAttempts attempts that a server may have started to run.
func (t *task) allowsAttemptAfter(startedAttempts int) bool {
	return t.route.retriable() && !t.lastDataLacksID && startedAttempts < t.route.maxAttempts()
}

// spendRetry reports whether the route and the retry budget allow another attempt
// after one that may have run, and charges it to the retry budget.
func (t *task) spendRetry() bool {
	if !t.route.retriable() {
		t.notRepeated = deniedByRoute
		return false
	}
	if t.lastDataLacksID {
		t.notRepeated = deniedByEventID
		return false
	}
	if t.isQuarantined() {
		t.notRepeated = deniedByQuarantine
		return false
	}
	if !t.allowsAttemptAfter(t.startedAttempts) {
		t.notRepeated = deniedByAttempts
		return false
	}
	return t.chargeRetry()
}

// chargeRetry reports whether the retry budget allows another attempt, and charges
// it.
func (t *task) chargeRetry() bool {
	if t.server.Retries.TryRetry(t.upstream, t.server.Entries(), time.Now()) {
		return true
	}
	t.notRepeated = deniedByRetryBudget
	return false
}
