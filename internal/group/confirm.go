package group

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// confirmIntervalPerEntry times the number of entries, within minConfirmInterval and
	// maxConfirmInterval, is the time between two queries of AwaitNewest, so that all
	// entries together send each control instance few of them. A call waits for one
	// interval and the query; callers wait two seconds.
	confirmIntervalPerEntry = 5 * time.Millisecond
	minConfirmInterval      = 50 * time.Millisecond
	maxConfirmInterval      = time.Second
)

// confirmer shares the queries of AwaitNewest among its calls.
type confirmer struct {
	// turn holds an element while a call uses the fields below.
	turn chan struct{}
	// askedAt is when the control instances were last asked, and provenAt when they were
	// asked of which a majority then confirmed the version in force.
	askedAt, provenAt time.Time
}

// AwaitNewest waits until a majority of the control instances, asked after the call, has no
// newer version than the one in force. It returns false if ctx ends first.
func (w *Watcher) AwaitNewest(ctx context.Context) bool {
	called := time.Now()
	for {
		select {
		case w.confirmer.turn <- struct{}{}:
		case <-ctx.Done():
			return false
		}
		proven := w.proveNewest(ctx, called)
		<-w.confirmer.turn
		if proven {
			return true
		}
	}
}

// proveNewest reports whether the control instances, asked after the time called, have
// confirmed the version in force. It asks them unless another call has. The caller has the
// turn.
func (w *Watcher) proveNewest(ctx context.Context, called time.Time) bool {
	c := &w.confirmer
	if c.provenAt.After(called) {
		return true
	}
	interval := time.Duration(w.Entries()) * confirmIntervalPerEntry
	interval = min(max(interval, minConfirmInterval), maxConfirmInterval)
	sleep.For(ctx, interval-time.Since(c.askedAt))
	if ctx.Err() != nil {
		return false
	}
	c.askedAt = time.Now()
	newest, confirmed := w.findNewest(ctx)
	if !confirmed || newest.number > w.Active().Number {
		return false
	}
	c.provenAt = c.askedAt
	return true
}
