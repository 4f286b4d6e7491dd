package test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/ledger"
)

// bills returns all ledgers' bills of a key.
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
			t.Errorf("first %d, retry %d %s, replayed %q", got.status, retry.status, retry.code(), retry.header.Get("Cactusbay-Replayed"))
		}
		if len(s.bills("key")) != 1 {
			t.Errorf("bills %+v", s.bills("key"))
		}
	})
}

// TestSettlementOutlivesALostLedger loses the ledger while the answer is being
// generated.
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
			t.Errorf("got %d %s", got.status, got.code())
		}
		time.Sleep(5 * time.Second)
		s.startControl("a")
		time.Sleep(5 * time.Second)
		bills := s.bills("key")
		if len(bills) != 1 || bills[0].Tokens != 501 {
			t.Errorf("bills %+v, want one of 501", bills)
		}
		retry := s.chat("a", "key", 500)
		if retry.body != got.body {
			t.Errorf("the retry got %d %s", retry.status, retry.code())
		}
	})
}

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
			t.Errorf("the retry got %d %s", retry.status, retry.code())
		}
		time.Sleep(5 * time.Minute)
		bills := s.bills("key")
		if len(bills) != 1 || bills[0].Tokens != 501 {
			t.Errorf("bills %+v, want one of 501", bills)
		}
		s.startEntry("a")
	})
}
