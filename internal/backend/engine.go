package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	maxEventBytes = 1 << 20
	// drainTimeout bounds the wait for the end of a response after its last event,
	// which leaves the connection reusable.
	drainTimeout   = 20 * time.Millisecond
	eventPrefix    = "data: "
	doneMarker     = "[DONE]"
	chatPath       = "/v1/chat/completions"
	streamsPath    = "/v1/streams/"
	priorityHeader = "X-Priority"
)

// Chat is a chat-completions request to one engine.
type Chat struct {
	// Address is the engine's host and port.
	Address string
	// Attempt is the attempt's id.
	Attempt  string
	Priority string
	// Body is in the chat-completions format with "stream" set to true.
	Body []byte
	// Once is set for a request that must not run twice.
	Once bool
	// Again is set if the engine may have received the attempt before.
	Again bool
}

// Usage is an engine's token count of a response.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Event is one event of a streamed response.
type Event struct {
	// Data is the chunk in JSON as the engine sent it.
	Data  []byte
	Chunk Chunk
}

// Chunk holds the fields of a chat-completions chunk that the entry reads.
type Chunk struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Created int64    `json:"created"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative completion in a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk appends to the message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// StatusError is a backend server's response with an error status.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return "backend server returned status " + http.StatusText(e.Status)
}

// NotRun reports whether the status means that the request did not run: any status
// below 500, or 503.
func (e *StatusError) NotRun() bool {
	return e.Status < http.StatusInternalServerError || e.Status == http.StatusServiceUnavailable
}

// Tokens returns a lower bound on the event's tokens: one for each choice with
// text.
func (e Event) Tokens() int64 {
	return e.Chunk.tokens()
}

// Stream reads a streamed response. Close it after use.
type Stream struct {
	response *upstream.Response
	scanner  *bufio.Scanner
	cancel   context.CancelFunc
	watch    *watchdog
	attempt  string
	tokens   int64
	ended    bool
}

// Open dispatches chat and returns the stream of its response. Errors satisfy
// upstream.IsNotSent, wrap ErrUnclear or upstream.ErrResponseMismatch, or are a
// *StatusError.
func (c *Client) Open(ctx context.Context, chat Chat) (*Stream, error) {
	leavingErr := c.checkLeaving(chat.Address)
	if leavingErr != nil {
		return nil, leavingErr
	}
	header := make(http.Header)
	header.Set("Content-Type", "application/json")
	header.Set(priorityHeader, chat.Priority)
	request := &upstream.Request{Method: http.MethodPost, Target: chatPath, Header: header, Body: upstream.NewBody(chat.Body), Once: chat.Once, Again: chat.Again}
	return c.stream(ctx, request, chat)
}

// Resume streams the response of a dispatched attempt again from its start. Errors
// are those of Open.
func (c *Client) Resume(ctx context.Context, chat Chat) (*Stream, error) {
	return c.stream(ctx, &upstream.Request{Method: http.MethodGet, Target: streamsPath + chat.Attempt, Again: true}, chat)
}

// stream sends request for the attempt of chat and returns the stream of its
// response, with a watchdog.
func (c *Client) stream(ctx context.Context, request *upstream.Request, chat Chat) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := c.watch(ctx, chat, cancel)
	response, err := c.send(ctx, chat.Address, request, chat.Attempt)
	if err != nil {
		watch.stop()
		cancel()
		return nil, err
	}
	if response.Status != http.StatusOK {
		defer cancel()
		watch.stop()
		return nil, readStatusError(response)
	}
	scanner := bufio.NewScanner(response)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{response: response, scanner: scanner, cancel: cancel, watch: watch, attempt: chat.Attempt}, nil
}

// readStatusError returns the StatusError for a response with an error status.
func readStatusError(response *upstream.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response, maxReportBytes))
	response.Finish()
	return &StatusError{Status: response.Status, Body: body}
}

// Next returns the next event, io.EOF after the [DONE] marker, or an error that wraps
// upstream.ErrTruncated or upstream.ErrResponseMismatch. The event's Data is valid
// until the next call.
func (s *Stream) Next() (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	s.watch.beginWait()
	for s.scanner.Scan() {
		data, found := bytes.CutPrefix(s.scanner.Bytes(), []byte(eventPrefix))
		if !found {
			continue
		}
		if string(data) == doneMarker {
			s.ended = true
			return Event{}, io.EOF
		}
		return s.parse(data)
	}
	if s.scanner.Err() != nil {
		return Event{}, errors.Newf("read event: %w", errors.Mark(s.scanner.Err(), upstream.ErrTruncated))
	}
	return Event{}, upstream.ErrTruncated
}

// parse decodes the chunk of an event and checks that it belongs to the attempt.
func (s *Stream) parse(data []byte) (Event, error) {
	event := Event{Data: data}
	err := json.Unmarshal(data, &event.Chunk)
	if err != nil {
		return Event{}, errors.Newf("chunk is not valid JSON: %w", errors.Mark(err, upstream.ErrTruncated))
	}
	if !strings.HasSuffix(event.Chunk.ID, s.attempt) {
		return Event{}, errors.Newf("received chunk %q for attempt %q: %w", event.Chunk.ID, s.attempt, upstream.ErrResponseMismatch)
	}
	s.tokens += event.Chunk.tokens()
	s.watch.progress(s.tokens)
	return event, nil
}

// tokens returns a lower bound on the chunk's tokens: one for each choice with
// text.
func (c Chunk) tokens() int64 {
	var total int64
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			total++
		}
	}
	return total
}

// Close closes the stream. An engine may cancel an attempt whose stream is closed
// before its end.
func (s *Stream) Close() {
	s.watch.stop()
	if s.ended {
		s.response.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.Copy(io.Discard, s.response)
	}
	s.response.Finish()
	s.cancel()
}
