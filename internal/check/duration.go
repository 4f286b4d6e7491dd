package check

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON decodes a string such as "1m30s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	err := json.Unmarshal(data, &text)
	if err != nil {
		return errors.New(`must be a duration in a string, such as "250ms" or "1m30s"`)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.New(`must be a duration such as "250ms" or "1m30s"`)
	}
	*d = Duration(value)
	return nil
}

// MarshalJSON encodes the duration as a string such as "1m30s".
func (d Duration) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(time.Duration(d).String())
	if err != nil {
		return nil, errors.Newf("encode duration: %w", err)
	}
	return data, nil
}

// Or returns the duration, or fallback if it is nil or zero.
func (d *Duration) Or(fallback time.Duration) time.Duration {
	if d == nil || *d == 0 {
		return fallback
	}
	return time.Duration(*d)
}

// Positive adds a fault if d is set and not above zero.
func (f *Faults) Positive(path string, d *Duration) {
	if d != nil && *d <= 0 {
		f.Add(path, `must be above zero, such as "1s": remove it for the default`)
	}
}
