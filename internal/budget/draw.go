package budget

// minimumDraw is the least that a ledger asks the pool for, in tokens.
const minimumDraw = 16 << 10

// drawFactor is how many requests of the size at hand a draw provides for.
const drawFactor = 4

// DrawSize returns how many tokens a ledger asks the pool for when needed are
// short.
func DrawSize(needed int64, escrow Escrow) int64 {
	short := needed - escrow.Available()
	return max(short, min(drawFactor*needed, minimumDraw))
}
