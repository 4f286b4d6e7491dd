package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/ledger"
)

// messageOverheadTokens bounds what an engine's template adds to a message.
const messageOverheadTokens = 16

const (
	streamContentType = "text/event-stream"
	jsonContentType   = "application/json"
)

// chatRequest is the part of a chat-completions request that the entry reads.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	N                   *int64            `json:"n"`
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	ctx, end := s.begin(r, "chat")
	defer end()
	a, refusal := s.accept(w, r)
	if refusal != nil {
		refusal.write(w)
		return
	}
	chat, refusal := a.parseChat(r.Header)
	if refusal != nil {
		refusal.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.work.DeadlineOr())
	defer cancel()
	limit := chat.tokenLimit(a.work)
	run, kept, refusal := s.start(ctx, a, chat.promptBound()+limit)
	if refusal != nil {
		refusal.write(w)
		return
	}
	if kept != nil {
		replayAnswer(w, *kept)
		return
	}
	defer run.lease.Release()
	s.dispatchChat(ctx, w, run, chat, limit)
}

func (a *accepted) parseChat(header http.Header) (*chatRequest, *Refusal) {
	chat := &chatRequest{}
	err := json.Unmarshal(a.body, chat)
	if err != nil {
		return nil, notRun(http.StatusBadRequest, codeBadRequest, "the body is not a chat-completions request: "+err.Error(), 0)
	}
	if chat.Model == "" || len(chat.Messages) == 0 {
		return nil, notRun(http.StatusBadRequest, codeBadRequest, "model and messages are required", 0)
	}
	if chat.N != nil && *chat.N != 1 {
		return nil, notRun(http.StatusBadRequest, codeBadRequest, "n must be 1", 0)
	}
	if chat.requestedTokens() < 0 {
		return nil, notRun(http.StatusBadRequest, codeBadRequest, "max_tokens must be 1 or more", 0)
	}
	refusal := a.routeTo(chat.Model, config.KindModel, header)
	if refusal != nil {
		return nil, refusal
	}
	return chat, nil
}

// promptBound returns the most tokens that the prompt can have: a token is one
// byte or more, and a template adds a few to each message.
func (c *chatRequest) promptBound() int64 {
	var total int64
	for _, message := range c.Messages {
		total += int64(len(message)) + messageOverheadTokens
	}
	return total
}

func (c *chatRequest) requestedTokens() int64 {
	if c.MaxCompletionTokens != nil {
		return *c.MaxCompletionTokens
	}
	if c.MaxTokens != nil {
		return *c.MaxTokens
	}
	return 0
}

func (c *chatRequest) tokenLimit(work config.Work) int64 {
	limit := work.TokenLimit()
	requested := c.requestedTokens()
	if requested == 0 {
		return limit
	}
	return min(requested, limit)
}

// engineBody returns the caller's body with the work's model, the enforced
// limit and streaming, so that the entry sees every token.
func (a *accepted) engineBody(limit int64) ([]byte, error) {
	fields := make(map[string]any)
	decoder := json.NewDecoder(bytes.NewReader(a.body))
	decoder.UseNumber()
	err := decoder.Decode(&fields)
	if err != nil {
		return nil, errors.Newf("decode body: %w", err)
	}
	delete(fields, "max_completion_tokens")
	fields["model"] = a.work.Model
	fields["max_tokens"] = limit
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Newf("encode body: %w", err)
	}
	return body, nil
}

func (s *Server) dispatchChat(ctx context.Context, w http.ResponseWriter, run *run, chat *chatRequest, limit int64) {
	body, err := run.accepted.engineBody(limit)
	if err != nil {
		run.release(ctx)
		notRun(http.StatusBadRequest, codeBadRequest, "the body cannot be passed on", 0).write(w)
		return
	}
	dispatchCtx, span := run.span(ctx, "dispatch")
	defer span.End()
	run.dispatched = true
	stream, err := s.Backend.Open(dispatchCtx, backend.Chat{
		Address:  run.lease.Address,
		Attempt:  run.attempt,
		Priority: run.accepted.work.Priority,
		Body:     body,
	})
	if err != nil {
		run.refuseDispatch(ctx, err).write(w)
		return
	}
	defer stream.Close()
	sink := newSink(w, chat.Stream)
	err = copyStream(stream, sink, limit, func() { _, first := run.span(ctx, "first_token"); first.End() })
	run.finishChat(ctx, sink, err)
}

// copyStream passes chunks on until the end mark.
func copyStream(stream *backend.Stream, sink *sink, limit int64, first func()) error {
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if sink.events == 0 {
			first()
		}
		err = sink.add(event)
		if err != nil {
			return err
		}
		if sink.tokens > limit {
			return errors.Newf("%w: more tokens than the limit of %d", backend.ErrTruncated, limit)
		}
	}
}

// finishChat settles, and only then lets the answer look whole.
func (r *run) finishChat(ctx context.Context, sink *sink, err error) {
	if err != nil {
		r.server.Log.Warn("answer broke off", "server", r.lease.Name, "err", err)
		_ = r.settle(ctx, r.tokens, ledger.Answer{})
		sink.fail(unknownOutcome())
		return
	}
	answer := sink.answer(r.accepted.work.Model)
	err = r.settle(ctx, sink.billable(r.tokens), answer)
	if err != nil {
		sink.fail(unknownOutcome())
		return
	}
	sink.finish(answer)
}

// sink writes an answer to the caller, streamed or whole.
type sink struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	streamed bool
	events   int
	tokens   int64
	usage    *backend.Usage
	last     backend.Chunk
	reason   string
	text     strings.Builder
	kept     bytes.Buffer
	broken   bool
}

func newSink(w http.ResponseWriter, streamed bool) *sink {
	return &sink{w: w, flusher: http.NewResponseController(w), streamed: streamed}
}

// add takes one chunk in. A caller that left is no error: the request still
// runs to its end, so that its answer is there for a retry.
func (s *sink) add(event backend.Event) error {
	s.events++
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
	if !s.streamed {
		return nil
	}
	if s.events == 1 {
		s.w.Header().Set("Content-Type", streamContentType)
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	s.writeEvent(event.Data)
	return nil
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
func (s *sink) answer(model string) ledger.Answer {
	if s.streamed {
		body := append(bytes.Clone(s.kept.Bytes()), "data: [DONE]\n\n"...)
		return ledger.Answer{Status: http.StatusOK, ContentType: streamContentType, Body: body}
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
func (s *sink) finish(answer ledger.Answer) {
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
	if !s.streamed || s.events == 0 {
		refusal.write(s.w)
		return
	}
	if s.broken {
		return
	}
	_, _ = io.WriteString(s.w, "event: error\ndata: "+string(refusal.body())+"\n\n")
	_ = s.flusher.Flush()
}
