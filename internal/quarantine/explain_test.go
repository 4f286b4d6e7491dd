package quarantine_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/quarantine"
)

// TestPeekEndsNoQuarantine guards against a look at the quarantine that ends one which is over,
// and so logs and stores its end.
func TestPeekEndsNoQuarantine(t *testing.T) {
	var r quarantine.Registry
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	keys := []quarantine.Key{quarantine.Segment(7), quarantine.Segment(8)}
	if got := r.Peek(keys, now); got != 0 {
		t.Errorf("%s remain without a quarantine", got)
	}
	r.Merge([]quarantine.Evidence{quarantine.Verdict{Key: quarantine.Segment(7), Age: time.Minute}}, now)
	changes := 0
	r.Changed = func(quarantine.Change) { changes++ }
	if got, want := r.Peek(keys, now), quarantine.Duration-time.Minute; got != want {
		t.Errorf("%s remain, want %s", got, want)
	}
	over := now.Add(2 * quarantine.Duration)
	if got := r.Peek(keys, over); got != 0 || changes != 0 || r.Count() != 1 {
		t.Errorf("after the end: %s remain, %d changes, %d keys; want 0, 0 and 1", got, changes, r.Count())
	}
	if got := r.Remaining(keys, over); got != 0 || changes != 1 || r.Count() != 0 {
		t.Errorf("after a request: %s remain, %d changes, %d keys; want 0, 1 and 0", got, changes, r.Count())
	}
}
