package fake

import (
	"fmt"
	"net/http"
	"time"
)

// otherAttemptID is the attempt id that WrongAttempt and WrongAttemptChunks
// send.
const otherAttemptID = "another-attempt"

// Fault is a failure that an Engine or a Service injects into one response.
type Fault interface {
	fault()
}

// Refuse responds with an error status without running the request.
type Refuse struct {
	Status int
}

// Hang sends After tokens, then sends nothing and keeps the connection open.
type Hang struct {
	After int64
}

// Crash closes the connection after After tokens.
type Crash struct {
	After int64
}

// Truncate ends the response after After tokens, without usage and [DONE].
type Truncate struct {
	After int64
}

// Stall pauses the response for the duration For after After tokens.
type Stall struct {
	After int64
	For   time.Duration
}

// WrongAttempt sends another attempt's id in the response header.
type WrongAttempt struct{}

// WrongAttemptChunks sends another attempt's id in every chunk after the first
// After tokens.
type WrongAttemptChunks struct {
	After int64
}

// Duplicate sends every chunk twice.
type Duplicate struct{}

// Overrun sends Tokens more tokens than the request allows.
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

// Inject queues faults: each of the next responses takes one, in order. A nil
// fault leaves its response intact.
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

// streamResponse streams a generation from its first token until it ends, the
// caller disconnects or the fault ends the response.
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

// adjustReaders adds change to the number of connections that read a
// generation. At zero the generation is cancelled unless KeepsRunning is set.
func (e *Engine) adjustReaders(g *generation, change int) {
	e.mu.Lock()
	g.readers += change
	abandoned := g.readers == 0 && !e.KeepsRunning
	e.mu.Unlock()
	if abandoned {
		e.cancel(g)
	}
}

// eventStream is one connection on which the engine streams a response.
type eventStream struct {
	w     http.ResponseWriter
	r     *http.Request
	g     *generation
	fault Fault
	sent  int64
}

// waitForToken waits until the next token is generated. It returns false if the
// generation has ended or the caller has disconnected.
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

// applyFault applies the fault if it is due before the next token, and reports
// whether the response continues.
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

// writeToken sends the chunk of the next token and reports whether the write
// succeeded.
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

// overrun sends the additional tokens of an Overrun fault.
func (s *eventStream) overrun() {
	overrun, ok := s.fault.(Overrun)
	if !ok {
		return
	}
	for range overrun.Tokens {
		s.writeToken()
	}
}

// writeEnd sends the usage chunk and [DONE].
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
