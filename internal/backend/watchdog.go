package backend

import (
	"context"
	"sync"
	"time"
)

const (
	// chunkTimeout is the time that a read has waited for a chunk after which the
	// watchdog queries the engine for the attempt over another connection.
	chunkTimeout = 2 * time.Second
	// stallTimeout is the time that a read has waited for a chunk after which the
	// stream is canceled, even if the engine reports no newer tokens.
	stallTimeout = 20 * time.Second
)

// watchdog cancels a stream if a read waits although the engine has generated more
// tokens, or if the engine has stalled. While the reader is busy with a chunk, the stream
// is not timed.
type watchdog struct {
	client *Client
	ctx    context.Context
	chat   Chat
	cancel context.CancelFunc

	mu       sync.Mutex
	timer    *time.Timer
	received int64
	// waits counts the waits for a chunk, and waitingSince is when the latest began.
	waits        int64
	waitingSince time.Time
	// waiting is false while the reader is busy with a chunk and after the end.
	waiting bool
}

// wait is the state of a watchdog during one wait for a chunk.
type wait struct {
	number int64
	since  time.Time
	// received is the number of tokens so far.
	received int64
}

// watch starts a watchdog that calls cancel; stop it at the end of the stream. The wait
// for the first chunk begins at once.
func (c *Client) watch(ctx context.Context, chat Chat, cancel context.CancelFunc) *watchdog {
	w := &watchdog{client: c, ctx: ctx, chat: chat, cancel: cancel, waiting: true, waitingSince: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(chunkTimeout, w.run)
	return w
}

// beginWait records that a read waits for a chunk.
func (w *watchdog) beginWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting {
		return
	}
	w.waiting = true
	w.waits++
	w.waitingSince = time.Now()
	w.timer.Reset(chunkTimeout)
}

// progress records that a chunk arrived; received is the number of tokens so far.
func (w *watchdog) progress(received int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = received
	w.waiting = false
	w.timer.Stop()
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	w.timer.Stop()
}

// run queries the engine after chunkTimeout and either cancels the stream or
// restarts the timer, unless the wait has ended meanwhile.
func (w *watchdog) run() {
	before, waiting := w.currentWait()
	if !waiting || time.Since(before.since) < chunkTimeout {
		return
	}
	report, err := w.client.QueryAttempt(w.ctx, w.chat.Address, w.chat.Attempt)
	if err != nil {
		w.client.Upstream.CloseIdle(w.chat.Address)
	}
	current, waiting := w.currentWait()
	if !waiting || current.number != before.number {
		return
	}
	if time.Since(current.since) >= stallTimeout || err == nil && isEngineAhead(report, current.received) {
		w.client.Upstream.CloseIdle(w.chat.Address)
		w.cancel()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting && w.waits == current.number {
		w.timer.Reset(chunkTimeout)
	}
}

// currentWait returns the latest wait, and whether it goes on.
func (w *watchdog) currentWait() (wait, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return wait{number: w.waits, since: w.waitingSince, received: w.received}, w.waiting
}

// isEngineAhead reports whether the engine has ended the attempt or generated more
// tokens than were received.
func isEngineAhead(report AttemptReport, received int64) bool {
	return report.State != AttemptRunning || report.CompletionTokens > received
}
