package test

import (
	"net/http"
	"testing"
	"testing/synctest"
)

// TestAnotherLedgerServesWhenTheNearestIsShort guards against a refusal while the
// budget has tokens: the entry's nearest ledger has no grant and its control
// instance can't reach the control group, so the entry must reserve at another
// ledger.
func TestAnotherLedgerServesWhenTheNearestIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		s.setControlIsolated("a", true)
		defer s.setControlIsolated("a", false)
		got := s.chat("a", "", 16)
		if got.status != http.StatusOK {
			t.Errorf("got response %+v, want status 200", got)
		}
	})
}
