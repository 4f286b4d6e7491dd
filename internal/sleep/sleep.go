// Package sleep waits on the runtime's clock.
package sleep

import (
	"context"
	"time"
)

// For returns after duration or when ctx ends.
func For(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
