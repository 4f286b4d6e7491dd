// Package test holds system tests that run the whole fleet in one process, over a
// fake network and fake disks, in virtual time.
package test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// reportTime is longer than a ledger takes to report its counters to the control
// group.
const reportTime = 3 * time.Second

// TestPathServesAndBills checks the path without faults: a request through each
// entry is served whole, and the control group counts each bill once.
func TestPathServesAndBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		for _, domain := range s.domains {
			got := s.chat(domain, "", 16)
			if got.status != http.StatusOK || !strings.Contains(got.body, "t15 ") {
				t.Fatalf("domain %s: got %+v, want a complete response", domain, got)
			}
		}
		time.Sleep(reportTime)
		account, _ := s.controls["a"].Group.Account(siteWorkspace)
		if account.Billed() != 3*17 {
			t.Errorf("billed %d, want %d", account.Billed(), 3*17)
		}
	})
}

// TestRetryGetsTheKeptAnswerOnce guards against a second run of a request that must
// run once: a retry under the same idempotency key must get the stored response,
// and another body under the key must be refused.
func TestRetryGetsTheKeptAnswerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		first := s.send("a", "/services/orders/new", "order-1", "door 7")
		second := s.send("a", "/services/orders/new", "order-1", "door 7")
		if first.status != http.StatusOK || first.body != second.body {
			t.Errorf("first response %+v, retry got %+v, want status 200 and the same body", first, second)
		}
		if s.services["a"].Runs("order-1") != 1 {
			t.Errorf("the order ran %d times, want 1", s.services["a"].Runs("order-1"))
		}
		other := s.send("a", "/services/orders/new", "order-1", "door 8")
		if other.status != http.StatusUnprocessableEntity {
			t.Errorf("another body under the same key: got %+v, want status 422", other)
		}
	})
}

// TestBudgetIsNotOverspent guards against requests that are served beyond the
// prepaid tokens: once the budget is used up, the entry must refuse with
// insufficient_budget and a Retry-After header.
func TestBudgetIsNotOverspent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100, "a")
		defer s.close()
		served := 0
		for range 20 {
			got := s.chat("a", "", 16)
			if got.status == http.StatusOK {
				served++
			} else if got.code() != "insufficient_budget" || got.header.Get("Retry-After") == "" {
				t.Errorf("got refusal %+v, want insufficient_budget with Retry-After", got)
			}
		}
		if served*17 > 100 || served == 0 {
			t.Errorf("served %d requests of 17 tokens, want 1 to 5 from a budget of 100", served)
		}
	})
}
