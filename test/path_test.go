// Package test holds scenario tests of the whole fleet under virtual time.
package test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// reportTime is longer than a ledger takes to report its counters.
const reportTime = 3 * time.Second

func TestPathServesAndBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		for _, domain := range s.domains {
			got := s.chat(domain, "", 16)
			if got.status != http.StatusOK || !strings.Contains(got.body, "t15 ") {
				t.Fatalf("domain %s: %+v", domain, got)
			}
		}
		time.Sleep(reportTime)
		account, _ := s.controls["a"].Group.Account(siteWorkspace)
		if account.Billed() != 3*17 {
			t.Errorf("billed %d, want %d", account.Billed(), 3*17)
		}
	})
}

func TestRetryGetsTheKeptAnswerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		first := s.send("a", "/services/orders/new", "order-1", "door 7")
		second := s.send("a", "/services/orders/new", "order-1", "door 7")
		if first.status != http.StatusOK || first.body != second.body {
			t.Errorf("first %+v, second %+v", first, second)
		}
		if s.services["a"].Runs("order-1") != 1 {
			t.Errorf("the order ran %d times", s.services["a"].Runs("order-1"))
		}
		other := s.send("a", "/services/orders/new", "order-1", "door 8")
		if other.status != http.StatusUnprocessableEntity {
			t.Errorf("another body under the same key: %+v", other)
		}
	})
}

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
				t.Errorf("refusal %+v", got)
			}
		}
		if served*17 > 100 || served == 0 {
			t.Errorf("served %d requests of 17 tokens out of 100", served)
		}
	})
}
