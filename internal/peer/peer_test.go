package peer

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestUnavailableKeepsMarkAndCause guards against an error that loses its cause or
// its ErrUnavailable mark, which happens if errors.Newf wraps both with %w.
func TestUnavailableKeepsMarkAndCause(t *testing.T) {
	err := errors.Newf("outer: %w", Unavailable("call", context.DeadlineExceeded))
	if !errors.Is(err, ErrUnavailable) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v does not match ErrUnavailable and context.DeadlineExceeded", err)
	}
}
