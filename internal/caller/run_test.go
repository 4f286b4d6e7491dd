package caller

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
)

func TestNonRepeatableRequestIsDispatchedOnceWithItsClaim(t *testing.T) {
	check := &invariant.Checker{}
	r := &run{server: &Server{Check: check}, accepted: &accepted{}}
	err := r.mark()
	if !errors.Is(err, invariant.ErrViolated) || r.dispatched {
		t.Errorf("dispatched without a claim: %v", err)
	}
	r.claimed = true
	err = r.mark()
	if err != nil || !r.dispatched {
		t.Errorf("with its claim: %v", err)
	}
	err = r.mark()
	if !errors.Is(err, invariant.ErrViolated) || check.Count(invariant.NonRepeatableDispatchedOnce) != 2 {
		t.Errorf("dispatched again: %v", err)
	}
}
