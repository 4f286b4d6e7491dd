package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// StripHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func StripHopByHopHeaders(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// deliver forwards a server's response to the caller. It returns shouldRetry
// instead if the response is not genuine, is a server error, can't continue the
// stream that the caller is receiving or breaks off, and another attempt is allowed.
func (t *task) deliver(ctx context.Context, placement *place.Placement, response *upstream.Response, info ResponseInfo) (refused *refusal, shouldRetry bool) {
	failed := response.Status >= http.StatusInternalServerError
	if !info.Genuine {
		response.Abandon()
		placement.Done(place.Failed{}, time.Now())
		refused, shouldRetry = t.retryOr(ctx, badGateway(reasonBadResponse))
		t.reportFailedAttempt(placement, "not_genuine", "the response has no server signature", shouldRetry)
		return refused, shouldRetry
	}
	if !t.canFollow(response) {
		return t.rejectContinuation(ctx, placement, response)
	}
	if failed && ctx.Err() == nil && t.spendRetry() {
		t.discardResponse(response)
		placement.Done(place.Failed{}, time.Now())
		t.reportFailedAttempt(placement, "failed", http.StatusText(response.Status), true)
		return nil, true
	}
	if t.route.Repetition == config.RepeatStream && response.Status == http.StatusOK {
		return t.deliverStream(ctx, placement, response)
	}
	return t.deliverWhole(ctx, placement, response, failed)
}

// canFollow reports whether a response can follow what the caller has received, now or from
// the attempt that it resumes: the body must be the rest of a stream, in the same format if
// that is known.
func (t *task) canFollow(response *upstream.Response) bool {
	format := formatOf(response.Header)
	if t.responseStarted {
		return response.Status == http.StatusOK && format == t.format
	}
	resumes := t.route.Repetition == config.RepeatStream && t.request.LastEventID != ""
	return !resumes || response.Status != http.StatusOK || format.mediaType == eventStreamType
}

// rejectContinuation ends an attempt whose response can't continue that of the caller.
func (t *task) rejectContinuation(ctx context.Context, placement *place.Placement, response *upstream.Response) (refused *refusal, shouldRetry bool) {
	t.discardResponse(response)
	if t.callerCtx.Err() != nil {
		placement.Done(place.Abandoned{}, time.Now())
		return &refusal{reason: reasonCallerLeft}, false
	}
	placement.Done(place.Failed{}, time.Now())
	refused, shouldRetry = t.retryOr(ctx, badGateway(reasonBrokenStream))
	t.reportFailedAttempt(placement, "no_continuation", "the response is no rest of the stream: "+strconv.Itoa(response.Status), shouldRetry)
	return refused, shouldRetry
}

// bodyFormat tells how the bytes of a response body are to be read.
type bodyFormat struct {
	mediaType string
	encoding  string
}

// formatOf returns the format that a response header states.
func formatOf(header http.Header) bodyFormat {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return bodyFormat{
		mediaType: strings.ToLower(strings.TrimSpace(mediaType)),
		encoding:  strings.ToLower(header.Get("Content-Encoding")),
	}
}

// deliverWhole reads a response to its end before it forwards any of it, so that
// the request can be retried when the response breaks off.
func (t *task) deliverWhole(ctx context.Context, placement *place.Placement, response *upstream.Response, failed bool) (refused *refusal, shouldRetry bool) {
	var room *memory.Response
	if t.server.BoundsResponses {
		room = t.server.Memory.Response(t.caller)
	}
	defer room.Release()
	body, err := readWhole(ctx, response, room)
	defer response.FreeBody()
	if err == nil && isSuccess(response.Status) {
		err = t.checkEnd(ctx, response)
	}
	if err != nil {
		response.Abandon()
		if t.callerCtx.Err() != nil {
			placement.Done(place.Abandoned{}, time.Now())
			return &refusal{reason: reasonCallerLeft}, false
		}
		if room.HasWaited() {
			// A server may cut off a response that stays unread, and is not to blame.
			placement.Done(place.Abandoned{}, time.Now())
		} else {
			placement.Done(t.outcomeOfError(ctx), time.Now())
			t.recordCrash(placement, err)
		}
		refused, shouldRetry = t.retryOr(ctx, badGateway(reasonBadResponse))
		t.reportFailedAttempt(placement, "broken_answer", err.Error(), shouldRetry)
		return refused, shouldRetry
	}
	response.Finish()
	var outcome place.Outcome = place.Served{}
	if failed {
		outcome = place.Failed{}
	}
	placement.Done(outcome, time.Now())
	t.responseComplete = true
	if isSuccess(response.Status) {
		t.recordProgress()
	}
	t.startResponse(response)
	if t.request.Method != http.MethodHead {
		t.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	}
	t.w.WriteHeader(response.Status)
	t.responseBytes = int64(body.Len())
	writeStart := time.Now()
	err = t.writeWhole(body, room)
	t.recordWrite(writeStart)
	if err != nil {
		return &refusal{reason: reasonCallerLeft}, false
	}
	return nil, false
}

