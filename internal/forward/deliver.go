package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// connectionHeaders concern one connection and are not passed on.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// StripConnection removes the headers that concern one connection, those that
// Connection names included.
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

// deliver passes a server's answer on, or decides on another attempt.
func (t *task) deliver(ctx context.Context, placement *place.Placement, response *upstream.Response, info ResponseInfo) (refused *refusal, shouldRetry bool) {
	failed := response.Status >= http.StatusInternalServerError
	if !info.Genuine {
		response.Abandon()
		placement.Done(place.Failed{}, time.Now())
		refused, shouldRetry = t.retryOr(ctx, badGateway(reasonBadAnswer))
		t.reportFailedAttempt(placement, "not_genuine", "the answer lacks the server's signature", shouldRetry)
		return refused, shouldRetry
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

// whole reads an answer to its end before any of it is passed on, so that one
// that breaks off can be asked for again.
func (t *task) deliverWhole(ctx context.Context, placement *place.Placement, response *upstream.Response, failed bool) (refused *refusal, shouldRetry bool) {
	body, err := response.ReadAll()
	if err != nil {
		response.Abandon()
		if t.callerCtx.Err() != nil {
			placement.Done(place.Abandoned{}, time.Now())
			return &refusal{reason: reasonCallerLeft}, false
		}
		placement.Done(place.Failed{}, time.Now())
		refused, shouldRetry = t.retryOr(ctx, badGateway(reasonBadAnswer))
		t.reportFailedAttempt(placement, "broken_answer", err.Error(), shouldRetry)
		return refused, shouldRetry
	}
	response.Finish()
	var outcome place.Outcome = place.Served{}
	if failed {
		outcome = place.Failed{}
	}
	placement.Done(outcome, time.Now())
	if t.responseStarted {
		return &refusal{reason: reasonBrokenStream}, false
	}
	t.responseComplete = true
	t.startResponse(response)
	if t.request.Method != http.MethodHead {
		t.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.w.WriteHeader(response.Status)
	t.responseBytes = int64(len(body))
	_, err = t.w.Write(body)
	if err != nil {
		return &refusal{reason: reasonCallerLeft}, false
	}
	return nil, false
}

// begin copies the header of the answer that goes to the caller.
func (t *task) startResponse(response *upstream.Response) {
	t.responseStarted = true
	t.status = response.Status
	t.timeToFirstByte = time.Since(t.start)
	StripHopByHopHeaders(response.Header)
	header := t.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	// A type that is set to nothing keeps net/http from guessing one.
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
}

// stream passes whole events on as they arrive.
func (t *task) deliverStream(ctx context.Context, placement *place.Placement, response *upstream.Response) (refused *refusal, shouldRetry bool) {
	if !t.responseStarted {
		t.startResponse(response)
		t.w.Header().Del("Content-Length")
		t.w.WriteHeader(response.Status)
	}
	s := &eventStream{task: t, response: response, controller: http.NewResponseController(t.w)}
	stop := context.AfterFunc(ctx, response.Abandon)
	err := s.copy()
	stop()
	now := time.Now()
	switch {
	case err == nil:
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
		return &refusal{reason: reasonTimeout}, false
	}
	response.Abandon()
	placement.Done(place.Failed{}, now)
	refused, shouldRetry = t.retryOr(ctx, &refusal{reason: reasonBrokenStream})
	t.reportFailedAttempt(placement, "broken_stream", err.Error(), shouldRetry)
	return refused, shouldRetry
}

// errCallerWrite reports that the caller takes no more.
var errCallerWrite = errors.New("the caller's connection broke")

// eventStream copies one run of a stream.
type eventStream struct {
	task       *task
	response   *upstream.Response
	controller *http.ResponseController
	// pending is the part of an event whose end has not arrived.
	pending []byte
}

const streamBufferBytes = 4 << 10

// copy passes events on until the stream ends; nil means that it is complete.
func (s *eventStream) copy() error {
	buffer := make([]byte, streamBufferBytes)
	for {
		s.setIdleDeadline()
		n, err := s.response.Read(buffer)
		s.pending = append(s.pending, buffer[:n]...)
		if err == nil && s.response.Buffered() && len(s.pending) < streamBufferBytes {
			continue
		}
		writeErr := s.writeEvents()
		switch {
		case writeErr != nil:
			return writeErr
		case err == nil:
		case !errors.Is(err, io.EOF):
			return err
		case len(s.pending) > 0:
			return upstream.ErrEarlyEnd
		default:
			return nil
		}
	}
}

// limitGap bounds the silence of a stream that can go on elsewhere.
func (s *eventStream) setIdleDeadline() {
	t := s.task
	if !t.allowsAttemptAfter(t.startedAttempts) {
		return
	}
	idleDeadline := time.Now().Add(streamIdleTimeout)
	if idleDeadline.Before(t.deadline) {
		s.response.SetReadDeadline(idleDeadline)
	}
}

// pass writes the whole events that are pending.
func (s *eventStream) writeEvents() error {
	end := s.countEvents()
	if end == 0 {
		return nil
	}
	s.task.responseBytes += int64(end)
	_, err := s.task.w.Write(s.pending[:end])
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		return errCallerWrite
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return nil
}

// take counts the whole events that are pending and returns their length.
func (s *eventStream) countEvents() int {
	t := s.task
	end := 0
	for {
		length := eventLength(s.pending[end:])
		if length == 0 {
			return end
		}
		id := t.server.Translator.EventID(s.pending[end : end+length])
		if id != "" {
			t.lastEventID = id
		}
		t.events++
		end += length
	}
}

// eventLength returns the length of the first whole event, or 0.
func eventLength(data []byte) int {
	for i := 1; i < len(data); i++ {
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
