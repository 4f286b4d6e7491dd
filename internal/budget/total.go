package budget

const (
	// reservePercent of a total stays in the pool, where any holder can draw
	// it: a single request must fit into it.
	reservePercent = 3
	// horizonSeconds of its demand is the most that a holder holds, because
	// the tokens of one that dies count as spent.
	horizonSeconds = 4
	secondsPerHour = 3600
)

// SetTotal makes total the sum of tokens that the workspace may ever spend. A
// lower total takes from the pool, and what the pool lacks from later returns.
func (a *Account) SetTotal(total int64) {
	change := total - a.Total
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
	grant, found := a.Grants[epoch]
	if grant.Closed || known != grant.Granted {
		return grant.Granted, a.TargetWithin(epoch)
	}
	if !found || grant.Demand != ask.Demand {
		grant.Demand = ask.Demand
		a.put(epoch, grant)
	}
	target = a.TargetWithin(epoch)
	want := ask.Need
	if ask.Ahead {
		spare := a.Pool - a.reserve()
		want = max(want, min(ask.Need+target-grant.Unspent(), spare))
	}
	return a.Draw(epoch, known, want), target
}

// TargetWithin is Target bounded by the holder's demand within the horizon; it
// is 0 once no more than the pool's reserve is left.
func (a *Account) TargetWithin(epoch string) int64 {
	if a.Left() <= a.reserve() {
		return 0
	}
	demand := a.Grants[epoch].Demand * horizonSeconds / secondsPerHour
	return min(a.Target(epoch), demand)
}

// Left returns the unspent tokens of the pool and of the open grants, less
// what is owed.
func (a *Account) Left() int64 {
	return max(0, a.left()-a.Owed)
}

func (a *Account) reserve() int64 {
	return a.Deposited * reservePercent / 100
}
