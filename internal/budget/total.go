package budget

const (
	// marginDivisor is the part of a total that is never handed out: it covers
	// tokens of answers that broke off, whose number is not known exactly.
	marginDivisor = 100
	// reservePercent of a total stays in the pool, where any holder can draw
	// it: a single request must fit into it.
	reservePercent = 3
	// horizonSeconds of its demand is what a holder should hold, so that it can
	// serve while it is cut off from the group. The tokens of one that dies
	// count as spent.
	horizonSeconds = 10
	secondsPerHour = 3600
	// floorDivisor is the part of what is left that all holders hold together,
	// in equal shares, whatever their demand, until half of the total is spent.
	floorDivisor = 8
	// expectedHolders stand for those that have not drawn yet.
	expectedHolders = 4
	// heldDivisor is the part of what is left that several holders hold together
	// by their demand, and aloneDivisor that of a single one. The rest stays in
	// the pool: it outlives the holders, and as a budget runs out, large requests
	// fit into no single holding.
	heldDivisor  = 3
	aloneDivisor = 1.5
	// minimumFloor is the least such share, in tokens.
	minimumFloor = 4 << 10
)

// SetTotal makes total, less a margin, the sum of tokens that the workspace may
// ever spend. A lower total takes from the pool, and what the pool lacks from
// later returns.
func (a *Account) SetTotal(total int64) {
	change := spendable(total) - spendable(a.Total)
	a.Total = total
	if change > 0 {
		paid := min(change, a.Owed)
		a.Owed -= paid
		a.Deposit(change - paid)
		return
	}
	a.Owed -= change
	a.payOwed()
}

func spendable(total int64) int64 {
	return total - total/marginDivisor
}

// payOwed takes what is owed out of the pool.
func (a *Account) payOwed() {
	paid := min(a.Owed, a.Pool)
	a.Owed -= paid
	a.Pool -= paid
	a.Deposited -= paid
}

// DrawWithin is DrawFor with targets that bound what is lost with a holder.
func (a *Account) DrawWithin(epoch string, known int64, ask Ask) (granted, target int64) {
	a.payOwed()
	return a.drawFor(epoch, known, ask, a.TargetWithin, a.reserve())
}

// TargetWithin is Target bounded by the holder's demand within the horizon, but
// at least an equal share of a part of what is left. It is 0 once no more than
// the pool's reserve is left.
func (a *Account) TargetWithin(epoch string) int64 {
	spare := a.Left() - a.reserve()
	if spare <= 0 {
		return 0
	}
	floor := spare / (floorDivisor * max(expectedHolders, a.holders()))
	if floor < minimumFloor || a.Left() < a.Deposited/2 {
		floor = 0
	}
	grant := a.Grants[epoch]
	demand := (grant.Demand + grant.Pooled) * horizonSeconds / secondsPerHour
	part := a.part(epoch, spare)
	return max(floor, min(max(part/heldDivisor, a.part(epoch, int64(float64(part)/aloneDivisor))), demand))
}

// holders returns how many open grants there are.
func (a *Account) holders() int64 {
	var count int64
	for _, grant := range a.Grants {
		if !grant.Closed {
			count++
		}
	}
	return count
}

// Left returns the unspent tokens of the pool and of the open grants, less
// what is owed.
func (a *Account) Left() int64 {
	return max(0, a.left()-a.Owed)
}

func (a *Account) reserve() int64 {
	return a.Deposited * reservePercent / 100
}
