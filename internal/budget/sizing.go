package budget

const (
	// poolDivisor keeps this part of what is left in the pool for those who
	// can reach the control group.
	poolDivisor = 8
	// idleDivisor is the part of its target that a ledger may hold above the
	// target before it gives the rest back.
	idleDivisor = 8
	// lowDivisor is the part of its target below which a ledger draws ahead.
	lowDivisor = 8
	// demandFloor stands for ledgers that ask without any past demand, in
	// tokens an hour.
	demandFloor = 1
	// minimumTarget is the least target; below it every reservation goes
	// through the pool, so that the last tokens lie in one place.
	minimumTarget = 8 << 10
	// maxDrawAhead bounds what a short request draws for those after it, in tokens.
	maxDrawAhead = 16 << 10
)

// DrawRequest is what a ledger asks of the pool.
type DrawRequest struct {
	// Need is the tokens that requests wait for.
	Need int64
	// Ahead lets the pool give up to the ledger's target.
	Ahead bool
	// Demand is the ledger's estimate in tokens an hour.
	Demand int64
	// DelegatedDemand is the demand of others that the ledger holds tokens for.
	DelegatedDemand int64
}

// DrawFor moves tokens from the pool to the grant of epoch. It returns the
// cumulative grant and the unspent tokens that the ledger should hold. As with
// Draw, a total that is not the current one makes it change nothing.
func (a *Account) DrawFor(epoch string, known int64, request DrawRequest) (granted, target int64) {
	return a.drawToTarget(epoch, known, request, a.unspent()/poolDivisor, func() int64 { return a.Target(epoch) })
}

// drawToTarget draws up to the target, which follows from the ask's demand, and
// leaves reserve in the pool, but for what requests wait for.
func (a *Account) drawToTarget(epoch string, known int64, request DrawRequest, reserve int64, targetOf func() int64) (granted, target int64) {
	grant, found := a.Grants[epoch]
	if grant.Closed || known != grant.Granted {
		return grant.Granted, targetOf()
	}
	if !found || grant.Demand != request.Demand || grant.DelegatedDemand != request.DelegatedDemand {
		grant.Demand = request.Demand
		grant.DelegatedDemand = request.DelegatedDemand
		a.setGrant(epoch, grant)
	}
	target = targetOf()
	want := request.Need
	if request.Ahead {
		want = max(want, min(target-grant.Unspent(), a.Pool-reserve))
	}
	return a.Draw(epoch, known, want), target
}

// Target returns the unspent tokens that epoch should hold: its part, by
// demand, of all that is left, less the part that stays in the pool. It
// shrinks as the budget runs out.
func (a *Account) Target(epoch string) int64 {
	unspent := a.unspent()
	target := a.portionByDemand(epoch, unspent-unspent/poolDivisor)
	if target < minimumTarget {
		return 0
	}
	return target
}

// portionByDemand returns the portionByDemand of tokens that epoch's demand makes in that of all.
func (a *Account) portionByDemand(epoch string, tokens int64) int64 {
	var demand float64
	for _, grant := range a.Grants {
		if grant.Closed {
			continue
		}
		demand += float64(grant.demand())
	}
	grant := a.Grants[epoch]
	if grant.Closed || demand == 0 {
		return 0
	}
	return int64(float64(tokens) * float64(grant.demand()) / demand)
}

// unspent returns the unspent tokens of the pool and of the open grants.
func (a *Account) unspent() int64 {
	unspent := a.Pool
	for _, grant := range a.Grants {
		if !grant.Closed {
			unspent += grant.Unspent()
		}
	}
	return unspent
}

// Idle returns the tokens that a ledger with this target gives back.
func (e Escrow) Idle(target int64) int64 {
	excess := e.Available() + e.Reserved - target
	if excess <= target/idleDivisor {
		return 0
	}
	return max(0, min(excess, e.Transferable()))
}

// Low tells whether a ledger with this target should draw ahead.
func (e Escrow) Low(target int64) bool {
	held := e.Available() + e.Reserved
	return held < target-target/lowDivisor
}

// Return gives tokens back to the pool; false means that too few are left.
func (e *Escrow) Return(tokens int64) bool {
	if tokens < 0 || tokens > e.Transferable() {
		return false
	}
	e.Returned += tokens
	return true
}

// Deposit adds tokens that this ledger accepted.
func (e *Escrow) Deposit(tokens int64) {
	e.Deposited += tokens
}
