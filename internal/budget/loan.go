package budget

const (
	// lenderKeepSeconds is how many seconds of its own demand a lender keeps.
	lenderKeepSeconds = 2
	// lendDivisor limits a loan to 1/lendDivisor of the lender's transferable
	// tokens.
	lendDivisor = 2
)

// Transferable returns the number of tokens that the escrow may return to the pool
// or lend: the unreserved tokens of its own grant. Borrowed tokens are excluded
// because they belong to no grant; they cover reservations first.
func (e Escrow) Transferable() int64 {
	return max(0, e.Available()-max(0, e.Borrowed-e.Reserved))
}

// Lend lends up to the requested tokens to another holder and returns how many it
// lent. They count as billed, so that no later report of the lender frees them.
func (e *Escrow) Lend(requested, demandPerHour int64) int64 {
	transferable := e.Transferable()
	kept := max(transferable-transferable/lendDivisor, demandPerHour*lenderKeepSeconds/secondsPerHour)
	amount := max(0, min(requested, transferable-kept))
	e.Billed += amount
	e.Lent += amount
	return amount
}

// Borrow adds tokens that another holder lent.
func (e *Escrow) Borrow(tokens int64) {
	e.Borrowed += tokens
}