// writeBytes is the size of one write of a whole response that has room, so that it is seen to
// advance.
const writeBytes = 16 << 10

// writeWhole writes a whole response to the caller, with memory from room. One that the caller
// doesn't read is given up while others lack memory.
func (t *task) writeWhole(body upstream.Body, room *memory.Response) error {
	if room == nil {
		_, err := body.WriteTo(t.w)
		return err
	}
	controller := http.NewResponseController(t.w)
	room.Begin(func() { _ = controller.SetWriteDeadline(pastDeadline) })
	for _, piece := range body {
		for part := range slices.Chunk(piece, writeBytes) {
			n, err := t.w.Write(part)
			room.Advance(n)
			if err != nil {
				return errors.Newf("write response: %w", err)
			}
		}
	}
	return nil
}

// deadlineMargin is how long before the deadline a server may end a response because its time
// is over: it is told the time left in whole milliseconds.
const deadlineMargin = 10 * time.Millisecond

// checkEnd checks the end of a response that states no length. At the deadline it tells nothing
// of whether the response is complete: the server was told to stop then. checkEnd waits for the
// deadline and returns the error of ctx.
func (t *task) checkEnd(ctx context.Context, response *upstream.Response) error {
	if response.HasLength() || time.Until(t.deadline) > deadlineMargin {
		return nil
	}
	<-ctx.Done()
	return errors.Newf("response without a length ended at the deadline: %w", ctx.Err())
}

// readWhole reads the body of a response with memory from room, or without room from the
// client's own budget.
func readWhole(ctx context.Context, response *upstream.Response, room *memory.Response) (upstream.Body, error) {
	if room == nil {
		return response.ReadAll()
	}
	return response.ReadAllReserved(func(bytes int) error { return room.Grow(ctx, int64(bytes)) })
}

// startResponse copies the response header to the caller's response writer. The
// status and the body are still to be written.
func (t *task) startResponse(response *upstream.Response) {
	t.responseStarted = true
	t.status = response.Status
	t.timeToFirstByte = time.Since(t.start)
	StripHopByHopHeaders(response.Header)
	header := t.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	// A nil entry keeps net/http from detecting a content type.
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
}

// deliverStream forwards complete events as they arrive. The first one starts the response
// to the caller; a resumed stream continues the response that an earlier attempt started.
func (t *task) deliverStream(ctx context.Context, placement *place.Placement, response *upstream.Response) (refused *refusal, shouldRetry bool) {
	t.format = formatOf(response.Header)
	s := &eventStream{task: t, ctx: ctx, placement: placement, response: response, controller: http.NewResponseController(t.w), awaitsID: t.resumptionID() != ""}
	if t.allowsAttemptAfter(t.startedAttempts) {
		response.WatchSilence(streamIdleTimeout, s.seekSuccessor)
	}
	stop := context.AfterFunc(ctx, response.Abandon)
	err := s.copy()
	stop()
	s.endSilence()
	now := time.Now()
	switch {
	case err == nil:
		t.startStream(response)
		t.responseComplete = true
		response.Finish()
		placement.Done(place.Served{}, now)
		return nil, false
	case t.callerCtx.Err() != nil || errors.Is(err, errCallerWrite):
		response.Abandon()
		placement.Done(place.Abandoned{}, now)
		return &refusal{reason: reasonCallerLeft}, false
	case ctx.Err() != nil:
		response.Abandon()
		placement.Done(place.Abandoned{}, now)
		return t.endWith(ctx), false
	}
	response.Abandon()
	placement.Done(place.Failed{}, now)
	if !s.progressed {
		t.recordCrash(placement, err)
	}
	refused, shouldRetry = t.retryOr(ctx, badGateway(reasonBrokenStream))
	outcome := "broken_stream"
	if errors.Is(err, errOutOfOrder) {
		outcome = "out_of_order"
	}
	t.reportFailedAttempt(placement, outcome, err.Error(), shouldRetry)
	return refused, shouldRetry
}

