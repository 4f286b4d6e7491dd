// Package fake holds small stand-ins for the systems around the fleet: model
// engines, plain services and the platform.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	defaultStepTime  = 2 * time.Millisecond
	defaultMaxTokens = 16
	attemptHeader    = "X-Request-Id"
	maxRequestBytes  = 8 << 20
)

// Engine is a stand-in model engine in the chat-completions format; its zero
// value works.
type Engine struct {
	// StepTime is the time between two tokens; zero means the default.
	StepTime time.Duration

	mu        sync.Mutex
	generated map[string]int64
	running   int
}

type engineRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
}

type engineLoad struct {
	Running int `json:"running"`
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /load", e.serveLoad)
	return mux
}

// Generated returns the tokens generated for an attempt.
func (e *Engine) Generated(attempt string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generated[attempt]
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := engineLoad{Running: e.running}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(load)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request engineRequest
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &request)
	}
	if err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	attempt := r.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	e.enter(1)
	defer e.enter(-1)
	e.stream(r.Context(), w, request, attempt)
}

func (e *Engine) enter(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += change
}

// stream writes one chunk a token, then the usage and the end mark.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, request engineRequest, attempt string) {
	controller := http.NewResponseController(w)
	step := e.StepTime
	if step == 0 {
		step = defaultStepTime
	}
	for i := range request.MaxTokens {
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return
		}
		e.count(attempt)
		finish := "null"
		if i == request.MaxTokens-1 {
			finish = `"length"`
		}
		_, err := fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", attempt, request.Model, i, finish)
		if err == nil {
			err = controller.Flush()
		}
		if err != nil {
			return
		}
	}
	prompt := promptTokens(request.Messages)
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", attempt, request.Model, prompt, request.MaxTokens, prompt+request.MaxTokens)
}

func (e *Engine) count(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generated == nil {
		e.generated = make(map[string]int64)
	}
	e.generated[attempt]++
}

// promptTokens counts a token for each word of the messages.
func promptTokens(messages []json.RawMessage) int64 {
	var total int64
	for _, message := range messages {
		total += int64(len(strings.Fields(string(message))))
	}
	return total
}
