package fake

import (
	"encoding/json"
	"strings"
	"time"
)

// generation is one attempt at an engine. The engine's mutex guards it.
type generation struct {
	engine   *Engine
	attempt  string
	model    string
	priority string
	prompt   int64
	uncached int64
	limit    int64
	tokens   int64
	// followers counts the connections that read the answer.
	followers int
	ended     bool
	cancelled bool
	// changed is closed at each change.
	changed chan struct{}
	// admitted is closed once the generation has its place in the batch.
	admitted chan struct{}
	// stopped is closed when the generation is cancelled.
	stopped chan struct{}
}

// accept starts a generation, or attaches to the one with the same attempt.
func (e *Engine) accept(request engineRequest, attempt, priority string) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining || e.buried[attempt] {
		return nil, false
	}
	known := e.attempts[attempt]
	if known != nil {
		return known, true
	}
	words := promptWords(request.Messages)
	g := &generation{
		engine:   e,
		attempt:  attempt,
		model:    request.Model,
		priority: priority,
		prompt:   int64(len(words)),
		limit:    request.MaxTokens,
		changed:  make(chan struct{}),
		admitted: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	e.cache.limit = orDefault(e.CacheBlocks, defaultCacheBlocks)
	g.uncached = g.prompt - e.cache.use(words)
	e.keep(g)
	e.waiting = append(e.waiting, g)
	e.admit()
	go g.run()
	return g, true
}

// keep stores the attempt and forgets the oldest one that has ended.
func (e *Engine) keep(g *generation) {
	if e.attempts == nil {
		e.attempts = make(map[string]*generation)
	}
	e.attempts[g.attempt] = g
	e.order = append(e.order, g.attempt)
	for i, attempt := range e.order {
		if len(e.order) <= orDefault(e.KeptAttempts, defaultKeptAttempts) {
			return
		}
		if e.attempts[attempt].ended {
			delete(e.attempts, attempt)
			e.order = append(e.order[:i], e.order[i+1:]...)
			return
		}
	}
}

// admit fills the batch from the queue, the most urgent first.
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
	e.report()
}

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

// run generates one token a step.
func (g *generation) run() {
	select {
	case <-g.admitted:
	case <-g.stopped:
		g.engine.end(g)
		return
	}
	wait := time.Duration(g.uncached) * g.engine.PromptTime
	for range g.limit {
		select {
		case <-time.After(wait + g.engine.step()):
		case <-g.stopped:
			g.engine.end(g)
			return
		}
		wait = 0
		g.engine.add(g)
	}
	g.engine.end(g)
}

// step returns the time of one step of the present batch.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.StepTime
	if step == 0 {
		step = defaultStepTime
	}
	return step + time.Duration(max(0, e.running-1))*e.StepGrowth
}

func (e *Engine) add(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.tokens++
	g.notify()
}

// end takes the generation out of the queue or the batch.
func (e *Engine) end(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.ended = true
	g.notify()
	for i, waiting := range e.waiting {
		if waiting == g {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.report()
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

// promptWords returns the words of the messages, each of which is a token.
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
