package fake

import (
	"encoding/json"
	"strings"
	"time"
)

// generation is the execution of one attempt by an engine. The engine's mutex
// guards its fields.
type generation struct {
	engine *Engine
	// attempt is the attempt's id, as sent in the X-Request-Id header.
	attempt        string
	model          string
	priority       string
	promptTokens   int64
	uncachedTokens int64
	// limit is the number of tokens to generate; tokens counts those generated.
	limit  int64
	tokens int64
	// readers is the number of connections that read the response.
	readers   int
	ended     bool
	cancelled bool
	// changed is closed and replaced at each change of the generation.
	changed chan struct{}
	// admitted is closed when the generation enters the batch.
	admitted chan struct{}
	// stopped is closed when the generation is cancelled.
	stopped chan struct{}
}

// startOrAttach starts a generation, or returns the one that already runs under
// the same attempt id. It returns false if the engine is draining or the attempt
// was cancelled before it arrived.
func (e *Engine) startOrAttach(request engineRequest, attempt, priority string) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || e.cancelledEarly[attempt] {
		return nil, false
	}
	known := e.attempts[attempt]
	if known != nil {
		return known, true
	}
	words := promptWords(request.Messages)
	g := &generation{
		engine:       e,
		attempt:      attempt,
		model:        request.Model,
		priority:     priority,
		promptTokens: int64(len(words)),
		limit:        request.MaxTokens,
		changed:      make(chan struct{}),
		admitted:     make(chan struct{}),
		stopped:      make(chan struct{}),
	}
	e.cache.limit = orDefault(e.CacheBlocks, defaultCacheBlocks)
	g.uncachedTokens = g.promptTokens - e.cache.lookupAndStore(words)
	e.storeAttempt(g)
	e.waiting = append(e.waiting, g)
	e.admit()
	go g.run()
	return g, true
}

// storeAttempt stores a generation under its attempt id. Above the limit it
// drops the oldest attempt that has ended.
func (e *Engine) storeAttempt(g *generation) {
	if e.attempts == nil {
		e.attempts = make(map[string]*generation)
	}
	e.attempts[g.attempt] = g
	e.attemptOrder = append(e.attemptOrder, g.attempt)
	for i, attempt := range e.attemptOrder {
		if len(e.attemptOrder) <= orDefault(e.KeptAttempts, defaultKeptAttempts) {
			return
		}
		if e.attempts[attempt].ended {
			delete(e.attempts, attempt)
			e.attemptOrder = append(e.attemptOrder[:i], e.attemptOrder[i+1:]...)
			return
		}
	}
}

// admit moves queued generations into the batch while it has free slots, in
// order of priority. The caller holds e.mu.
func (e *Engine) admit() {
	for e.running < orDefault(e.MaxBatch, defaultMaxBatch) && len(e.waiting) > 0 {
		best := 0
		for i, g := range e.waiting {
			if urgency(g.priority) < urgency(e.waiting[best].priority) {
				best = i
			}
		}
		g := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		e.running++
		close(g.admitted)
	}
	e.recordLoad()
}

// urgency returns the rank of a priority. Generations with a lower rank enter the
// batch first.
func urgency(priority string) int {
	switch priority {
	case "interactive":
		return 0
	case "batch":
		return 2
	default:
		return 1
	}
}

// run waits for a slot in the batch, processes the uncached prompt tokens, and
// generates one token per step until the limit or a cancellation.
func (g *generation) run() {
	select {
	case <-g.admitted:
	case <-g.stopped:
		g.engine.finish(g)
		return
	}
	wait := time.Duration(g.uncachedTokens) * g.engine.PromptTime
	for range g.limit {
		select {
		case <-time.After(wait + g.engine.step()):
		case <-g.stopped:
			g.engine.finish(g)
			return
		}
		wait = 0
		g.engine.addToken(g)
	}
	g.engine.finish(g)
}

// step returns the time to generate one token with the current batch size.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.StepTime
	if step == 0 {
		step = defaultStepTime
	}
	return step + time.Duration(max(0, e.running-1))*e.StepGrowth
}

func (e *Engine) addToken(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.tokens++
	g.notify()
}

// finish marks the generation as ended and removes it from the queue or the
// batch.
func (e *Engine) finish(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.ended = true
	g.notify()
	for i, waiting := range e.waiting {
		if waiting == g {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.recordLoad()
			return
		}
	}
	e.running--
	e.admit()
}

func (e *Engine) cancel(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.ended || g.cancelled || g.tokens == g.limit {
		return
	}
	g.cancelled = true
	close(g.stopped)
	g.notify()
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// promptWords returns the words of the raw JSON messages. The engine counts
// each word as one token.
func promptWords(messages []json.RawMessage) []string {
	var words []string
	for _, message := range messages {
		words = append(words, strings.Fields(string(message))...)
	}
	return words
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
