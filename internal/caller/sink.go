package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/ledger"
)

// sink writes an answer to the caller, streamed or whole.
type sink struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	streamed bool
	// events counts the chunks taken in, seen those of this connection.
	events     int
	connEvents int
	// replayOffset is where the text of the next chunk is expected.
	replayOffset int
	// firstAt and latest are when the firstAt and the latest chunk came.
	firstAt      time.Time
	latestAt     time.Time
	tokens       int64
	usage        *backend.Usage
	lastChunk    backend.Chunk
	finishReason string
	text         strings.Builder
	transcript   bytes.Buffer
	writeFailed  bool
}

func newSink(w http.ResponseWriter, streamed bool) *sink {
	return &sink{w: w, flusher: http.NewResponseController(w), streamed: streamed}
}

// add takes one chunk in, or compares it with what an earlier connection
// brought. A caller that left is no error: the request still runs to its end,
// so that its answer is there for a retry.
func (s *sink) add(event backend.Event) error {
	s.connEvents++
	if s.connEvents <= s.events {
		return s.compareReplay(event)
	}
	s.events++
	s.latestAt = time.Now()
	if s.events == 1 {
		s.firstAt = s.latestAt
	}
	s.lastChunk = event.Chunk
	if event.Chunk.Usage != nil {
		s.usage = event.Chunk.Usage
	}
	for _, choice := range event.Chunk.Choices {
		if choice.Delta.Content != "" {
			s.tokens++
		}
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			s.finishReason = *choice.FinishReason
		}
	}
	s.replayOffset = s.text.Len()
	if s.streamed {
		s.startStream()
		s.writeEvent(event.Data)
	}
	return nil
}

// rewind prepares for an answer that is streamed again from its start.
func (s *sink) rewind() {
	s.connEvents = 0
	s.replayOffset = 0
}

// restartable tells whether the caller has nothing of the answer yet.
func (s *sink) restartable() bool {
	return !s.streamed || s.events == 0
}

// reset forgets an answer of which the caller has nothing.
func (s *sink) reset() {
	*s = *newSink(s.w, s.streamed)
}

// compareReplay checks that a chunk says again what was sent at its place.
func (s *sink) compareReplay(event backend.Event) error {
	for _, choice := range event.Chunk.Choices {
		rest := s.text.String()[s.replayOffset:]
		if !strings.HasPrefix(rest, choice.Delta.Content) {
			return errors.Newf("%w: at chunk %d", backend.ErrMismatch, s.connEvents)
		}
		s.replayOffset += len(choice.Delta.Content)
	}
	return nil
}

// checkComplete tells whether the chunks can be the answer that the engine counted.
func (s *sink) checkComplete() error {
	if s.connEvents < s.events {
		return errors.Newf("%w: it is shorter", backend.ErrMismatch)
	}
	if s.usage != nil && s.tokens > s.usage.CompletionTokens {
		return errors.Newf("%w: %d chunks of %d tokens", errDuplicated, s.tokens, s.usage.CompletionTokens)
	}
	return nil
}

// interTokenTime returns the mean time between tokens.
func (s *sink) interTokenTime() time.Duration {
	if s.tokens < 2 {
		return 0
	}
	return s.latestAt.Sub(s.firstAt) / time.Duration(s.tokens-1)
}

func (s *sink) startStream() {
	if s.events > 1 {
		return
	}
	s.w.Header().Set("Content-Type", streamContentType)
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) writeEvent(data []byte) {
	if s.transcript.Len() <= maxStoredResponseBytes {
		s.transcript.WriteString("data: ")
		s.transcript.Write(data)
		s.transcript.WriteString("\n\n")
	}
	if s.writeFailed {
		return
	}
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := s.w.Write(line)
	if err == nil {
		err = s.flusher.Flush()
	}
	s.writeFailed = err != nil
}

// billableTokens returns the tokens to bill: the engine's count, or the worst case
// when it gave none.
func (s *sink) billableTokens(worstCase int64) int64 {
	if s.usage == nil {
		return worstCase
	}
	return s.usage.PromptTokens + s.usage.CompletionTokens
}

// response returns the whole response in the form that the caller asked for.
func (s *sink) response(model string) ledger.Answer {
	if s.streamed {
		body := append(bytes.Clone(s.transcript.Bytes()), "data: [DONE]\n\n"...)
		return ledger.Answer{Status: http.StatusOK, ContentType: streamContentType, Body: body}
	}
	body, err := json.Marshal(completion{
		ID:      s.lastChunk.ID,
		Object:  "chat.completion",
		Created: s.lastChunk.Created,
		Model:   model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: s.text.String()},
			FinishReason: s.finishReason,
		}},
		Usage: s.usage,
	})
	if err != nil {
		return ledger.Answer{}
	}
	return ledger.Answer{Status: http.StatusOK, ContentType: jsonContentType, Body: body}
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *backend.Usage     `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// finish sends the end of the answer.
func (s *sink) finish(response ledger.Answer) {
	if !s.streamed {
		writeResponse(s.w, response)
		return
	}
	if s.writeFailed {
		return
	}
	_, _ = io.WriteString(s.w, "data: [DONE]\n\n")
	_ = s.flusher.Flush()
}

// fail ends the answer with an explicit error and never with the end mark.
func (s *sink) fail(refusal *Refusal) {
	if s.restartable() {
		refusal.write(s.w)
	} else if !s.writeFailed {
		_, _ = io.WriteString(s.w, errorEvent(refusal))
	}
	_ = s.flusher.Flush()
}

// partialResponse returns what a retry gets of an answer that broke off for good: what
// there is, ended by an explicit error.
func (s *sink) partialResponse(refusal *Refusal) ledger.Answer {
	if s.restartable() {
		return ledger.Answer{Status: refusal.Status, ContentType: jsonContentType, Body: refusal.body()}
	}
	body := append(bytes.Clone(s.transcript.Bytes()), errorEvent(refusal)...)
	return ledger.Answer{Status: http.StatusOK, ContentType: streamContentType, Body: body}
}

func errorEvent(refusal *Refusal) string {
	return "event: error\ndata: " + string(refusal.body()) + "\n\n"
}
