package test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/cactusbay/cactusbay/internal/fake"
)

// serviceFaults are faults after which the entry can't know whether the service
// ran the call.
var serviceFaults = map[string]fake.Fault{
	"silent":  fake.Hang{},
	"crashed": fake.Crash{},
	"crossed": fake.WrongAttempt{},
}

// TestLookupReturnsDespiteAFault guards against a failed or doubly billed call when a
// service fails: a call that may repeat must be retried and billed once.
func TestLookupReturnsDespiteAFault(t *testing.T) {
	for name, fault := range serviceFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 100_000, "a")
				defer s.close()
				s.services["a"].Inject(fault)
				got := s.send("a", "/services/records/door/7", "", "")
				if got.status != http.StatusOK {
					t.Errorf("got response %+v, want status 200", got)
				}
				if billed := s.billed(); billed != 10 {
					t.Errorf("billed %d, want 10", billed)
				}
			})
		})
	}
}

// TestOrderRunsOnceDespiteAFault guards against a second run of a call that must not
// repeat, when the service fails after it got the call on a keep-alive connection: the
// caller must get outcome_unknown, and no retry may reach a service.
func TestOrderRunsOnceDespiteAFault(t *testing.T) {
	for name, fault := range serviceFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSiteWith(t, 100_000, []string{"b"}, "a")
				defer s.close()
				s.send("a", "/services/records/door/7", "", "over a connection that is kept")
				s.services["a"].Inject(fault)
				first := s.send("a", "/services/orders/new", "order-1", "door 7")
				if first.code() != "outcome_unknown" {
					t.Errorf("got response %+v, want outcome_unknown", first)
				}
				s.send("a", "/services/orders/new", "order-1", "door 7")
				runs := s.services["a"].Runs("order-1") + s.services["b"].Runs("order-1")
				if runs != 1 {
					t.Errorf("the order ran %d times, want 1", runs)
				}
			})
		})
	}
}

// TestEmptyOrderRunsOnce guards against a replay by the HTTP client: for a request
// without a body, the client could send it again when a keep-alive connection breaks.
func TestEmptyOrderRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.send("a", "/services/records/door/7", "", "over a connection that is kept")
		s.services["a"].Inject(fake.Crash{})
		first := s.send("a", "/services/orders/new", "order-1", "")
		if first.code() != "outcome_unknown" || s.services["a"].Runs("order-1") != 1 {
			t.Errorf("got response %+v after %d runs, want outcome_unknown after 1", first, s.services["a"].Runs("order-1"))
		}
	})
}

// TestOrderRunsElsewhereWhenNothingWasSent guards against a refused call when the
// first service can't be reached: nothing was sent to it, so the entry must send the
// call to another service even though it must not repeat.
func TestOrderRunsElsewhereWhenNothingWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.network.Kill("backend-a")
		got := s.send("a", "/services/orders/new", "order-1", "door 7")
		if got.status != http.StatusOK || s.services["b"].Runs("order-1") != 1 {
			t.Errorf("got response %+v after %d runs in domain b, want status 200 after 1", got, s.services["b"].Runs("order-1"))
		}
	})
}
