package peer

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestUnavailableKeepsMarkAndCause(t *testing.T) {
	err := errors.Newf("outer: %w", Unavailable("call", context.DeadlineExceeded))
	if !errors.Is(err, ErrUnavailable) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v lost its mark or cause", err)
	}
}
