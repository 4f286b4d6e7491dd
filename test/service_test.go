package test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/cactusbay/cactusbay/internal/fake"
)

var serviceFaults = map[string]fake.Fault{
	"silent":  fake.Hang{},
	"crashed": fake.Crash{},
	"crossed": fake.WrongAttempt{},
}

func TestLookupReturnsDespiteAFault(t *testing.T) {
	for name, fault := range serviceFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 100_000, "a")
				defer s.close()
				s.services["a"].Inject(fault)
				got := s.call("a", "/services/records/door/7", "", "")
				if got.status != http.StatusOK {
					t.Errorf("answer %+v", got)
				}
				if billed := s.billed(); billed != 10 {
					t.Errorf("billed %d, want 10", billed)
				}
			})
		})
	}
}

func TestOrderRunsOnceDespiteAFault(t *testing.T) {
	for name, fault := range serviceFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSiteWith(t, 100_000, []string{"b"}, "a")
				defer s.close()
				s.call("a", "/services/records/door/7", "", "over a connection that is kept")
				s.services["a"].Inject(fault)
				first := s.call("a", "/services/orders/new", "order-1", "door 7")
				if first.code() != "outcome_unknown" {
					t.Errorf("first %+v", first)
				}
				s.call("a", "/services/orders/new", "order-1", "door 7")
				runs := s.services["a"].Runs("order-1") + s.services["b"].Runs("order-1")
				if runs != 1 {
					t.Errorf("the order ran %d times", runs)
				}
			})
		})
	}
}

func TestEmptyOrderRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.call("a", "/services/records/door/7", "", "over a connection that is kept")
		s.services["a"].Inject(fake.Crash{})
		first := s.call("a", "/services/orders/new", "order-1", "")
		if first.code() != "outcome_unknown" || s.services["a"].Runs("order-1") != 1 {
			t.Errorf("first %+v, runs %d", first, s.services["a"].Runs("order-1"))
		}
	})
}

func TestOrderRunsElsewhereWhenNothingWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.network.Kill("backend-a")
		got := s.call("a", "/services/orders/new", "order-1", "door 7")
		if got.status != http.StatusOK || s.services["b"].Runs("order-1") != 1 {
			t.Errorf("answer %+v, runs %d", got, s.services["b"].Runs("order-1"))
		}
	})
}
