// Package sleep provides a sleep that a context can interrupt.
package sleep

import (
	"context"
	"time"
)

// For returns after duration or when ctx ends, whichever comes first.
func For(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
