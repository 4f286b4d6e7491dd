package ledger

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// change is one journal record: one of the types below.
type change interface {
	isChange()
}

type epochOpened struct {
	Epoch string `cbor:"1,keyasint"`
}

type reserved struct {
	Reserve Reserve `cbor:"1,keyasint"`
}

type settled struct {
	Settle Settle `cbor:"1,keyasint"`
}

type released struct {
	Release Release `cbor:"1,keyasint"`
}

type granted struct {
	Workspace string `cbor:"1,keyasint"`
	// Granted is the cumulative total in tokens.
	Granted int64 `cbor:"2,keyasint"`
}

func (epochOpened) isChange() {}
func (reserved) isChange()    {}
func (settled) isChange()     {}
func (released) isChange()    {}
func (granted) isChange()     {}

// changeEnvelope carries exactly one change in the journal.
type changeEnvelope struct {
	EpochOpened *epochOpened `cbor:"1,keyasint,omitempty"`
	Reserved    *reserved    `cbor:"2,keyasint,omitempty"`
	Settled     *settled     `cbor:"3,keyasint,omitempty"`
	Released    *released    `cbor:"4,keyasint,omitempty"`
	Granted     *granted     `cbor:"5,keyasint,omitempty"`
}

func encodeChange(c change) ([]byte, error) {
	var e changeEnvelope
	switch c := c.(type) {
	case epochOpened:
		e.EpochOpened = &c
	case reserved:
		e.Reserved = &c
	case settled:
		e.Settled = &c
	case released:
		e.Released = &c
	case granted:
		e.Granted = &c
	default:
		return nil, errors.Newf("unknown change %T", c)
	}
	return peer.Encode(e)
}

func decodeChange(data []byte) (change, error) {
	var e changeEnvelope
	err := peer.Decode(data, &e)
	if err != nil {
		return nil, errors.Newf("decode change: %w", err)
	}
	switch {
	case e.EpochOpened != nil:
		return *e.EpochOpened, nil
	case e.Reserved != nil:
		return *e.Reserved, nil
	case e.Settled != nil:
		return *e.Settled, nil
	case e.Released != nil:
		return *e.Released, nil
	case e.Granted != nil:
		return *e.Granted, nil
	default:
		return nil, errors.New("empty change")
	}
}
