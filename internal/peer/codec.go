// Package peer implements calls between the fleet's processes: unary Connect
// calls with CBOR messages.
package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// codecName is the content subtype of every message, as in application/cbor.
const codecName = "cbor"

// maxElements limits the elements of one array or map in a message or a snapshot.
// MaxMessageBytes limits a message as a whole.
const maxElements = 1 << 24

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// codec implements connect.Codec with CBOR.
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

// Encode returns message encoded as CBOR.
func Encode(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Newf("encode message: %w", err)
	}
	return data, nil
}

// Decode decodes CBOR data into message, which must be a pointer.
func Decode(data []byte, message any) error {
	err := decMode.Unmarshal(data, message)
	if err != nil {
		return errors.Newf("decode message: %w", err)
	}
	return nil
}
