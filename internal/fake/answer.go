package fake

import (
	"fmt"
	"net/http"
	"time"
)

// otherAttemptID is the id that crossed answers carry.
const otherAttemptID = "another-attempt"

// Fault is a way in which an engine's answer goes wrong.
type Fault interface {
	fault()
}

// Refuse answers with an error status and does not run the request.
type Refuse struct {
	Status int
}

// Hang stops sending after some tokens and keeps the connection open.
type Hang struct {
	After int64
}

// Crash closes the connection after some tokens.
type Crash struct {
	After int64
}

// Truncate ends the answer after some tokens without its end mark.
type Truncate struct {
	After int64
}

// Stall pauses after some tokens.
type Stall struct {
	After int64
	For   time.Duration
}

// WrongAttempt answers with another attempt's id in the header.
type WrongAttempt struct{}

// WrongAttemptChunks switches to another attempt's chunks after some tokens.
type WrongAttemptChunks struct {
	After int64
}

// Duplicate sends every chunk twice.
type Duplicate struct{}

// Overrun sends more tokens than were asked for.
type Overrun struct {
	Tokens int64
}

func (Refuse) fault()             {}
func (Hang) fault()               {}
func (Crash) fault()              {}
func (Truncate) fault()           {}
func (Stall) fault()              {}
func (WrongAttempt) fault()       {}
func (WrongAttemptChunks) fault() {}
func (Duplicate) fault()          {}
func (Overrun) fault()            {}

// Inject gives the next answers one fault each; nil means none.
func (e *Engine) Inject(faults ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, faults...)
}

func (e *Engine) nextFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return nil
	}
	fault := e.faults[0]
	e.faults = e.faults[1:]
	return fault
}

// streamResponse writes an answer from its start until its end or a fault.
func (e *Engine) streamResponse(w http.ResponseWriter, r *http.Request, g *generation, fault Fault) {
	e.adjustReaders(g, 1)
	defer e.adjustReaders(g, -1)
	_, wrongAttempt := fault.(WrongAttempt)
	if wrongAttempt {
		w.Header().Set(attemptHeader, otherAttemptID)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	s := &eventStream{w: w, r: r, g: g, fault: fault}
	for s.sent < g.limit {
		if !s.waitForToken(e) || !s.applyFault() || !s.writeToken() {
			return
		}
	}
	s.overrun()
	s.writeEnd()
}

// adjustReaders counts a connection. The last one to leave cancels the generation
// unless the engine keeps running.
func (e *Engine) adjustReaders(g *generation, change int) {
	e.mu.Lock()
	g.readers += change
	abandoned := g.readers == 0 && !e.KeepsRunning
	e.mu.Unlock()
	if abandoned {
		e.cancel(g)
	}
}

// eventStream is one connection that reads an answer.
type eventStream struct {
	w     http.ResponseWriter
	r     *http.Request
	g     *generation
	fault Fault
	sent  int64
}

// waitForToken waits for the next token and returns false when there will be none.
func (s *eventStream) waitForToken(e *Engine) bool {
	for {
		e.mu.Lock()
		tokens, ended, changed := s.g.tokens, s.g.ended, s.g.changed
		e.mu.Unlock()
		if s.sent < tokens {
			return true
		}
		if ended {
			return false
		}
		select {
		case <-changed:
		case <-s.r.Context().Done():
			return false
		}
	}
}

// applyFault applies the fault and returns false when the answer ends with it.
func (s *eventStream) applyFault() bool {
	switch fault := s.fault.(type) {
	case Hang:
		if s.sent == fault.After {
			<-s.r.Context().Done()
			return false
		}
	case Crash:
		if s.sent == fault.After {
			panic(http.ErrAbortHandler)
		}
	case Truncate:
		return s.sent != fault.After
	case Stall:
		if s.sent == fault.After {
			return s.pause(fault.For)
		}
	}
	return true
}

func (s *eventStream) pause(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-s.r.Context().Done():
		return false
	}
}

// writeToken writes the next writeToken and returns false when the connection is gone.
func (s *eventStream) writeToken() bool {
	finish := "null"
	if s.sent == s.g.limit-1 {
		finish = `"length"`
	}
	id := s.g.attempt
	wrongAttempt, isWrongAttempt := s.fault.(WrongAttemptChunks)
	if isWrongAttempt && s.sent >= wrongAttempt.After {
		id = otherAttemptID
	}
	_, twice := s.fault.(Duplicate)
	ok := s.writeChunk(id, finish)
	if ok && twice {
		ok = s.writeChunk(id, finish)
	}
	s.sent++
	return ok
}

func (s *eventStream) writeChunk(id, finish string) bool {
	return s.write(fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", id, s.g.model, s.sent, finish))
}

func (s *eventStream) overrun() {
	overrun, ok := s.fault.(Overrun)
	if !ok {
		return
	}
	for range overrun.Tokens {
		s.writeToken()
	}
}

// writeEnd writes the usage and the writeEnd mark.
func (s *eventStream) writeEnd() {
	s.write(fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", s.g.attempt, s.g.model, s.g.promptTokens, s.g.limit, s.g.promptTokens+s.g.limit))
}

func (s *eventStream) write(text string) bool {
	_, err := s.w.Write([]byte(text))
	if err == nil {
		err = http.NewResponseController(s.w).Flush()
	}
	return err == nil
}
