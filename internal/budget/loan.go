package budget

const (
	// lenderKeepSeconds of its own demand is what a lender keeps.
	lenderKeepSeconds = 2
	// lendDivisor is the part of its free tokens that a lender gives to one
	// borrower.
	lendDivisor = 2
)

// Transferable returns the free tokens of the escrow's own grant: those that it may
// return to the pool or lend. Borrowed ones belong to no grant.
func (e Escrow) Transferable() int64 {
	return max(0, e.Available()-max(0, e.Borrowed-e.Reserved))
}

// Lend gives a part of the own tokens to another holder and returns how many.
// They count as billed: no report of this holder frees them again.
func (e *Escrow) Lend(requested, demandPerHour int64) int64 {
	transferable := e.Transferable()
	kept := max(transferable-transferable/lendDivisor, demandPerHour*lenderKeepSeconds/secondsPerHour)
	amount := max(0, min(requested, transferable-kept))
	e.Billed += amount
	e.Lent += amount
	return amount
}

// Borrow takes in what another holder lent.
func (e *Escrow) Borrow(tokens int64) {
	e.Borrowed += tokens
}
