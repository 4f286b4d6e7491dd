package config

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestFailureDomainsAreReplacedAsByAPatch guards against control instances and entries
// whose documents differ after an evacuation: a control instance replaces the section of
// the encoded document, and an entry applies the merge patch.
func TestFailureDomainsAreReplacedAsByAPatch(t *testing.T) {
	names := []string{"a", "zone <1> \"x\"", "failure_domains", "e\u00e9"}
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.SampledFrom([]string{
			`{}`,
			`{"release":7,"upstreams":{"failure_domains":{}}}`,
			`{"failure_domains":{"b":{}},"limits":{"body_bytes":3},"upstreams":{"a":{"health_path":"/<x>"}}}`,
		}).Draw(t, "start")
		data, document, err := Apply([]byte(start), nil)
		if err != nil {
			t.Fatal(err)
		}
		current := Encoded{JSON: data}
		if rapid.Bool().Draw(t, "parsed") {
			current.Document = document
		}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			before, err := current.FailureDomains()
			if err != nil {
				t.Fatal(err)
			}
			after := make(map[string]FailureDomain)
			patch := make(map[string]any)
			for name := range before {
				patch[name] = nil
			}
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "names") {
				after[name] = FailureDomain{Evacuated: rapid.Bool().Draw(t, "evacuated")}
				patch[name] = map[string]any{"evacuated": after[name].Evacuated}
			}
			encodedPatch, err := json.Marshal(map[string]any{"failure_domains": patch})
			if err != nil {
				t.Fatal(err)
			}
			want, _, err := Apply(current.JSON, [][]byte{encodedPatch})
			if err != nil {
				t.Fatal(err)
			}
			next, err := current.WithFailureDomains(after)
			if err != nil || string(next.JSON) != string(want) {
				t.Fatalf("failure domains %v in %s: got %s, %v, want %s", after, current.JSON, next.JSON, err, want)
			}
			if next.Document != nil {
				encoded, err := json.Marshal(next.Document)
				if err != nil || string(encoded) != string(want) {
					t.Fatalf("the parsed document encodes to %s, %v, want %s", encoded, err, want)
				}
			}
			current = next
		}
	})
}

// TestFailureDomainNamesAreBounded guards against names of any length in a document that
// every instance keeps.
func TestFailureDomainNamesAreBounded(t *testing.T) {
	for name, valid := range map[string]bool{"": false, "a": true, "eu west/1": true, string(make([]byte, maxNameBytes+1)): false, "\xff": false} {
		if IsFailureDomainName(name) != valid {
			t.Errorf("%q: got valid %v, want %v", name, !valid, valid)
		}
	}
}
