// Package peer carries calls between the fleet's own processes: connect
// unary calls with CBOR messages.
package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// codecName is the content subtype of every message.
const codecName = "cbor"

type codec struct{}

func (codec) Name() string {
	return codecName
}

func (codec) Marshal(message any) ([]byte, error) {
	return Encode(message)
}

func (codec) Unmarshal(data []byte, message any) error {
	return Decode(data, message)
}

// Encode returns message in CBOR.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Newf("encode message: %w", err)
	}
	return data, nil
}

// Decode reads CBOR into message.
func Decode(data []byte, message any) error {
	err := cbor.Unmarshal(data, message)
	if err != nil {
		return errors.Newf("decode message: %w", err)
	}
	return nil
}
