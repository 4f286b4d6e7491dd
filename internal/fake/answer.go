package fake

import (
	"fmt"
	"net/http"
	"time"
)

// strangerAttempt is the id that crossed answers carry.
const strangerAttempt = "another-attempt"

// Fault is a way in which an engine's answer goes wrong.
type Fault interface {
	fault()
}

// Refuse answers with an error status and does not run the request.
type Refuse struct {
	Status int
}

// Silence stops sending after some tokens and keeps the connection open.
type Silence struct {
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

// Crossed answers with another attempt's id in the header.
type Crossed struct{}

// CrossedChunks switches to another attempt's chunks after some tokens.
type CrossedChunks struct {
	After int64
}

// Duplicate sends every chunk twice.
type Duplicate struct{}

// Overrun sends more tokens than were asked for.
type Overrun struct {
	Tokens int64
}

func (Refuse) fault()        {}
func (Silence) fault()       {}
func (Crash) fault()         {}
func (Truncate) fault()      {}
func (Stall) fault()         {}
func (Crossed) fault()       {}
func (CrossedChunks) fault() {}
func (Duplicate) fault()     {}
func (Overrun) fault()       {}

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

// follow writes an answer from its start until its end or a fault.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, g *generation, fault Fault) {
	e.attach(g, 1)
	defer e.attach(g, -1)
	_, crossed := fault.(Crossed)
	if crossed {
		w.Header().Set(attemptHeader, strangerAttempt)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	f := &follower{w: w, r: r, g: g, fault: fault}
	for f.sent < g.limit {
		if !f.wait(e) || !f.misbehave() || !f.token() {
			return
		}
	}
	f.overrun()
	f.end()
}

// attach counts a connection. The last one to leave cancels the generation
// unless the engine keeps running.
func (e *Engine) attach(g *generation, change int) {
	e.mu.Lock()
	g.followers += change
	left := g.followers == 0 && !e.KeepsRunning
	e.mu.Unlock()
	if left {
		e.cancel(g)
	}
}

// follower is one connection that reads an answer.
type follower struct {
	w     http.ResponseWriter
	r     *http.Request
	g     *generation
	fault Fault
	sent  int64
}

// wait waits for the next token and returns false when there will be none.
func (f *follower) wait(e *Engine) bool {
	for {
		e.mu.Lock()
		tokens, ended, changed := f.g.tokens, f.g.ended, f.g.changed
		e.mu.Unlock()
		if f.sent < tokens {
			return true
		}
		if ended {
			return false
		}
		select {
		case <-changed:
		case <-f.r.Context().Done():
			return false
		}
	}
}

// misbehave applies the fault and returns false when the answer ends with it.
func (f *follower) misbehave() bool {
	switch fault := f.fault.(type) {
	case Silence:
		if f.sent == fault.After {
			<-f.r.Context().Done()
			return false
		}
	case Crash:
		if f.sent == fault.After {
			panic(http.ErrAbortHandler)
		}
	case Truncate:
		return f.sent != fault.After
	case Stall:
		if f.sent == fault.After {
			return f.pause(fault.For)
		}
	}
	return true
}

func (f *follower) pause(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-f.r.Context().Done():
		return false
	}
}

// token writes the next token and returns false when the connection is gone.
func (f *follower) token() bool {
	finish := "null"
	if f.sent == f.g.limit-1 {
		finish = `"length"`
	}
	id := f.g.attempt
	crossed, isCrossed := f.fault.(CrossedChunks)
	if isCrossed && f.sent >= crossed.After {
		id = strangerAttempt
	}
	_, twice := f.fault.(Duplicate)
	ok := f.chunk(id, finish)
	if ok && twice {
		ok = f.chunk(id, finish)
	}
	f.sent++
	return ok
}

func (f *follower) chunk(id, finish string) bool {
	return f.write(fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", id, f.g.model, f.sent, finish))
}

func (f *follower) overrun() {
	overrun, ok := f.fault.(Overrun)
	if !ok {
		return
	}
	for range overrun.Tokens {
		f.token()
	}
}

// end writes the usage and the end mark.
func (f *follower) end() {
	f.write(fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", f.g.attempt, f.g.model, f.g.prompt, f.g.limit, f.g.prompt+f.g.limit))
}

func (f *follower) write(text string) bool {
	_, err := f.w.Write([]byte(text))
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	return err == nil
}
