package test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/ledger"
)

// bills returns the bills of an idempotency key at all ledgers.
func (s *site) bills(key string) []ledger.Bill {
	var found []ledger.Bill
	for _, control := range s.controls {
		for _, bill := range control.Ledger.Bills() {
			if bill.Key == key {
				found = append(found, bill)
			}
		}
	}
	return found
}

// TestRetryAttachesToTheRunningRequest guards against a second run when a caller
// retries at another entry while its request is in progress: the retry must wait
// for the response of the first run, under one bill.
func TestRetryAttachesToTheRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		first := make(chan callResponse)
		go func() { first <- s.chat("a", "key", 500) }()
		time.Sleep(300 * time.Millisecond)
		retry := s.chat("b", "key", 500)
		got := <-first
		if got.status != http.StatusOK || retry.body != got.body || retry.header.Get("Cactusbay-Replayed") != "true" {
			t.Errorf("first request got %d, retry %d %s, replayed %q, want 200 and the same body replayed", got.status, retry.status, retry.code(), retry.header.Get("Cactusbay-Replayed"))
		}
		if len(s.bills("key")) != 1 {
			t.Errorf("got bills %+v, want one", s.bills("key"))
		}
	})
}

// TestSettlementOutlivesALostLedger guards against a failed request or a lost bill
// when the ledger that holds the reservation is killed while the engine generates:
// the request must be served, billed once after the ledger restarts, and replayed
// to a retry.
func TestSettlementOutlivesALostLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		first := make(chan callResponse)
		go func() { first <- s.chat("a", "key", 500) }()
		time.Sleep(300 * time.Millisecond)
		s.killControl("a", 0)
		got := <-first
		if got.status != http.StatusOK {
			t.Errorf("got response %d %s, want status 200", got.status, got.code())
		}
		time.Sleep(5 * time.Second)
		s.startControl("a")
		time.Sleep(5 * time.Second)
		bills := s.bills("key")
		if len(bills) != 1 || bills[0].Tokens != 501 {
			t.Errorf("got bills %+v, want one of 501 tokens", bills)
		}
		retry := s.chat("a", "key", 500)
		if retry.body != got.body {
			t.Errorf("the retry got %d %s, want the first response", retry.status, retry.code())
		}
	})
}

// TestRetryAfterAKilledEntryGetsTheAnswerForOneBill guards against a failed retry or
// a second bill when the entry is killed while the engine generates: a retry at
// another entry must get the whole response, and the key must have one bill.
func TestRetryAfterAKilledEntryGetsTheAnswerForOneBill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		first := make(chan callResponse)
		go func() { first <- s.chat("a", "key", 500) }()
		time.Sleep(300 * time.Millisecond)
		s.killEntry("a")
		<-first
		retry := s.chat("b", "key", 500)
		if retry.status != http.StatusOK || !strings.Contains(retry.body, "t499 ") {
			t.Errorf("the retry got %d %s, want a complete response", retry.status, retry.code())
		}
		time.Sleep(5 * time.Minute)
		bills := s.bills("key")
		if len(bills) != 1 || bills[0].Tokens != 501 {
			t.Errorf("got bills %+v, want one of 501 tokens", bills)
		}
		s.startEntry("a")
	})
}