// startStream starts the response to the caller with the header of a stream, unless it has
// started.
func (t *task) startStream(response *upstream.Response) {
	if t.responseStarted {
		return
	}
	t.startResponse(response)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(response.Status)
}

// errCallerWrite reports that a write to the caller failed.
var errCallerWrite = errors.New("write response to caller failed")

// errNoEvent reports bytes within a stream that are no event of it.
var errNoEvent = errors.New("the bytes are no event of the stream")

// errOutOfOrder reports an event that does not come after the last one.
var errOutOfOrder = errors.New("out of order")

// eventStream copies the event stream of one attempt to the caller.
type eventStream struct {
	task       *task
	ctx        context.Context
	placement  *place.Placement
	response   *upstream.Response
	controller *http.ResponseController
	// pending holds bytes that are not forwarded yet; it ends with an incomplete
	// event, if any, of which the first searched bytes are known to hold no end.
	pending  []byte
	searched int
	// events counts the events of this attempt, and progressed is set once the answer has
	// gone on beyond its begin.
	events     int
	progressed bool
	// awaitsID is set until an event with an id has come, if the stream was resumed after
	// one.
	awaitsID bool
	// unusable is set once the pending bytes begin with what can't follow the events that
	// the caller has.
	unusable error
	// successor is sought while the server is silent; nil at other times.
	successor *successor
}

// silenceConfirmation is how long a server stays silent, once it was noticed, before a
// successor is sought: an entry that stood still first reads what has come.
const silenceConfirmation = 20 * time.Millisecond

// streamBufferBytes is the size of one read, and the number of pending bytes at
// which complete events are forwarded even if more data is buffered.
const streamBufferBytes = 4 << 10

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 256 << 10
	// extraEvents is the number of events that a stream may have beside those with
	// tokens.
	extraEvents = 16
)

// copy forwards events until the stream ends. It returns nil if the stream is complete, and
// upstream.ErrTruncated if it ends within an event or before one that it must have.
func (s *eventStream) copy() error {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := s.response.Read(buffer)
		s.endSilence()
		if n > 0 {
			s.task.lastReceived = time.Now()
			s.placement.RecordAnswer(s.task.lastReceived)
		}
		if s.task.next != nil {
			return errSuperseded
		}
		s.pending = append(s.pending, buffer[:n]...)
		if err == nil && s.response.Buffered() && len(s.pending) < streamBufferBytes {
			continue
		}
		writeErr := s.writeEvents()
		switch {
		case writeErr != nil:
			return writeErr
		case s.unusable != nil:
			return s.unusable
		case len(s.pending) > maxEventBytes || s.hasTooManyEvents():
			return upstream.ErrTooLarge
		case err == nil:
		case !errors.Is(err, io.EOF):
			return err
		default:
			return s.end()
		}
	}
}

// end checks the end of the body, and records the progress of a complete stream.
func (s *eventStream) end() error {
	err := s.task.checkEnd(s.ctx, s.response)
	switch {
	case err != nil:
		return err
	case len(s.pending) > 0 || s.lacksEvent():
		return upstream.ErrTruncated
	}
	s.recordProgress()
	return nil
}

// lacksEvent reports whether the stream can't be taken for complete: it has no event although
// only the end of the connection ends it, or it does not go on with the stream of an earlier
// attempt. Nothing tells an empty rest from a response that failed, and a caller that comes
// again gets the end.
func (s *eventStream) lacksEvent() bool {
	goesOn := s.task.lastEventID != ""
	return goesOn && s.awaitsID || s.events == 0 && s.response.EndsWithConnection()
}

