package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestMerge applies the patches in testdata/merge in order. A refused patch
// leaves the document unchanged.
func TestMerge(t *testing.T) {
	document := []byte("{}")
	datadriven.RunTest(t, "testdata/merge", func(_ *testing.T, d *datadriven.TestData) string {
		merged, err := MergeAll(document, [][]byte{[]byte(d.Input)})
		if err != nil {
			return "refused: " + err.Error() + "\n"
		}
		document = merged
		return string(merged) + "\n"
	})
}

func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/configuration.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no example configurations found: %v", err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(data)
		if err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestWorkspaceOfMatchesOnlyItsOwnKey(t *testing.T) {
	document := &Document{Workspaces: map[string]Workspace{
		"one": {KeyHashes: []string{HashKey("key-one")}},
		"two": {KeyHashes: []string{HashKey("key-two")}},
	}}
	name, found := document.WorkspaceOf("key-two")
	if !found || name != "two" {
		t.Errorf("workspace of key-two: got %q, %v, want two", name, found)
	}
	_, found = document.WorkspaceOf(strings.Repeat("x", 10))
	if found {
		t.Error("an unknown key was accepted")
	}
}
