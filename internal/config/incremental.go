package config

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
)

// errWhole means that a patch must be applied to the whole document.
var errWhole = errors.New("the patch cannot be applied to single entries")

// Encoded is a valid document with its encoding, as Apply returns it.
type Encoded struct {
	// Document is nil if the encoding has not been parsed.
	Document *Document
	JSON     []byte
}

// Apply applies JSON merge patches in order. Of a parsed document it decodes and
// encodes only the entries that the patches name, and otherwise the whole one; the
// result is the same. The receiver is not changed.
func (e Encoded) Apply(patches [][]byte) (Encoded, error) {
	if e.Document != nil && len(patches) > 0 {
		result, err := e.applyToEntries(patches)
		if err == nil {
			return result, nil
		}
	}
	data, document, err := Apply(e.JSON, patches)
	if err != nil {
		return Encoded{}, err
	}
	return Encoded{Document: document, JSON: data}, nil
}

// applyToEntries returns an error if the patches must be applied to the whole document,
// which also says what is wrong with an invalid result.
func (e Encoded) applyToEntries(patches [][]byte) (Encoded, error) {
	document := *e.Document
	for _, patch := range patches {
		err := document.patch(patch)
		if err != nil {
			return Encoded{}, err
		}
	}
	if !document.isValid() {
		return Encoded{}, errWhole
	}
	data, err := json.Marshal(&document)
	if err != nil {
		return Encoded{}, errors.Newf("encode configuration: %w", err)
	}
	return Encoded{Document: &document, JSON: data}, nil
}

// patch applies a merge patch. It replaces the maps that it changes, which other
// documents may share.
func (d *Document) patch(patch []byte) error {
	var sections map[string]json.RawMessage
	err := json.Unmarshal(patch, &sections)
	if err != nil || sections == nil {
		return errWhole
	}
	for name, section := range sections {
		err := d.patchSection(name, section)
		if err != nil {
			return err
		}
	}
	return nil
}

// patchSection applies the part of a merge patch for one field of the document.
func (d *Document) patchSection(name string, patch json.RawMessage) error {
	switch name {
	case "release":
		return patchValue(&d.Release, patch)
	case "workspaces":
		return patchEntries(&d.Workspaces, patch)
	case "backend_servers":
		return patchEntries(&d.BackendServers, patch)
	case "works":
		return patchEntries(&d.Works, patch)
	case "routes":
		return patchEntries(&d.Routes, patch)
	case "host_routes":
		return patchEntries(&d.HostRoutes, patch)
	case "upstreams":
		return patchEntries(&d.Upstreams, patch)
	case "limits":
		return patchValue(&d.Limits, patch)
	case "failure_domains":
		return patchEntries(&d.FailureDomains, patch)
	default:
		return errWhole
	}
}

// patchEntries applies a merge patch to a copy of a map of named entries, and
// replaces the map with it.
func patchEntries[V any](entries *map[string]V, patch json.RawMessage) error {
	var patches map[string]json.RawMessage
	err := json.Unmarshal(patch, &patches)
	if err != nil || patches == nil {
		return errWhole
	}
	patched := maps.Clone(*entries)
	if patched == nil {
		patched = make(map[string]V, len(patches))
	}
	for name, patch := range patches {
		if isNull(patch) {
			delete(patched, name)
			continue
		}
		entry := patched[name]
		err := patchValue(&entry, patch)
		if err != nil {
			return err
		}
		patched[name] = entry
	}
	*entries = patched
	return nil
}

// patchValue applies a merge patch to one value. It decodes the result into a new
// value, which shares nothing with the old one.
func patchValue[V any](value *V, patch json.RawMessage) error {
	merged := []byte(patch)
	if bytes.HasPrefix(bytes.TrimSpace(patch), []byte("{")) {
		encoded, err := json.Marshal(*value)
		if err != nil {
			return errors.Newf("encode value: %w", err)
		}
		merged, err = mergePatch(encoded, patch)
		if err != nil {
			return err
		}
	}
	if isNull(merged) {
		return errWhole
	}
	var patched V
	faults := &check.Faults{}
	check.Decode(merged, &patched, faults)
	err := faults.Err()
	if err != nil {
		return err
	}
	*value = patched
	return nil
}

func isNull(value []byte) bool {
	return string(bytes.TrimSpace(value)) == "null"
}
