package group_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cactusbay/cactusbay/internal/group"
)

func newLog() *replicatedLog {
	return &replicatedLog{groups: []*group.Group{group.New(nil)}, paused: make(map[int][][]byte)}
}

func TestPatchIsIdempotentByID(t *testing.T) {
	f := &fleet{t: t, replicatedLog: newLog()}
	steps := []struct {
		id      string
		against uint64
		patch   string
		code    group.Code
		version uint64
	}{
		{"a", 0, `{"limits":{"body_bytes":1}}`, group.CodeDone, 1},
		{"b", 0, `{"limits":{"body_bytes":2}}`, group.CodeConflict, 1},
		{"c", 7, `{"limits":{"body_bytes":2}}`, group.CodeConflict, 1},
		{"d", 1, `{"limits":{"body_bytes":3}}`, group.CodeDone, 2},
		// A resend gets the first result, even if that was a conflict.
		{"a", 0, `{"limits":{"body_bytes":1}}`, group.CodeDone, 1},
		{"b", 0, `{"limits":{"body_bytes":2}}`, group.CodeConflict, 1},
		{"c", 7, `{"limits":{"body_bytes":2}}`, group.CodeConflict, 1},
		{"a", 0, `{"limits":{"body_bytes":9}}`, group.CodeIDReused, 2},
		{"b", 2, `{"limits":{"body_bytes":2}}`, group.CodeIDReused, 2},
		{"e", 2, `{"limits":{"body_bytes":-1,"queued_requests":-1}}`, group.CodeInvalid, 2},
		{"f", 2, `null`, group.CodeInvalid, 2},
		{"g", 2, `[]`, group.CodeInvalid, 2},
		{"h", 2, `{"limits":`, group.CodeInvalid, 2},
		{"", 2, `{}`, group.CodeInvalid, 2},
	}
	for i, step := range steps {
		result := f.propose(step.id, step.against, step.patch)
		if result.Code != step.code || result.Version != step.version {
			t.Errorf("step %d: %+v, want %s and version %d", i, result, step.code, step.version)
		}
	}
	current, _ := f.replicatedLog.groups[0].Current()
	if string(current.Document) != `{"limits":{"body_bytes":3}}` {
		t.Errorf("document %s, want that of step d", current.Document)
	}
}

func TestInvalidPatchReportsEveryFault(t *testing.T) {
	f := &fleet{t: t, replicatedLog: newLog()}
	result := f.propose("a", 0, `{"limits":{"body_bytes":-1,"queued_requests":-1},"colour":1,"workspaces":{"a/b":{"key_hashes":["AB"]}}}`)
	for _, path := range []string{"limits.body_bytes", "limits.queued_requests", "colour", "workspaces.a/b:", "workspaces.a/b.key_hashes"} {
		if !strings.Contains(result.Detail, path) {
			t.Errorf("no fault for %s in %q", path, result.Detail)
		}
	}
}

func TestHistoryIsBoundedAndRebuildsVersions(t *testing.T) {
	const changes = 6000
	f := &fleet{t: t, replicatedLog: newLog()}
	for n := 1; n <= changes; n++ {
		f.patch(n)
	}
	g := f.replicatedLog.groups[0]
	oldest := g.OldestVersion()
	if oldest == 0 || changes-oldest > 4096 {
		t.Errorf("oldest version %d of %d, want one of the last 4096 and not 0", oldest, changes)
	}
	for _, n := range []uint64{oldest, oldest + 1, oldest + 700, changes - 1, changes} {
		version, err := g.Version(n)
		want := fmt.Sprintf(`{"limits":{"body_bytes":%d}}`, n)
		if err != nil || string(version.Document) != want {
			t.Errorf("rebuilt version %d: got %s and error %v, want the document of that version", n, version.Document, err)
		}
	}
	for _, n := range []uint64{oldest - 1, changes + 1} {
		_, err := g.Version(n)
		if !errors.Is(err, group.ErrNoVersion) {
			t.Errorf("version %d outside the history: %v, want ErrNoVersion", n, err)
		}
	}
	diff, err := g.Diff(changes-9, changes)
	if err != nil || string(diff) != fmt.Sprintf(`{"limits":{"body_bytes":%d}}`, changes) {
		t.Errorf("diff of the last versions: got %s and error %v, want the body_bytes of the newest version", diff, err)
	}
}

// TestDroppedResultDoesNotReapplyPatch resends a patch after so many others
// that its stored result was dropped. Its base version is outdated by then, so
// it must be refused rather than applied a second time.
func TestDroppedResultDoesNotReapplyPatch(t *testing.T) {
	f := &fleet{t: t, replicatedLog: newLog()}
	f.patch(1)
	for n := range 17_000 {
		f.propose(fmt.Sprintf("stale%d", n), 0, `{}`)
	}
	result := f.propose("p1", 0, `{"limits":{"body_bytes":1}}`)
	if result.Code != group.CodeConflict || result.Version != 1 {
		t.Errorf("%+v", result)
	}
}
