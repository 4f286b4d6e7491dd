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
	events int
	seen   int
	// offset is where the text of the next chunk is expected.
	offset int
	// first and latest are when the first and the latest chunk came.
	first  time.Time
	latest time.Time
	tokens int64
	usage  *backend.Usage
	last   backend.Chunk
	reason string
	text   strings.Builder
	kept   bytes.Buffer
	broken bool
}

func newSink(w http.ResponseWriter, streamed bool) *sink {
	return &sink{w: w, flusher: http.NewResponseController(w), streamed: streamed}
}

// add takes one chunk in, or compares it with what an earlier connection
// brought. A caller that left is no error: the request still runs to its end,
// so that its answer is there for a retry.
func (s *sink) add(event backend.Event) error {
	s.seen++
	if s.seen <= s.events {
		return s.compare(event)
	}
	s.events++
	s.latest = time.Now()
	if s.events == 1 {
		s.first = s.latest
	}
	s.last = event.Chunk
	if event.Chunk.Usage != nil {
		s.usage = event.Chunk.Usage
	}
	for _, choice := range event.Chunk.Choices {
		if choice.Delta.Content != "" {
			s.tokens++
		}
		s.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			s.reason = *choice.FinishReason
		}
	}
	s.offset = s.text.Len()
	if s.streamed {
		s.start()
		s.writeEvent(event.Data)
	}
	return nil
}

// rewind prepares for an answer that is streamed again from its start.
func (s *sink) rewind() {
	s.seen = 0
	s.offset = 0
}

// restartable tells whether the caller has nothing of the answer yet.
func (s *sink) restartable() bool {
	return !s.streamed || s.events == 0
}

// reset forgets an answer of which the caller has nothing.
func (s *sink) reset() {
	*s = *newSink(s.w, s.streamed)
}

// compare checks that a chunk says again what was sent at its place.
func (s *sink) compare(event backend.Event) error {
	for _, choice := range event.Chunk.Choices {
		rest := s.text.String()[s.offset:]
		if !strings.HasPrefix(rest, choice.Delta.Content) {
			return errors.Newf("%w: at chunk %d", backend.ErrMismatch, s.seen)
		}
		s.offset += len(choice.Delta.Content)
	}
	return nil
}

// check tells whether the chunks can be the answer that the engine counted.
func (s *sink) check() error {
	if s.seen < s.events {
		return errors.Newf("%w: it is shorter", backend.ErrMismatch)
	}
	if s.usage != nil && s.tokens > s.usage.CompletionTokens {
		return errors.Newf("%w: %d chunks of %d tokens", errDuplicated, s.tokens, s.usage.CompletionTokens)
	}
	return nil
}

// gap returns the mean time between tokens.
func (s *sink) gap() time.Duration {
	if s.tokens < 2 {
		return 0
	}
	return s.latest.Sub(s.first) / time.Duration(s.tokens-1)
}

func (s *sink) start() {
	if s.events > 1 {
		return
	}
	s.w.Header().Set("Content-Type", streamContentType)
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *sink) writeEvent(data []byte) {
	if s.kept.Len() <= maxKeptAnswerBytes {
		s.kept.WriteString("data: ")
		s.kept.Write(data)
		s.kept.WriteString("\n\n")
	}
	if s.broken {
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
	s.broken = err != nil
}

// billable returns the tokens to bill: the engine's count, or the worst case
// when it gave none.
func (s *sink) billable(worstCase int64) int64 {
	if s.usage == nil {
		return worstCase
	}
	return s.usage.PromptTokens + s.usage.CompletionTokens
}

// answer returns the whole answer in the form that the caller asked for.
func (s *sink) answer(model string) ledger.Response {
	if s.streamed {
		body := append(bytes.Clone(s.kept.Bytes()), "data: [DONE]\n\n"...)
		return ledger.Response{Status: http.StatusOK, ContentType: streamContentType, Body: body}
	}
	body, err := json.Marshal(completion{
		ID:      s.last.ID,
		Object:  "chat.completion",
		Created: s.last.Created,
		Model:   model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: s.text.String()},
			FinishReason: s.reason,
		}},
		Usage: s.usage,
	})
	if err != nil {
		return ledger.Response{}
	}
	return ledger.Response{Status: http.StatusOK, ContentType: jsonContentType, Body: body}
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
func (s *sink) finish(answer ledger.Response) {
	if !s.streamed {
		writeAnswer(s.w, answer)
		return
	}
	if s.broken {
		return
	}
	_, _ = io.WriteString(s.w, "data: [DONE]\n\n")
	_ = s.flusher.Flush()
}

// fail ends the answer with an explicit error and never with the end mark.
func (s *sink) fail(refusal *Refusal) {
	if s.restartable() {
		refusal.write(s.w)
	} else if !s.broken {
		_, _ = io.WriteString(s.w, errorEvent(refusal))
	}
	_ = s.flusher.Flush()
}

// partial returns what a retry gets of an answer that broke off for good: what
// there is, ended by an explicit error.
func (s *sink) partial(refusal *Refusal) ledger.Response {
	if s.restartable() {
		return ledger.Response{Status: refusal.Status, ContentType: jsonContentType, Body: refusal.body()}
	}
	body := append(bytes.Clone(s.kept.Bytes()), errorEvent(refusal)...)
	return ledger.Response{Status: http.StatusOK, ContentType: streamContentType, Body: body}
}

func errorEvent(refusal *Refusal) string {
	return "event: error\ndata: " + string(refusal.body()) + "\n\n"
}
