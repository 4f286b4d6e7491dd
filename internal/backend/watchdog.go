package backend

import (
	"context"
	"sync"
	"time"
)

const (
	// chunkTimeout is the time without a chunk after which the watchdog queries
	// the engine for the attempt over another connection.
	chunkTimeout = 2 * time.Second
	// stallTimeout is the time without a chunk after which the stream is canceled,
	// even if the engine reports no newer tokens.
	stallTimeout = 20 * time.Second
)

// watchdog cancels a stream if its connection delivers nothing although the engine
// has generated more tokens, or if the engine has stalled.
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

// watch starts a watchdog that calls cancel; stop it at the end of the stream.
func (c *Client) watch(ctx context.Context, chat Chat, cancel context.CancelFunc) *watchdog {
	w := &watchdog{client: c, ctx: ctx, chat: chat, cancel: cancel, lastProgress: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(chunkTimeout, w.run)
	return w
}

// progress records that a chunk arrived; received is the number of tokens so far.
func (w *watchdog) progress(received int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = received
	w.lastProgress = time.Now()
	if !w.stopped {
		w.timer.Reset(chunkTimeout)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// run queries the engine after chunkTimeout and either cancels the stream or
// restarts the timer.
func (w *watchdog) run() {
	before, _ := w.progressSoFar()
	report, err := w.client.QueryAttempt(w.ctx, w.chat.Address, w.chat.Attempt)
	if err != nil {
		w.client.Upstream.CloseIdle(w.chat.Address)
	}
	received, lastProgress := w.progressSoFar()
	if received != before {
		return
	}
	if time.Since(lastProgress) >= stallTimeout || err == nil && isEngineAhead(report, received) {
		w.client.Upstream.CloseIdle(w.chat.Address)
		w.cancel()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(chunkTimeout)
	}
}

// progressSoFar returns the number of tokens received and when the latest chunk
// arrived.
func (w *watchdog) progressSoFar() (received int64, lastProgress time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.received, w.lastProgress
}

// isEngineAhead reports whether the engine has ended the attempt or generated more
// tokens than were received.
func isEngineAhead(report AttemptReport, received int64) bool {
	return report.State != AttemptRunning || report.CompletionTokens > received
}
