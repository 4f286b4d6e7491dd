package caller

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
)

func TestNonRepeatableRequestIsDispatchedOnceWithItsClaim(t *testing.T) {
	check := &invariant.Checker{}
	a := &attempt{server: &Server{Check: check}, request: &request{}}
	err := a.markDispatched()
	if !errors.Is(err, invariant.ErrBroken) || a.dispatched {
		t.Errorf("dispatched without a claim: %v", err)
	}
	a.claimed = true
	err = a.markDispatched()
	if err != nil || !a.dispatched {
		t.Errorf("with its claim: %v", err)
	}
	err = a.markDispatched()
	if !errors.Is(err, invariant.ErrBroken) || check.Count(invariant.OneDispatch) != 2 {
		t.Errorf("dispatched again: %v", err)
	}
}
