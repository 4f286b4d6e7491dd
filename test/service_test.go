package test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

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

// withoutSuccessor holds the reasons why an entry can't send a slow call to another
// service.
var withoutSuccessor = map[string]func(s *site){
	"no retry": func(s *site) {
		for s.entries["a"].Server.Pool.Retry() {
		}
	},
	"no other service": func(s *site) {
		s.patch("a", "one-service", `{"works":{"records":{"backend_servers":["service-a"]}}}`)
		time.Sleep(reportTime)
	},
	"no free service": func(s *site) {
		s.patch("a", "one-call-each", `{"backend_servers":{"service-a":{"concurrency":1},"service-b":{"concurrency":1}}}`)
		time.Sleep(reportTime)
		s.services["a"].Inject(fake.Stall{For: 14 * time.Second})
		go s.send("a", "/services/orders/new", "order-1", "door 7")
		time.Sleep(time.Second)
	},
}

// TestSlowServiceKeepsItsCallWithoutSuccessor guards against an unknown outcome of a
// repeatable call whose sound service is slow, when no other service can take the call.
func TestSlowServiceKeepsItsCallWithoutSuccessor(t *testing.T) {
	for name, prepare := range withoutSuccessor {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSiteWith(t, 100_000, []string{"b"}, "a")
				defer time.Sleep(callTimeout)
				defer s.close()
				s.patch("a", "deadline", `{"works":{"records":{"deadline":"14s"}}}`)
				time.Sleep(reportTime)
				prepare(s)
				slow := fake.Stall{For: 9 * time.Second}
				s.services["a"].Inject(slow, slow, slow)
				s.services["b"].Inject(slow, slow, slow)
				start := time.Now()
				got := s.send("a", "/services/records/door/7", "", "")
				if got.status != http.StatusOK || time.Since(start) > 10*time.Second {
					t.Errorf("after %s got response %+v, want status 200 after 9s", time.Since(start), got)
				}
			})
		})
	}
}

// TestSlowCallMovesOnceThereIsASuccessor checks that a call to a silent service is
// repeated at another one, also if the first retry is allowed only after a while.
func TestSlowCallMovesOnceThereIsASuccessor(t *testing.T) {
	for _, spend := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSiteWith(t, 100_000, []string{"b"}, "a")
			defer s.close()
			for spend && s.entries["a"].Server.Pool.Retry() {
			}
			s.services["a"].Inject(fake.Hang{})
			start := time.Now()
			got := s.send("a", "/services/records/door/7", "", "")
			if got.status != http.StatusOK || time.Since(start) > 11*time.Second {
				t.Errorf("retries spent %v: after %s got response %+v, want status 200 within 11s", spend, time.Since(start), got)
			}
			if billed := s.billed(); billed != 10 {
				t.Errorf("retries spent %v: billed %d, want 10", spend, billed)
			}
		})
	}
}

// TestSearchWithoutSuccessorCostsNoRetry guards against a spent retry budget after a slow
// call that no other service could take.
func TestSearchWithoutSuccessorCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer time.Sleep(callTimeout)
		defer s.close()
		s.services["a"].Inject(fake.Stall{For: 9 * time.Second})
		s.send("a", "/services/records/door/7", "", "")
		retries := 0
		for s.entries["a"].Server.Pool.Retry() {
			retries++
		}
		if retries != 5 {
			t.Errorf("%d retries are left after the call, want all 5", retries)
		}
	})
}
