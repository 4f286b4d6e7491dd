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
	apply := func(g *Group, command ChangeQuarantine) Result {
		data, err := encodeCommand(command)
		if err != nil {
			t.Fatal(err)
		}
		return g.applyCommand(data)
	}
	apply(g, ChangeQuarantine{Add: []uint64{7, 8}, AddRequests: []uint64{1, 2}})
	apply(g, ChangeQuarantine{Add: []uint64{8, 9}, Remove: []uint64{7}, AddRequests: []uint64{3}, RemoveRequests: []uint64{2}})
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
	if !slices.Equal(got.Quarantined, []uint64{8, 9}) || !slices.Equal(got.QuarantinedRequests, []uint64{1, 3}) {
		t.Errorf("in quarantine: segments %v and requests %v, want 8, 9 and 1, 3", got.Quarantined, got.QuarantinedRequests)
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
