package group

import (
	"context"
	"reflect"
	"testing"

	"github.com/cactusbay/cactusbay/internal/budget"
)

// directLog applies commands to a single group without replication.
type directLog struct {
	group *Group
}

func (l directLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	return l.group.Apply(command), nil
}

func TestSnapshotRestoresWholeState(t *testing.T) {
	g := New(nil)
	commands := []Command{
		PatchConfiguration{ID: "first", Patch: []byte(`{}`)},
		Deposit{ID: "one", Workspace: "north", Tokens: 100},
		OpenEpoch{Epoch: "e", Instance: "control-a", FailureDomain: "a"},
		Draw{Epoch: "e", Workspace: "north", Want: 60},
		Report{Epoch: "e", Counters: map[string]budget.Counters{"north": {Billed: 7}}},
		Claim{Workspace: "north", Key: "k", BodyHash: []byte("h"), Holder: "x"},
		ChangeEvacuation{ID: "order", FailureDomain: "a", Evacuated: true},
	}
	for _, command := range commands {
		result, err := Propose(t.Context(), directLog{group: g}, command)
		if err != nil || result.Code != CodeDone {
			t.Fatalf("%T: %+v, %v", command, result, err)
		}
	}
	data, err := g.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(nil)
	_, changed := restored.Current()
	err = restored.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	<-changed
	// The parsed document is not part of a snapshot. Both states must parse to the
	// same one.
	_, err = restored.Document()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restored.state, g.state) {
		t.Errorf("restored %+v, want %+v", restored.state, g.state)
	}
}

func TestRestoredEmptyStateAppliesCommands(t *testing.T) {
	data, err := New(nil).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g := New(nil)
	err = g.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Propose(t.Context(), directLog{group: g}, Deposit{ID: "one", Workspace: "north", Tokens: 1})
	if err != nil || result.Code != CodeDone {
		t.Errorf("deposit after restoring an empty state: %+v, %v", result, err)
	}
}
