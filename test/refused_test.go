package test

import (
	"net/http"
	"testing"
	"testing/synctest"
)

// TestAnotherLedgerServesWhenTheNearestIsShort isolates a control instance
// whose ledger was granted nothing yet: its failure domain's entry reaches the
// other ledgers, whose budget has room.
func TestAnotherLedgerServesWhenTheNearestIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		s.setControlIsolated("a", true)
		defer s.setControlIsolated("a", false)
		got := s.chat("a", "", 16)
		if got.status != http.StatusOK {
			t.Errorf("answer %+v", got)
		}
	})
}
