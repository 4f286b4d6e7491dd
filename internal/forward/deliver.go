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
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// StripConnection removes the headers that concern one connection, those that
// Connection names included.
func StripConnection(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}

// deliver passes a server's answer on, or decides on another attempt.
func (t *task) deliver(ctx context.Context, placement *place.Placement, response *upstream.Response, verdict Verdict) (refused *refusal, again bool) {
	failed := response.Status >= http.StatusInternalServerError
	if !verdict.Genuine {
		response.Abandon()
		placement.Done(place.Failed{}, time.Now())
		refused, again = t.repeatOr(ctx, unclear(reasonBadAnswer))
		t.reportAttempt(placement, "not_genuine", "the answer lacks the server's signature", again)
		return refused, again
	}
	if failed && ctx.Err() == nil && t.mayRepeatNow() {
		t.drop(response)
		placement.Done(place.Failed{}, time.Now())
		t.reportAttempt(placement, "failed", http.StatusText(response.Status), true)
		return nil, true
	}
	if t.route.Repetition == config.RepeatStream && response.Status == http.StatusOK {
		return t.stream(ctx, placement, response)
	}
	return t.whole(ctx, placement, response, failed)
}

// whole reads an answer to its end before any of it is passed on, so that one
// that breaks off can be asked for again.
func (t *task) whole(ctx context.Context, placement *place.Placement, response *upstream.Response, failed bool) (refused *refusal, again bool) {
	body, err := response.ReadAll()
	if err != nil {
		response.Abandon()
		if t.parent.Err() != nil {
			placement.Done(place.Abandoned{}, time.Now())
			return &refusal{reason: reasonCallerLeft}, false
		}
		placement.Done(place.Failed{}, time.Now())
		refused, again = t.repeatOr(ctx, unclear(reasonBadAnswer))
		t.reportAttempt(placement, "broken_answer", err.Error(), again)
		return refused, again
	}
	response.Finish()
	var outcome place.Outcome = place.Served{}
	if failed {
		outcome = place.Failed{}
	}
	placement.Done(outcome, time.Now())
	if t.begun {
		return &refusal{reason: reasonBrokenStream}, false
	}
	t.complete = true
	t.begin(response)
	if t.request.Method != http.MethodHead {
		t.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.w.WriteHeader(response.Status)
	t.answerBytes = int64(len(body))
	_, err = t.w.Write(body)
	if err != nil {
		return &refusal{reason: reasonCallerLeft}, false
	}
	return nil, false
}

// begin copies the header of the answer that goes to the caller.
func (t *task) begin(response *upstream.Response) {
	t.begun = true
	t.status = response.Status
	t.firstByte = time.Since(t.start)
	StripConnection(response.Header)
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
func (t *task) stream(ctx context.Context, placement *place.Placement, response *upstream.Response) (refused *refusal, again bool) {
	if !t.begun {
		t.begin(response)
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
		t.complete = true
		response.Finish()
		placement.Done(place.Served{}, now)
		return nil, false
	case t.parent.Err() != nil || errors.Is(err, errCallerWrite):
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
	refused, again = t.repeatOr(ctx, &refusal{reason: reasonBrokenStream})
	t.reportAttempt(placement, "broken_stream", err.Error(), again)
	return refused, again
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

const streamBuffer = 4 << 10

// copy passes events on until the stream ends; nil means that it is complete.
func (s *eventStream) copy() error {
	buffer := make([]byte, streamBuffer)
	for {
		s.limitGap()
		n, err := s.response.Read(buffer)
		s.pending = append(s.pending, buffer[:n]...)
		if err == nil && s.response.Buffered() && len(s.pending) < streamBuffer {
			continue
		}
		written := s.pass()
		switch {
		case written != nil:
			return written
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
func (s *eventStream) limitGap() {
	t := s.task
	if !t.hasAttemptAfter(t.sends) {
		return
	}
	until := time.Now().Add(gapLimit)
	if until.Before(t.deadline) {
		s.response.SetReadDeadline(until)
	}
}

// pass writes the whole events that are pending.
func (s *eventStream) pass() error {
	end := s.take()
	if end == 0 {
		return nil
	}
	s.task.answerBytes += int64(end)
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
func (s *eventStream) take() int {
	t := s.task
	end := 0
	for {
		length := eventLength(s.pending[end:])
		if length == 0 {
			return end
		}
		id := t.server.Translator.EventID(s.pending[end : end+length])
		if id != "" {
			t.lastEvent = id
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
