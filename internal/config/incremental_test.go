package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// genPatch returns a random merge patch of a small document. Some patches are
// invalid or name nothing that exists.
func genPatch(t *rapid.T) []byte {
	name := func(label string) string {
		return rapid.SampledFrom([]string{"a", "b", "c", "d", "no name"}).Draw(t, label)
	}
	value := func() any {
		switch rapid.IntRange(0, 12).Draw(t, "value") {
		case 0:
			return nil
		case 1:
			return 5
		case 2:
			return map[string]any{"address": fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(1, 4).Draw(t, "address")), "failure_domain": "a", "kind": "model"}
		case 3:
			return map[string]any{"state": rapid.SampledFrom([]any{"leaving", nil, "x"}).Draw(t, "state")}
		case 4:
			return map[string]any{"kind": "model", "model": "m", "backend_servers": []string{name("server")}, "deadline": "2s"}
		case 5:
			return map[string]any{"work": name("work")}
		case 6:
			return map[string]any{"key_hashes": []string{HashKey(name("key"))}, "works": []string{name("work")}, "budget": 10}
		case 7:
			return map[string]any{"weight": 3, "budget": nil, "nested": map[string]any{"x": nil}}
		case 8:
			return map[string]any{"body_bytes": rapid.IntRange(-1, 2).Draw(t, "bytes"), "idle_timeout": rapid.SampledFrom([]any{"3s", nil}).Draw(t, "idle")}
		case 9:
			return map[string]any{"host": "a", "path_prefix": "/", "repetition": "once", "timeout": "1s", "upstreams": []any{map[string]any{"upstream": "a", "weight": 1}}}
		case 10:
			return map[string]any{"engine": map[string]any{"slots": 3, "cache_tokens": nil}}
		case 11:
			return map[string]any{"evacuated": rapid.SampledFrom([]any{true, false, nil, 1}).Draw(t, "evacuated")}
		default:
			return map[string]any{}
		}
	}
	patch := make(map[string]any)
	for range rapid.IntRange(0, 2).Draw(t, "sections") {
		section := rapid.SampledFrom([]string{"workspaces", "backend_servers", "works", "routes", "host_routes", "upstreams", "limits", "failure_domains", "release", "unknown"}).Draw(t, "section")
		if section == "limits" || section == "release" || rapid.IntRange(0, 9).Draw(t, "whole") == 0 {
			patch[section] = value()
			continue
		}
		entries := map[string]any{name("entry"): value()}
		if section == "host_routes" {
			entries = map[string]any{"a/": value()}
		}
		patch[section] = entries
	}
	data, err := json.Marshal(patch)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Control instances replicate patches and compare documents by their checksum, also
// with instances that apply a patch to the whole document. Both ways must accept the
// same patches and return the same bytes and errors.
func TestPatchesOfEntriesAgreeWithWholeDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := `{"backend_servers":{"a":{"address":"10.0.0.1:1","failure_domain":"a","kind":"model"}},"works":{"a":{"kind":"model","model":"m","backend_servers":["a"]}},"upstreams":{"a":{}}}`
		data, document, err := Apply([]byte(start), nil)
		if err != nil {
			t.Fatal(err)
		}
		current := Encoded{Document: document, JSON: data}
		for range rapid.IntRange(1, 12).Draw(t, "patches") {
			patches := [][]byte{genPatch(t)}
			if rapid.Bool().Draw(t, "two") {
				patches = append(patches, genPatch(t))
			}
			before := string(current.JSON)
			whole, _, wholeErr := Apply(current.JSON, patches)
			next, err := current.Apply(patches)
			if fmt.Sprint(err) != fmt.Sprint(wholeErr) {
				t.Fatalf("patches %s of %s: error %v, want %v", patches, before, err, wholeErr)
			}
			unchanged, marshalErr := json.Marshal(current.Document)
			if marshalErr != nil || string(unchanged) != before {
				t.Fatalf("patches %s changed the document that they were applied to: %s, want %s", patches, unchanged, before)
			}
			if err != nil {
				continue
			}
			if string(next.JSON) != string(whole) {
				t.Fatalf("patches %s of %s: got %s, want %s", patches, before, next.JSON, whole)
			}
			current = next
		}
	})
}
