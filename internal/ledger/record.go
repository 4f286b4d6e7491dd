package ledger

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// change is the content of one journal record: one of the types below. Times
// are in milliseconds since the Unix epoch.
type change interface {
	isChange()
}

// epochOpened starts the ledger's epoch.
type epochOpened struct {
	Epoch string `cbor:"1,keyasint"`
}

// reserved reserves tokens for an attempt.
type reserved struct {
	Reserve Reserve `cbor:"1,keyasint"`
	At      int64   `cbor:"2,keyasint,omitempty"`
	// VoidPrevious voids the bill of the key's previous attempt, whose response
	// was lost.
	VoidPrevious bool `cbor:"3,keyasint,omitempty"`
}

// settled bills an attempt.
type settled struct {
	Settle Settle `cbor:"1,keyasint"`
	At     int64  `cbor:"2,keyasint,omitempty"`
	// ResultUnknown marks a bill of the whole reservation, made because the
	// backend server did not report what the attempt did.
	ResultUnknown bool `cbor:"3,keyasint,omitempty"`
}

// released ends a reservation without a bill, or abandons an attempt that has
// no reservation.
type released struct {
	Release Release `cbor:"1,keyasint"`
	At      int64   `cbor:"2,keyasint,omitempty"`
	// RestoreBill restores the bill that the reservation voided.
	RestoreBill bool `cbor:"3,keyasint,omitempty"`
}

// granted records a grant of the control group.
type granted struct {
	Workspace string `cbor:"1,keyasint"`
	// Granted is the cumulative total in tokens.
	Granted int64 `cbor:"2,keyasint"`
}

// returned gives tokens of the grant back to the pool.
type returned struct {
	Workspace string `cbor:"1,keyasint"`
	Tokens    int64  `cbor:"2,keyasint"`
}

// deposited records a deposit that this ledger accepted.
type deposited struct {
	Deposit Deposit `cbor:"1,keyasint"`
}

// lost marks an attempt whose entry ended or that was open for too long.
type lost struct {
	Attempt Release `cbor:"1,keyasint"`
	At      int64   `cbor:"2,keyasint"`
}

// voided voids the bill of an attempt because another ledger billed the same
// key.
type voided struct {
	Attempt Release `cbor:"1,keyasint"`
}

// expired drops the records that ended before a time.
type expired struct {
	Before int64 `cbor:"1,keyasint"`
}

func (epochOpened) isChange() {}
func (reserved) isChange()    {}
func (settled) isChange()     {}
func (released) isChange()    {}
func (granted) isChange()     {}
func (returned) isChange()    {}
func (deposited) isChange()   {}
func (lost) isChange()        {}
func (voided) isChange()      {}
func (expired) isChange()     {}

// changeEnvelope is the encoding of a change. Exactly one field is set.
type changeEnvelope struct {
	EpochOpened *epochOpened `cbor:"1,keyasint,omitempty"`
	Reserved    *reserved    `cbor:"2,keyasint,omitempty"`
	Settled     *settled     `cbor:"3,keyasint,omitempty"`
	Released    *released    `cbor:"4,keyasint,omitempty"`
	Granted     *granted     `cbor:"5,keyasint,omitempty"`
	Returned    *returned    `cbor:"6,keyasint,omitempty"`
	Deposited   *deposited   `cbor:"7,keyasint,omitempty"`
	Lost        *lost        `cbor:"10,keyasint,omitempty"`
	Voided      *voided      `cbor:"11,keyasint,omitempty"`
	Expired     *expired     `cbor:"12,keyasint,omitempty"`
}

// encodeChange returns the payload of the journal record of a change.
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
	case returned:
		e.Returned = &c
	case deposited:
		e.Deposited = &c
	case lost:
		e.Lost = &c
	case voided:
		e.Voided = &c
	case expired:
		e.Expired = &c
	default:
		return nil, errors.Newf("unknown change %T", c)
	}
	return peer.Encode(e)
}

// decodeChange is the inverse of encodeChange.
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
	case e.Returned != nil:
		return *e.Returned, nil
	case e.Deposited != nil:
		return *e.Deposited, nil
	case e.Lost != nil:
		return *e.Lost, nil
	case e.Voided != nil:
		return *e.Voided, nil
	case e.Expired != nil:
		return *e.Expired, nil
	default:
		return nil, errors.New("empty change")
	}
}
