package budget

import "github.com/cockroachdb/errors"

// Escrow is the state that a ledger or entry keeps of its own grant of one
// workspace's budget, in tokens. Granted, Returned, Deposited, Billed and Voided
// are cumulative; Counters describes those that are reported.
type Escrow struct {
	Granted   int64 `cbor:"1,keyasint,omitempty" json:"granted"`
	Returned  int64 `cbor:"2,keyasint,omitempty" json:"returned"`
	Deposited int64 `cbor:"3,keyasint,omitempty" json:"deposited"`
	Billed    int64 `cbor:"4,keyasint,omitempty" json:"billed"`
	Reserved  int64 `cbor:"5,keyasint,omitempty" json:"reserved"`
	// Voided is the part of Billed that was canceled.
	Voided int64 `cbor:"10,keyasint,omitempty" json:"voided"`
	// Borrowed is the number of unspent tokens that other holders lent. Settle
	// spends them first and adds only the excess to Billed.
	Borrowed int64 `cbor:"11,keyasint,omitempty" json:"borrowed,omitempty"`
	// Lent is the part of Billed that was lent to other holders.
	Lent int64 `cbor:"12,keyasint,omitempty" json:"lent,omitempty"`
}

// Available returns the number of tokens that can still be reserved.
func (e Escrow) Available() int64 {
	return e.Granted + e.Deposited + e.Voided + e.Borrowed - e.Returned - e.Billed - e.Reserved
}

// Counters returns the totals to report to the control group.
func (e Escrow) Counters() Counters {
	return Counters{
		Returned:  e.Returned,
		Deposited: e.Deposited,
		Billed:    e.Billed,
		Reserved:  e.Reserved,
		Voided:    e.Voided,
	}
}

// CanReserve reports whether tokens can be reserved.
func (e *Escrow) CanReserve(tokens int64) bool {
	return tokens >= 0 && tokens <= e.Available()
}

// Reserve sets tokens aside. It reports whether enough were available.
func (e *Escrow) Reserve(tokens int64) bool {
	if !e.CanReserve(tokens) {
		return false
	}
	e.Reserved += tokens
	return true
}

// Settle ends a reservation of reserved tokens and bills the actual tokens, at
// most those reserved. It returns the number of tokens billed.
func (e *Escrow) Settle(reserved, actual int64) int64 {
	billed := max(0, min(actual, reserved))
	borrowedSpent := min(billed, e.Borrowed)
	e.Reserved -= reserved
	e.Borrowed -= borrowedSpent
	e.Billed += billed - borrowedSpent
	return billed
}

// Check returns an error that wraps ErrBroken if more tokens are reserved and
// billed than the escrow holds, if the reservations are negative, or if more
// tokens are voided than billed.
func (e Escrow) Check() error {
	if e.Available() < 0 || e.Reserved < 0 || e.Voided > e.Billed {
		return errors.Newf("escrow reserved %d and billed %d tokens of a grant of %d: %w", e.Reserved, e.Billed, e.Granted, ErrBroken)
	}
	return nil
}
