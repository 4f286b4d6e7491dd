package budget

// Transferable returns the number of tokens that the escrow may return to the pool
// or lend: the unreserved tokens of its own grant. Borrowed tokens are excluded
// because they belong to no grant; they cover reservations first.
func (e Escrow) Transferable() int64 {
	return max(0, e.Available()-max(0, e.Borrowed-e.Reserved))
}

// Lend lends up to the requested tokens to another holder and returns how many it
// lent. Borrowed tokens that no reservation needs are passed on first. Those of the own
// grant count as billed, so that no later report of the lender frees them.
//
// The lender keeps nothing for its own later requests: the borrower has requests that
// wait, and the lender can borrow in its turn.
func (e *Escrow) Lend(requested int64) int64 {
	amount := max(0, min(requested, e.Available()))
	passedOn := max(0, min(amount, e.Borrowed-e.Reserved))
	e.Borrowed -= passedOn
	e.Billed += amount - passedOn
	e.Lent += amount - passedOn
	return amount
}

// Borrow adds tokens that another holder lent.
func (e *Escrow) Borrow(tokens int64) {
	e.Borrowed += tokens
}
