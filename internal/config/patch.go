package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// checksumBytes is the length of a checksum.
const checksumBytes = 8

// MergeAll applies JSON merge patches (RFC 7396) in order and validates only the final
// result. It returns the encoded result, or an error that lists every fault of an
// invalid one.
func MergeAll(document []byte, patches [][]byte) ([]byte, error) {
	result, _, err := Apply(document, patches)
	return result, err
}

// Apply does the same as MergeAll and also returns the parsed document.
func Apply(document []byte, patches [][]byte) ([]byte, *Document, error) {
	merged := document
	for _, patch := range patches {
		next, err := mergePatch(merged, patch)
		if err != nil {
			return nil, nil, err
		}
		merged = next
	}
	parsed, err := Parse(merged)
	if err != nil {
		return nil, nil, err
	}
	result, err := json.Marshal(parsed)
	if err != nil {
		return nil, nil, errors.Newf("encode configuration: %w", err)
	}
	return result, parsed, nil
}

func mergePatch(document, patch []byte) ([]byte, error) {
	if !json.Valid(patch) {
		return nil, errors.New("the patch is not valid JSON")
	}
	if !bytes.HasPrefix(bytes.TrimSpace(patch), []byte("{")) {
		return nil, errors.New("the patch must be a JSON object")
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, errors.Newf("merge patch: %w", err)
	}
	return merged, nil
}

// Diff returns the JSON merge patch from one document to another.
func Diff(from, to []byte) (json.RawMessage, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil, errors.Newf("compare configurations: %w", err)
	}
	return patch, nil
}

// Checksum returns a short hash of a document, to compare two copies of it.
func Checksum(document []byte) []byte {
	sum := sha256.Sum256(document)
	return sum[:checksumBytes]
}
