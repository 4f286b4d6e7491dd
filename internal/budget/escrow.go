package budget

import "github.com/cockroachdb/errors"

// Escrow is a ledger's own view of its part of one workspace's budget, in
// tokens. Granted, Returned, Deposited, Billed and Voided are cumulative.
type Escrow struct {
	Granted   int64 `cbor:"1,keyasint,omitempty" json:"granted"`
	Returned  int64 `cbor:"2,keyasint,omitempty" json:"returned"`
	Deposited int64 `cbor:"3,keyasint,omitempty" json:"deposited"`
	Billed    int64 `cbor:"4,keyasint,omitempty" json:"billed"`
	Reserved  int64 `cbor:"5,keyasint,omitempty" json:"reserved"`
	// Voided is the cumulative total of bills that were taken back.
	Voided int64 `cbor:"10,keyasint,omitempty" json:"voided"`
	// Borrowed is what other holders lent and is not spent yet. Bills are paid
	// out of it first and count in Billed only beyond it.
	Borrowed int64 `cbor:"11,keyasint,omitempty" json:"borrowed,omitempty"`
	// Lent is the cumulative part of Billed that went to other holders.
	Lent int64 `cbor:"12,keyasint,omitempty" json:"lent,omitempty"`
}

// Available returns the tokens that may still be reserved.
func (e Escrow) Available() int64 {
	return e.Granted + e.Deposited + e.Voided + e.Borrowed - e.Returned - e.Billed - e.Reserved
}

// Counters returns the totals to report to the group.
func (e Escrow) Counters() Counters {
	return Counters{
		Returned:  e.Returned,
		Deposited: e.Deposited,
		Billed:    e.Billed,
		Reserved:  e.Reserved,
		Voided:    e.Voided,
	}
}

// Reserve sets tokens aside, or returns false when too few are available.
func (e *Escrow) Reserve(tokens int64) bool {
	if tokens < 0 || tokens > e.Available() {
		return false
	}
	e.Reserved += tokens
	return true
}

// Settle ends a reservation and bills the actual tokens, at most the
// reservation.
func (e *Escrow) Settle(reserved, actual int64) int64 {
	billed := max(0, min(actual, reserved))
	paid := min(billed, e.Borrowed)
	e.Reserved -= reserved
	e.Borrowed -= paid
	e.Billed += billed - paid
	return billed
}

// Check returns an error that wraps ErrBroken when more is reserved and billed
// than was granted.
func (e Escrow) Check() error {
	if e.Available() < 0 || e.Reserved < 0 || e.Voided > e.Billed {
		return errors.Newf("reserved %d and billed %d of granted %d: %w", e.Reserved, e.Billed, e.Granted, ErrBroken)
	}
	return nil
}
