// Package fake provides fakes of the systems that the fleet depends on:
// model engines, HTTP services, the platform's instance list, the network and
// the disk. Tests and the dev command use them.
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

// Engine is a fake model engine that serves the chat completions API. Its
// zero value is ready to use. Set its fields before calling Handler.
type Engine struct {
	// StepTime is the time to generate one token in a batch of one sequence;
	// zero means 2 ms.
	StepTime time.Duration
	// StepGrowth is the time that each further sequence in the batch adds to
	// StepTime.
	StepGrowth time.Duration
	// PromptTime is the time to process one prompt token that is not in the
	// prefix cache.
	PromptTime time.Duration
	// MaxBatch is the maximum number of sequences in the batch; zero means 64.
	MaxBatch int
	// CacheBlocks is the capacity of the prefix cache in blocks of 16 prompt
	// tokens; zero means 4096.
	CacheBlocks int
	// KeptAttempts is the maximum number of attempts to remember, unless more
	// are still running; zero means 1024.
	KeptAttempts int
	// KeepsRunning lets a generation continue after its last reader
	// disconnects. Otherwise the engine cancels it.
	KeepsRunning bool
	// LoadLag is the age of the load that GET /load returns.
	LoadLag time.Duration

	mu       sync.Mutex
	attempts map[string]*generation
	// attemptOrder holds the keys of attempts, oldest first.
	attemptOrder []string
	// cancelledEarly holds the ids of attempts whose cancellation arrived
	// before their request.
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

// Handler returns a handler for the engine's API: chat completions, resuming
// a stream, the state and cancellation of an attempt, and the load.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{attempt}", e.serveResume)
	mux.HandleFunc("GET /v1/attempts/{attempt}", e.serveAttempt)
	mux.HandleFunc("DELETE /v1/attempts/{attempt}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	return mux
}

// Generated returns the number of tokens generated for an attempt, or 0 if the
// attempt is unknown.
func (e *Engine) Generated(attempt string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.attempts[attempt]
	if g == nil {
		return 0
	}
	return g.tokens
}

// Attempts returns the ids of the remembered attempts, oldest first.
func (e *Engine) Attempts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.attemptOrder...)
}

// SetDraining sets whether the engine refuses new requests with status 503 and
// reports itself as draining.
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

// serveResume streams the response of a known attempt from its first token.
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
	fault := e.nextFault()
	refuse, refused := fault.(Refuse)
	if refused {
		http.Error(w, "overloaded", refuse.Status)
		return
	}
	e.streamResponse(w, r, g, fault)
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

// serveCancel cancels an attempt and returns its state. An attempt whose
// request has not arrived yet is refused when it arrives.
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

// rememberCancelled records the cancellation of an attempt whose request has not
// arrived. When KeptAttempts of them are recorded, it forgets them first. The
// caller holds e.mu.
func (e *Engine) rememberCancelled(attempt string) {
	if e.cancelledEarly == nil || len(e.cancelledEarly) >= orDefault(e.KeptAttempts, defaultKeptAttempts) {
		e.cancelledEarly = make(map[string]bool)
	}
	e.cancelledEarly[attempt] = true
}
