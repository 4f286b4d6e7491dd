package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/route"
)

// messageOverheadTokens bounds the tokens that an engine's chat template adds to
// a message.
const messageOverheadTokens = 16

// bytesPerToken is the typical length of a token, for estimates.
const bytesPerToken = 4

const (
	streamContentType = "text/event-stream"
	jsonContentType   = "application/json"
)

// chatRequest holds the fields of a chat-completions request that the entry
// reads.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	N                   *int64            `json:"n"`
}

// serveChat handles a chat-completions request.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	ctx, end := s.begin(r, "chat")
	defer end()
	req, refusal := s.accept(w, r)
	if refusal != nil {
		refusal.write(w)
		return
	}
	defer req.release()
	chat, refusal := req.parseChat(r.Header)
	if refusal == nil {
		refusal = s.refuseWhenLeaving(req)
	}
	if refusal != nil {
		refusal.write(w)
		return
	}
	ctx, cancel := s.workContext(ctx, req)
	defer cancel()
	maxOutputTokens := chat.tokenLimit(req.work)
	body, err := req.engineBody(maxOutputTokens)
	if err != nil {
		notRun(http.StatusBadRequest, codeBadRequest, "the body cannot be passed on", 0).write(w)
		return
	}
	relay := &chatRelay{dispatcher: dispatcher{server: s, request: req}, body: body, maxOutputTokens: maxOutputTokens, maxPromptTokens: chat.promptTokenBound()}
	relay.sink = newSink(w, chat.Stream)
	relay.serve(ctx)
}

// workContext returns a context that ends at the work's deadline or at the end of a
// shutdown, so that the caller gets a response before the connection is closed. If the
// request has an idempotency key or is not repeatable, the context outlives the caller's
// connection, so that the response is stored for a retry and a non-repeatable request is
// completed.
func (s *Server) workContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.key != "" || !req.repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, release := s.drain.Context(ctx)
	ctx, cancel := context.WithTimeout(ctx, req.work.DeadlineOrDefault())
	return ctx, func() {
		cancel()
		release()
	}
}

// parseChat decodes and validates the body and resolves the route that is named
// by its model.
func (r *request) parseChat(header http.Header) (*chatRequest, *Refusal) {
	chat := &chatRequest{}
	err := json.Unmarshal(r.body, chat)
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
	refusal := r.resolveRoute(chat.Model, config.KindModel, header)
	if refusal != nil {
		return nil, refusal
	}
	r.prompt = chat.prompt(r.work)
	return chat, nil
}

// prompt returns an estimate of the prompt. Its first message, such as the system
// prompt, is the prefix that several requests share.
func (c *chatRequest) prompt(work config.Work) *place.Prompt {
	first := int64(len(c.Messages[0])) / bytesPerToken
	return &place.Prompt{
		Tokens: max(1, c.promptTokenBound()/bytesPerToken),
		Output: c.tokenLimit(work),
		Prefix: []place.PrefixSegment{{ID: route.PrefixHash(work.Model, c.Messages[0]), Tokens: first}},
	}
}

// promptTokenBound returns an upper bound on the prompt's tokens: a token has at
// least one byte, and the chat template adds a few tokens to each message.
func (c *chatRequest) promptTokenBound() int64 {
	var total int64
	for _, message := range c.Messages {
		total += int64(len(message)) + messageOverheadTokens
	}
	return total
}

// requestedTokens returns the caller's token limit, or 0 if the request sets none.
func (c *chatRequest) requestedTokens() int64 {
	if c.MaxCompletionTokens != nil {
		return *c.MaxCompletionTokens
	}
	if c.MaxTokens != nil {
		return *c.MaxTokens
	}
	return 0
}

// tokenLimit returns the limit of generated tokens: the lower one of the work's
// and the caller's.
func (c *chatRequest) tokenLimit(work config.Work) int64 {
	limit := work.TokenLimit()
	requested := c.requestedTokens()
	if requested == 0 {
		return limit
	}
	return min(requested, limit)
}

// engineBody returns the caller's body with the work's model, limit as
// max_tokens, and streaming with usage turned on. Streaming lets the entry count
// every token.
func (r *request) engineBody(limit int64) ([]byte, error) {
	fields := make(map[string]any)
	decoder := json.NewDecoder(bytes.NewReader(r.body))
	decoder.UseNumber()
	err := decoder.Decode(&fields)
	if err != nil {
		return nil, errors.Newf("decode body: %w", err)
	}
	delete(fields, "max_completion_tokens")
	fields["model"] = r.work.Model
	fields["max_tokens"] = limit
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Newf("encode body: %w", err)
	}
	return body, nil
}
