package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Merge applies a JSON merge patch (RFC 7396) and validates the result whole.
func Merge(document, patch []byte) ([]byte, error) {
	if !json.Valid(patch) {
		return nil, errors.New("the patch is not valid JSON")
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, errors.Newf("merge patch: %w", err)
	}
	parsed, err := Parse(merged)
	if err != nil {
		return nil, err
	}
	result, err := json.Marshal(parsed)
	if err != nil {
		return nil, errors.Newf("encode configuration: %w", err)
	}
	return result, nil
}
