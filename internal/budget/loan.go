package budget

const (
	// keepSeconds of its own demand is what a lender keeps.
	keepSeconds = 2
	// lendDivisor is the part of its free tokens that a lender gives to one
	// borrower.
	lendDivisor = 2
)

// Own returns the free tokens of the escrow's own grant: those that it may
// return to the pool or lend. Borrowed ones belong to no grant.
func (e Escrow) Own() int64 {
	return max(0, e.Available()-max(0, e.Borrowed-e.Reserved))
}

// Lend gives a part of the own tokens to another holder and returns how many.
// They count as billed: no report of this holder frees them again.
func (e *Escrow) Lend(asked, demandPerHour int64) int64 {
	own := e.Own()
	keep := max(own-own/lendDivisor, demandPerHour*keepSeconds/secondsPerHour)
	amount := max(0, min(asked, own-keep))
	e.Billed += amount
	e.Lent += amount
	return amount
}

// Borrow takes in what another holder lent.
func (e *Escrow) Borrow(tokens int64) {
	e.Borrowed += tokens
}
