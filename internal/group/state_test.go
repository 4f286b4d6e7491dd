package group

import (
	"strconv"
	"testing"

	"github.com/cactusbay/cactusbay/internal/budget"
)

// inconsistentAccount returns an account whose deposits differ from the sum of
// its pool and grants, so that every change of it is refused.
func inconsistentAccount() budget.Account {
	return budget.Account{
		Deposited: 1000,
		Pool:      500,
		Grants:    map[string]budget.Grant{"open": {Granted: 100}},
	}
}

func TestRefusedCommandLeavesAccountUnchanged(t *testing.T) {
	commands := map[string]Command{
		"draw":   Draw{Epoch: "open", Workspace: "north", KnownGrant: 100, Want: 50},
		"report": Report{Epoch: "open", Counters: map[string]budget.Counters{"north": {Billed: 10}}},
	}
	for name, command := range commands {
		t.Run(name, func(t *testing.T) {
			s := newState()
			s.Epochs["open"] = Epoch{Instance: "control-a"}
			s.Accounts["north"] = inconsistentAccount()
			s.apply(command, nil)
			got := s.Accounts["north"].Grants["open"]
			if got != (budget.Grant{Granted: 100}) {
				t.Errorf("a refused %s changed the grant to %+v", name, got)
			}
		})
	}
}

func TestClaimHasOneHolderWhoAloneAbandonsIt(t *testing.T) {
	s := newState()
	claim := func(holder, body string) Result {
		return s.apply(Claim{Workspace: "north", Key: "order", BodyHash: []byte(body), Holder: holder}, nil)
	}
	abandon := func(holder string) Result {
		return s.apply(AbandonClaim{Workspace: "north", Key: "order", Holder: holder}, nil)
	}
	steps := []struct {
		name string
		got  Result
		want Code
	}{
		{"abandon before the claim", abandon("early"), CodeDone},
		{"late claim of an abandoned attempt", claim("early", "body"), CodeHeld},
		{"first", claim("first", "body"), CodeDone},
		{"resend", claim("first", "body"), CodeDone},
		{"second holder", claim("second", "body"), CodeHeld},
		{"another body", claim("first", "other"), CodeIDReused},
		{"abandon by another", abandon("second"), CodeDone},
		{"still held", claim("third", "body"), CodeHeld},
		{"abandon", abandon("first"), CodeDone},
		{"resend after the abandon", claim("first", "body"), CodeHeld},
		{"retry", claim("fourth", "body"), CodeDone},
	}
	for _, step := range steps {
		if step.got.Code != step.want {
			t.Errorf("%s: %s, want %s", step.name, step.got.Code, step.want)
		}
	}
}

// TestSnapshotRestoresManyAccounts guards against a snapshot that cannot be
// read back: it has more accounts than the codec accepts in one map by default.
func TestSnapshotRestoresManyAccounts(t *testing.T) {
	const count = 140_000
	g := New(nil)
	for i := range count {
		g.state.Accounts[strconv.Itoa(i)] = budget.Account{Deposited: 1, Pool: 1}
	}
	data, err := g.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(nil)
	err = restored.Restore(data)
	if err != nil || len(restored.state.Accounts) != count {
		t.Errorf("restored %d accounts with error %v, want all", len(restored.state.Accounts), err)
	}
}
