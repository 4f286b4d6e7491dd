package test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/pkg/operator"
)

// closeEpoch closes a ledger's epoch. It repeats a failed command for 30 seconds,
// because the control group refuses commands while it elects a leader.
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

// TestLostLedgerStaysInDoubtUntilReleased guards against the return of a lost
// ledger's grant while its epoch may still spend tokens: after the disk is lost,
// the grant must stay in doubt until an operator closes the epoch and releases
// it, and tokens already billed must stay billed.
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
			t.Error("release of an open epoch's grant succeeded, want an error")
		}
		s.killControl("c", 0)
		for range 2 {
			closeEpoch(t, client, epoch)
		}
		time.Sleep(time.Second)
		before, _ := s.controls["a"].Group.Account(siteWorkspace)
		moved, err := client.Release(t.Context(), operator.Release{ID: "release", Epoch: epoch, Workspace: siteWorkspace})
		if err != nil || moved.Tokens != before.InDoubt() {
			t.Errorf("release moved %+v, %v, want the %d tokens in doubt", moved, err, before.InDoubt())
		}
		time.Sleep(time.Second)
		after, _ := s.controls["a"].Group.Account(siteWorkspace)
		if after.InDoubt() != 0 || after.Billed() != 17 || after.Check() != nil {
			text, _ := json.Marshal(after)
			t.Errorf("account %s, want 17 tokens billed, none in doubt and a passing check", text)
		}
		s.startControl("c")
	})
}
