// Package fake holds small stand-ins for the systems around the fleet: model
// engines, plain services and the platform.
package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	defaultStepTime     = 2 * time.Millisecond
	defaultMaxBatch     = 64
	defaultCacheBlocks  = 4096
	defaultKeptAttempts = 1024
	defaultMaxTokens    = 16
	attemptHeader       = "X-Request-Id"
	priorityHeader      = "X-Priority"
	maxRequestBytes     = 8 << 20
)

// Engine is a stand-in model engine in the chat-completions format; its zero
// value works. Fields are set before Handler is called.
type Engine struct {
	// StepTime is the time between two tokens of a batch of one; zero means
	// the default.
	StepTime time.Duration
	// StepGrowth is what each further sequence of a batch adds to a step.
	StepGrowth time.Duration
	// PromptTime is the time to process one prompt token that is not cached.
	PromptTime time.Duration
	// MaxBatch bounds the sequences of a batch; zero means the default.
	MaxBatch int
	// CacheBlocks bounds the prefix cache; zero means the default.
	CacheBlocks int
	// KeptAttempts bounds the attempts that are kept; zero means the default.
	KeptAttempts int
	// KeepsRunning lets a generation go on when its connection breaks.
	KeepsRunning bool
	// LoadLag is the age of a load report.
	LoadLag time.Duration

	mu           sync.Mutex
	attempts     map[string]*generation
	attemptOrder []string
	// cancelledEarly holds attempts that were cancelled before they arrived.
	cancelledEarly map[string]bool
	waiting        []*generation
	running        int
	draining       bool
	cache          prefixCache
	loadSamples    []loadSample
	faults         []Fault
}

type engineRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
}

type engineAttempt struct {
	State            string `json:"state"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{attempt}", e.serveResume)
	mux.HandleFunc("GET /v1/attempts/{attempt}", e.serveAttempt)
	mux.HandleFunc("DELETE /v1/attempts/{attempt}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	return mux
}

// Generated returns the tokens generated for an attempt.
func (e *Engine) Generated(attempt string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.attempts[attempt]
	if g == nil {
		return 0
	}
	return g.tokens
}

// Attempts returns the ids of the attempts that are kept, oldest first.
func (e *Engine) Attempts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.attemptOrder...)
}

// SetDraining makes the engine refuse new work, or accept it again.
func (e *Engine) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var request engineRequest
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, &request)
	}
	attempt := r.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, attempt)
	if err != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	fault := e.nextFault()
	refuse, refused := fault.(Refuse)
	if refused {
		http.Error(w, "overloaded", refuse.Status)
		return
	}
	g, accepted := e.startOrAttach(request, attempt, r.Header.Get(priorityHeader))
	if !accepted {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	e.streamResponse(w, r, g, fault)
}

// serveResume streams an answer from its start.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	w.Header().Set(attemptHeader, attempt)
	e.mu.Lock()
	g := e.attempts[attempt]
	cancelled := g != nil && g.cancelled
	e.mu.Unlock()
	if g == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	if cancelled {
		http.Error(w, "the attempt was cancelled", http.StatusGone)
		return
	}
	e.streamResponse(w, r, g, e.nextFault())
}

func (e *Engine) serveAttempt(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	w.Header().Set(attemptHeader, attempt)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.attemptStatus(attempt))
}

func (e *Engine) attemptStatus(attempt string) engineAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.attempts[attempt]
	if g == nil {
		return engineAttempt{State: "absent"}
	}
	state := "running"
	if g.ended {
		state = "done"
	}
	return engineAttempt{State: state, PromptTokens: g.promptTokens, CompletionTokens: g.tokens}
}

// serveCancel ends a generation and tells what it generated. One that has not
// arrived is refused when it does.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	e.mu.Lock()
	g := e.attempts[attempt]
	if g == nil {
		e.rememberCancelled(attempt)
	}
	e.mu.Unlock()
	if g != nil {
		e.cancel(g)
	}
	e.serveAttempt(w, r)
}

func (e *Engine) rememberCancelled(attempt string) {
	if e.cancelledEarly == nil || len(e.cancelledEarly) >= orDefault(e.KeptAttempts, defaultKeptAttempts) {
		e.cancelledEarly = make(map[string]bool)
	}
	e.cancelledEarly[attempt] = true
}
