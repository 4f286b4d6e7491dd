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

// sink collects a response and writes it to the caller, as a stream or as a whole.
type sink struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	streamed bool
	// events counts the chunks accepted so far, connEvents those that arrived over
	// the current connection.
	events     int
	connEvents int
	// replayOffset is the byte offset in text at which the next chunk of a resumed
	// stream is compared.
	replayOffset int
	// firstAt and latestAt are when the first and the latest chunk arrived.
	firstAt  time.Time
	latestAt time.Time
	// tokens is a lower bound on the generated tokens: one for each choice with
	// text. usage is the engine's count, or nil.
	tokens       int64
	usage        *backend.Usage
	lastChunk    backend.Chunk
	finishReason string
	// text is the text of the chunks accepted so far.
	text strings.Builder
	// transcript holds the events of a streamed response as the caller receives
	// them, to be stored for retries.
	transcript bytes.Buffer
	// writeFailed is set once a write to the caller has failed.
	writeFailed bool
}

// newSink returns an empty sink that writes to w, as a stream if streamed is set.
func newSink(w http.ResponseWriter, streamed bool) *sink {
	return &sink{w: w, flusher: http.NewResponseController(w), streamed: streamed}
}

// add accepts a new chunk, or compares a repeated one with the text that an
// earlier connection delivered. A caller that disconnected is no error: the
// request runs to its end, so that the response can be stored for a retry.
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

// rewind prepares for a connection that streams the response from its start.
func (s *sink) rewind() {
	s.connEvents = 0
	s.replayOffset = 0
}

// restartable reports whether nothing of the response was sent to the caller.
func (s *sink) restartable() bool {
	return !s.streamed || s.events == 0
}

// reset discards the response; nothing of it may have been sent to the caller.
func (s *sink) reset() {
	*s = *newSink(s.w, s.streamed)
}

// compareReplay checks that a repeated chunk matches the text at its offset.
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

// checkComplete returns an error if a resumed stream was shorter than the one
// before, or if there are more chunks than the engine counted tokens.
func (s *sink) checkComplete() error {
	if s.connEvents < s.events {
		return errors.Newf("%w: resumed response is shorter", backend.ErrMismatch)
	}
	if s.usage != nil && s.tokens > s.usage.CompletionTokens {
		return errors.Newf("%w: %d chunks for %d tokens", errDuplicated, s.tokens, s.usage.CompletionTokens)
	}
	return nil
}

// interTokenTime returns the mean time between tokens, or 0 for fewer than two.
func (s *sink) interTokenTime() time.Duration {
	if s.tokens < 2 {
		return 0
	}
	return s.latestAt.Sub(s.firstAt) / time.Duration(s.tokens-1)
}

// startStream sends the header before the first event.
func (s *sink) startStream() {
	if s.events > 1 {
		return
	}
	s.w.Header().Set("Content-Type", streamContentType)
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// writeEvent sends one event to the caller and records it for retries.
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

// billableTokens returns the engine's token count, or worstCase if the engine sent
// none.
func (s *sink) billableTokens(worstCase int64) int64 {
	if s.usage == nil {
		return worstCase
	}
	return s.usage.PromptTokens + s.usage.CompletionTokens
}

// response returns the complete response in the format that the caller requested.
func (s *sink) response(model string) ledger.Response {
	if s.streamed {
		body := append(bytes.Clone(s.transcript.Bytes()), "data: [DONE]\n\n"...)
		return ledger.Response{Status: http.StatusOK, ContentType: streamContentType, Body: body}
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
		return ledger.Response{}
	}
	return ledger.Response{Status: http.StatusOK, ContentType: jsonContentType, Body: body}
}

// completion is a complete chat-completions response in the OpenAI format.
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

// finish sends the [DONE] marker of a stream, or the whole response.
func (s *sink) finish(response ledger.Response) {
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

// fail ends the response with an explicit error and without the [DONE] marker.
func (s *sink) fail(refusal *Refusal) {
	if s.restartable() {
		refusal.write(s.w)
	} else if !s.writeFailed {
		_, _ = io.WriteString(s.w, errorEvent(refusal))
	}
	_ = s.flusher.Flush()
}

// partialResponse returns the response that is stored for retries of an aborted
// request: the events sent so far and the refusal as an error event, or only the
// refusal if nothing was sent.
func (s *sink) partialResponse(refusal *Refusal) ledger.Response {
	if s.restartable() {
		return ledger.Response{Status: refusal.Status, ContentType: jsonContentType, Body: refusal.body()}
	}
	body := append(bytes.Clone(s.transcript.Bytes()), errorEvent(refusal)...)
	return ledger.Response{Status: http.StatusOK, ContentType: streamContentType, Body: body}
}

// errorEvent returns the refusal as an event of a stream.
func errorEvent(refusal *Refusal) string {
	return "event: error\ndata: " + string(refusal.body()) + "\n\n"
}
