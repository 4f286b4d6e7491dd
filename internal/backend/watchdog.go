package backend

import (
	"context"
	"sync"
	"time"
)

const (
	// silenceTimeout is the silence after which an engine is asked for the
	// attempt over another connection.
	silenceTimeout        = 2 * time.Second
	attemptRequestTimeout = time.Second
	// stallTimeout ends an answer whose engine makes no progress.
	stallTimeout = 20 * time.Second
)

// watchdog ends a stream whose connection has gone silent while the engine
// goes on, or whose engine has stalled.
type watchdog struct {
	client *Client
	ctx    context.Context
	chat   Chat
	cancel context.CancelFunc

	mu           sync.Mutex
	timer        *time.Timer
	received     int64
	lastProgress time.Time
	stopped      bool
}

func (c *Client) watch(ctx context.Context, chat Chat, cancel context.CancelFunc) *watchdog {
	w := &watchdog{client: c, ctx: ctx, chat: chat, cancel: cancel, lastProgress: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceTimeout, w.run)
	return w
}

// progress records that a chunk arrived.
func (w *watchdog) progress(received int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = received
	w.lastProgress = time.Now()
	if !w.stopped {
		w.timer.Reset(silenceTimeout)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// run asks the engine after a silence and ends the stream or waits on.
func (w *watchdog) run() {
	before, _ := w.progressSoFar()
	status, err := w.client.status(w.ctx, w.chat)
	if err != nil {
		w.client.HTTP.CloseIdleConnections()
	}
	received, lastProgress := w.progressSoFar()
	if received != before {
		return
	}
	if time.Since(lastProgress) >= stallTimeout || err == nil && isEngineAhead(status, received) {
		w.client.HTTP.CloseIdleConnections()
		w.cancel()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(silenceTimeout)
	}
}

func (w *watchdog) progressSoFar() (received int64, lastProgress time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received, w.lastProgress
}

// isEngineAhead tells whether the engine is ahead of what arrived.
func isEngineAhead(status attemptStatus, received int64) bool {
	return status.State != stateRunning || status.CompletionTokens > received
}
