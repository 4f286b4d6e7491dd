package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse checks that Parse reports every fault of the settings in
// testdata/parse.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		_, err := Parse([]byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

func TestExamplesAreValid(t *testing.T) {
	for _, pattern := range []string{"entry-*.json", "control-*.json"} {
		paths, err := filepath.Glob("../../examples/*/" + pattern)
		if err != nil || len(paths) == 0 {
			t.Fatalf("no examples match %s: %v", pattern, err)
		}
		for _, path := range paths {
			_, err := Load(path)
			if err != nil {
				t.Errorf("%v", err)
			}
		}
	}
}

// TestEmptyOrIncompleteFileIsAClearError guards against an instance that starts with defaults,
// or fails without naming its settings file, because the file was not written completely.
func TestEmptyOrIncompleteFileIsAClearError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry-0.json")
	for content, want := range map[string]string{
		"":                       "is not valid JSON: EOF",
		`{"instance_id": "entr`:  "is not valid JSON: unexpected EOF",
		`{"instance_id": "e-0",`: "is not valid JSON: unexpected EOF",
	} {
		err := os.WriteFile(path, []byte(content), 0o600)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Load(path)
		if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with the path and %q", content, err, want)
		}
	}
}

func TestSecretIsReadFromTheEnvironment(t *testing.T) {
	t.Setenv("CACTUSBAY_TEST_SECRET", "value")
	got, err := (&Secret{Environment: "CACTUSBAY_TEST_SECRET"}).Read()
	if err != nil || got != "value" {
		t.Errorf("got %q, %v, want \"value\"", got, err)
	}
	_, err = (&Secret{Environment: "CACTUSBAY_TEST_MISSING"}).Read()
	if err == nil {
		t.Error("reading an unset environment variable succeeded, want an error")
	}
}
