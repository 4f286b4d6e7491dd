package group

import (
	"slices"
	"testing"
)

// TestQuarantineOutlivesARestart guards against prompts that crash servers being tried
// again after the loss of all entries: the group returns what was added, also from a
// snapshot.
func TestQuarantineOutlivesARestart(t *testing.T) {
	g := New(nil)
	apply := func(g *Group, command ChangeQuarantine) []uint64 {
		data, err := encodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		return g.applyCommand(data).Quarantined
	}
	apply(g, ChangeQuarantine{Add: []uint64{7, 8}})
	apply(g, ChangeQuarantine{Add: []uint64{8, 9}, Remove: []uint64{7}})
	snapshot, err := g.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(nil)
	err = restored.Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	got := apply(restored, ChangeQuarantine{})
	if !slices.Equal(got, []uint64{8, 9}) {
		t.Errorf("in quarantine: %v, want 8 and 9", got)
	}
}

func TestQuarantineIsBounded(t *testing.T) {
	s := newState()
	for segment := range uint64(2 * maxQuarantined) {
		s.changeQuarantine(ChangeQuarantine{Add: []uint64{segment}})
	}
	if len(s.Quarantined) != maxQuarantined || s.Quarantined[0] != maxQuarantined {
		t.Errorf("%d segments from %d on, want %d from %d on", len(s.Quarantined), s.Quarantined[0], maxQuarantined, maxQuarantined)
	}
}
