package caller

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
)

// A non-repeatable request must not run twice. The test dispatches one without a
// claim, with its claim and a second time; only the dispatch with the claim is
// allowed.
func TestNonRepeatableRequestIsDispatchedOnceWithItsClaim(t *testing.T) {
	check := &invariant.Checker{}
	a := &attempt{server: &Server{Check: check}, request: &request{}}
	err := a.markDispatched()
	if !errors.Is(err, invariant.ErrViolated) || a.dispatched {
		t.Errorf("dispatch without a claim: got error %v, want ErrViolated", err)
	}
	a.claimed = true
	err = a.markDispatched()
	if err != nil || !a.dispatched {
		t.Errorf("dispatch with the claim: got error %v, want none", err)
	}
	err = a.markDispatched()
	if !errors.Is(err, invariant.ErrViolated) || check.Count(invariant.NonRepeatableDispatchedOnce) != 2 {
		t.Errorf("second dispatch: got error %v, want ErrViolated and two violations counted", err)
	}
}