// hasTooManyEvents reports whether the stream has more events than the request may
// generate tokens, each of which fills an event at least in part.
func (s *eventStream) hasTooManyEvents() bool {
	prompt := s.task.request.Prompt
	return prompt != nil && s.task.events > prompt.Output+extraEvents
}

// recordProgress records once that the answer has gone on beyond its begin.
func (s *eventStream) recordProgress() {
	if !s.progressed {
		s.progressed = true
		s.task.recordProgress()
	}
}

// seekSuccessor seeks a server that resumes the stream, and ends the reading once there
// is one. A read may be silent several times.
func (s *eventStream) seekSuccessor() {
	if s.successor == nil {
		s.successor = s.task.seekSuccessor(s.ctx, silenceConfirmation, s.task.startedAttempts, s.response.Interrupt)
	}
}

// endSilence ends the search for a successor. One that was found takes over, because
// the reading has been ended for it.
func (s *eventStream) endSilence() {
	if s.successor == nil {
		return
	}
	if s.successor.stop() {
		s.task.next = s.successor
	} else {
		s.task.reportSilence(s.successor.obstacle)
	}
	s.successor = nil
}

// writeEvents writes the complete pending events to the caller and flushes them.
func (s *eventStream) writeEvents() error {
	end := s.countEvents()
	if end == 0 {
		return nil
	}
	if !s.placement.Peer {
		s.task.recordVersion(s.placement.Version)
	}
	if s.events >= eventsOfProgress {
		s.recordProgress()
	}
	if !s.task.responseStarted && s.task.request.LastEventID == "" {
		s.placement.RecordFirstEvent(time.Now())
	}
	s.task.startStream(s.response)
	s.task.responseBytes += int64(end)
	writeStart := time.Now()
	_, err := s.task.w.Write(s.pending[:end])
	if err == nil {
		err = s.controller.Flush()
	}
	s.task.recordWrite(writeStart)
	if err != nil {
		return errCallerWrite
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// countEvents counts the complete pending events, records the id of the last one
// and returns their total length in bytes. It stops at what can't follow them.
func (s *eventStream) countEvents() int {
	t := s.task
	end := 0
	for {
		length := eventLength(s.pending[end:], s.searched)
		if length == 0 {
			s.searched = len(s.pending) - end
			return end
		}
		s.searched = 0
		event := s.pending[end : end+length]
		id := t.server.Translator.EventID(event)
		fields := fieldsOf(event)
		s.unusable = s.check(fields, id)
		if s.unusable != nil {
			return end
		}
		if id != "" {
			t.lastEventID = id
			s.awaitsID = false
		}
		isData := fields.data || fields.malformed || t.format.mediaType != eventStreamType
		t.lastDataLacksID = id == "" && (isData || t.lastDataLacksID)
		t.events++
		s.events++
		end += length
	}
}

// check returns why an event can't follow those that the caller has, or nil. The first event
// of a stream is not checked. The data of a resumed stream goes on with an event that has an
// id, like the one after which it was resumed.
func (s *eventStream) check(fields eventFields, id string) error {
	t := s.task
	if t.format.mediaType != eventStreamType {
		return nil
	}
	if (t.events > 0 || t.request.LastEventID != "") && (fields.malformed || s.awaitsID && id == "" && fields.data) {
		return errNoEvent
	}
	last := t.resumptionID()
	if last != "" && id != "" && !t.server.Translator.MayFollow(last, id) {
		return errors.Newf("event %s after event %s: %w", id, last, errOutOfOrder)
	}
	return nil
}

// eventLength returns the length of the first complete event in bytes, or 0 if
// there is none. An empty line ends an event. No event ends within the first searched
// bytes.
func eventLength(data []byte, searched int) int {
	for i := max(1, searched); i < len(data); i++ {
		if data[i] != '\n' {
			continue
		}
		if data[i-1] == '\n' {
			return i + 1
		}
		if i >= 3 && data[i-1] == '\r' && data[i-2] == '\n' && data[i-3] == '\r' {
			return i + 1
		}
	}
	return 0
}
