package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	maxEventBytes  = 1 << 20
	maxErrorBytes  = 64 << 10
	eventPrefix    = "data: "
	endMark        = "[DONE]"
	chatPath       = "/v1/chat/completions"
	priorityHeader = "X-Priority"
)

// Chat is a request for generated tokens, sent to one engine.
type Chat struct {
	Address  string
	Attempt  string
	Priority string
	// Body is in the chat-completions format with "stream" set to true.
	Body []byte
}

// Usage counts an answer's tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Event is one chunk of a streamed answer.
type Event struct {
	// Data is the chunk as the engine sent it.
	Data  []byte
	Chunk Chunk
}

// Chunk is the part of a chunk that the entry reads.
type Chunk struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Created int64    `json:"created"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is what a chunk adds to a message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// StatusError is an engine's refusal.
type StatusError struct {
	Status int
	Body   []byte
}

// Error names the status.
func (e *StatusError) Error() string {
	return "the backend server answered " + http.StatusText(e.Status)
}

// Stream is a streamed answer in progress.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
	ended   bool
}

// Open dispatches chat. Errors wrap ErrNotSent, ErrUnclear, ErrCrossed or are
// a *StatusError, after which the engine has not run the request.
func (c *Client) Open(ctx context.Context, chat Chat) (*Stream, error) {
	departed := c.checkDeparture(chat.Address)
	if departed != nil {
		return nil, departed
	}
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+chat.Address+chatPath, bytes.NewReader(chat.Body))
	if err != nil {
		cancel()
		return nil, errors.Newf("%w: %w", ErrNotSent, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(priorityHeader, chat.Priority)
	response, err := c.send(ctx, request, chat.Attempt)
	if err != nil {
		cancel()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, readStatusError(response)
	}
	body := newIdleReader(response.Body, cancel)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{body: body, scanner: scanner, cancel: cancel}, nil
}

func readStatusError(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	return &StatusError{Status: response.StatusCode, Body: body}
}

// Next returns the next chunk, io.EOF after the end mark, or an error that
// wraps ErrTruncated. The event's data is valid until the next call.
func (s *Stream) Next() (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	for s.scanner.Scan() {
		data, found := bytes.CutPrefix(s.scanner.Bytes(), []byte(eventPrefix))
		if !found {
			continue
		}
		if string(data) == endMark {
			s.ended = true
			return Event{}, io.EOF
		}
		event := Event{Data: data}
		err := json.Unmarshal(data, &event.Chunk)
		if err != nil {
			return Event{}, errors.Newf("%w: chunk is not valid JSON: %w", ErrTruncated, err)
		}
		return event, nil
	}
	if s.scanner.Err() != nil {
		return Event{}, errors.Newf("%w: %w", ErrTruncated, s.scanner.Err())
	}
	return Event{}, ErrTruncated
}

// Close ends the stream; one that has not ended is cancelled at the engine.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}
