package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/route"
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
	ctx, cancel := a.bound(ctx)
	defer cancel()
	limit := chat.tokenLimit(a.work)
	body, err := a.engineBody(limit)
	if err != nil {
		notRun(http.StatusBadRequest, codeBadRequest, "the body cannot be passed on", 0).write(w)
		return
	}
	d := &delivery{server: s, accepted: a, body: body, limit: limit, prompt: chat.promptBound()}
	d.sink = newSink(w, chat.Stream)
	d.serve(ctx)
}

// bound returns the context of the request's work. A request that may be
// retried under its key, or that may run once only, runs on when its caller
// leaves.
func (a *accepted) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.key != "" || !a.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, a.work.DeadlineOrDefault())
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
	a.prefix = route.PrefixHash(a.work.Model, chat.Messages[0])
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
