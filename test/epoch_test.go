package test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/pkg/operator"
)

// closeEpoch sends the command again while the control group elects a leader,
// as its refusal asks.
func closeEpoch(t *testing.T, client *operator.Client, epoch string) {
	t.Helper()
	end := time.Now().Add(30 * time.Second)
	err := client.CloseEpoch(t.Context(), epoch)
	for err != nil && time.Now().Before(end) {
		time.Sleep(time.Second)
		err = client.CloseEpoch(t.Context(), epoch)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestLostLedgerStaysInDoubtUntilReleased replaces a ledger's disk: its grant
// comes back by an operator's decision only, and bills stay.
func TestLostLedgerStaysInDoubtUntilReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		s.chat("c", "key", 16)
		time.Sleep(reportTime)
		epoch := s.controls["c"].Ledger.Epoch()
		http := transport.Client(s.network.Host("operator"))
		defer http.CloseIdleConnections()
		client := &operator.Client{Address: s.settings["control-a"].OperatorAddress, Key: siteOperatorKey, HTTP: http}
		_, err := client.Release(t.Context(), operator.Release{ID: "early", Epoch: epoch, Workspace: siteWorkspace})
		if err == nil {
			t.Error("the grant of an open epoch was released")
		}
		s.killControl("c", 0)
		for range 2 {
			closeEpoch(t, client, epoch)
		}
		time.Sleep(time.Second)
		before, _ := s.controls["a"].Group.Account(siteWorkspace)
		moved, err := client.Release(t.Context(), operator.Release{ID: "release", Epoch: epoch, Workspace: siteWorkspace})
		if err != nil || moved.Tokens != before.InDoubt() {
			t.Errorf("moved %+v, %v, in doubt before %d", moved, err, before.InDoubt())
		}
		time.Sleep(time.Second)
		after, _ := s.controls["a"].Group.Account(siteWorkspace)
		if after.InDoubt() != 0 || after.Billed() != 17 || after.Check() != nil {
			text, _ := json.Marshal(after)
			t.Errorf("account %s", text)
		}
		s.startControl("c")
	})
}
