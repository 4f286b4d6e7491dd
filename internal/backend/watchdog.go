package backend

import (
	"context"
	"sync"
	"time"
)

const (
	// silenceTimeout is the silence after which an engine is asked for the
	// attempt over another connection.
	silenceTimeout = 2 * time.Second
	probeTimeout   = time.Second
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

	mu       sync.Mutex
	timer    *time.Timer
	received int64
	since    time.Time
	stopped  bool
}

func (c *Client) watch(ctx context.Context, chat Chat, cancel context.CancelFunc) *watchdog {
	w := &watchdog{client: c, ctx: ctx, chat: chat, cancel: cancel, since: time.Now()}
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
	w.since = time.Now()
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
	before, _ := w.seen()
	status, err := w.client.status(w.ctx, w.chat)
	if err != nil {
		w.client.HTTP.CloseIdleConnections()
	}
	received, since := w.seen()
	if received != before {
		return
	}
	if time.Since(since) >= stallTimeout || err == nil && isSilent(status, received) {
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

func (w *watchdog) seen() (received int64, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received, w.since
}

// isSilent tells whether the engine is ahead of what arrived.
func isSilent(status attemptStatus, received int64) bool {
	return status.State != stateRunning || status.CompletionTokens > received
}
