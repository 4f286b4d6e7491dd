package budget

// drawFactor multiplies the tokens that requests wait for, so that a draw also
// covers following requests of that size.
const drawFactor = 4

// DrawSize returns how many tokens a ledger draws from the pool when requests
// wait for waiting tokens in total. If its target is 0, it draws only the tokens
// that the requests lack.
func DrawSize(waiting, target int64, escrow Escrow) int64 {
	shortfall := waiting - escrow.Available()
	if target == 0 {
		return shortfall
	}
	return max(shortfall, min(drawFactor*waiting, maxDrawAhead))
}
