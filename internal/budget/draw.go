package budget

// drawFactor is how many requests of the size at hand a draw provides for.
const drawFactor = 4

// DrawSize returns how many tokens a ledger asks the pool for when requests
// wait for waiting tokens in all. A ledger without a target draws no more than
// that.
func DrawSize(waiting, target int64, escrow Escrow) int64 {
	shortfall := waiting - escrow.Available()
	if target == 0 {
		return shortfall
	}
	return max(shortfall, min(drawFactor*waiting, maxDrawAhead))
}
