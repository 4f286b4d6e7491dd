package budget

const (
	// poolDivisor keeps 1/poolDivisor of the unspent tokens in the pool when
	// ledgers draw ahead, for ledgers that can reach the control group.
	poolDivisor = 8
	// idleDivisor lets a ledger exceed its target by 1/idleDivisor before it
	// returns the excess.
	idleDivisor = 8
	// lowDivisor makes a ledger draw ahead when its unspent tokens are more than
	// 1/lowDivisor of the target below the target.
	lowDivisor = 8
	// demandFloor is the minimum demand of a grant, in tokens per hour, so that
	// a ledger without past demand still gets a portion of the budget.
	demandFloor = 1
	// minimumTarget is the smallest target, in tokens. Below it the target is 0
	// and reservations draw from the pool, so that the last tokens stay in one
	// place.
	minimumTarget = 8 << 10
	// maxDrawAhead limits a draw that also covers following requests, in tokens.
	// A draw for requests that wait for more tokens is not limited.
	maxDrawAhead = 16 << 10
)

// DrawRequest is a request for tokens from the pool.
type DrawRequest struct {
	// Need is the number of tokens that requests wait for.
	Need int64
	// UpToTarget allows the draw to exceed Need, up to the target.
	UpToTarget bool
	// Demand is the estimated demand of the ledger or entry, in tokens per hour.
	Demand int64
	// DelegatedDemand is the demand, in tokens per hour, of other holders for
	// which this one holds tokens.
	DelegatedDemand int64
}

// DrawFor moves tokens from the pool to the grant of epoch as requested. It
// returns the cumulative grant and the target: the number of unspent tokens that
// the ledger should hold. As with Draw, nothing changes if known differs from
// the current cumulative grant.
func (a *Account) DrawFor(epoch string, known int64, request DrawRequest) (granted, target int64) {
	return a.drawToTarget(epoch, known, request, a.unspent()/poolDivisor, func() int64 { return a.Target(epoch) })
}

// drawToTarget draws the tokens that requests wait for. If the request allows it,
// it also draws up to the target but leaves poolReserve tokens in the pool. It
// records the requested demand before it calls targetOf, which depends on it.
func (a *Account) drawToTarget(epoch string, known int64, request DrawRequest, poolReserve int64, targetOf func() int64) (granted, target int64) {
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
	if request.UpToTarget {
		want = max(want, min(target-grant.Unspent(), a.Pool-poolReserve))
	}
	return a.Draw(epoch, known, want), target
}

// Target returns the unspent tokens that epoch should hold: the unspent tokens of
// the budget, less 1/poolDivisor that stays in the pool, in proportion to the
// epoch's demand. It shrinks as the budget is spent, and is 0 below minimumTarget.
func (a *Account) Target(epoch string) int64 {
	unspent := a.unspent()
	target := a.portionByDemand(epoch, unspent-unspent/poolDivisor)
	if target < minimumTarget {
		return 0
	}
	return target
}

// portionByDemand returns the portion of tokens that corresponds to the ratio of
// epoch's demand to that of all open grants.
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

// unspent returns the number of unspent tokens in the pool and in open grants.
func (a *Account) unspent() int64 {
	unspent := a.Pool
	for _, grant := range a.Grants {
		if !grant.Closed {
			unspent += grant.Unspent()
		}
	}
	return unspent
}

// Idle returns how many tokens a ledger with this target should return to the
// pool.
func (e Escrow) Idle(target int64) int64 {
	return e.idle(e.Available()+e.Reserved, target)
}

// IdleUnreserved is like Idle for a target that leaves out reserved tokens.
func (e Escrow) IdleUnreserved(target int64) int64 {
	return e.idle(e.Available(), target)
}

func (e Escrow) idle(held, target int64) int64 {
	excess := held - target
	if excess <= target/idleDivisor {
		return 0
	}
	return max(0, min(excess, e.Transferable()))
}

// Low reports whether a ledger with this target should draw ahead.
func (e Escrow) Low(target int64) bool {
	return isLow(e.Available()+e.Reserved, target)
}

// LowUnreserved is like Low for a target that leaves out reserved tokens.
func (e Escrow) LowUnreserved(target int64) bool {
	return isLow(e.Available(), target)
}

func isLow(held, target int64) bool {
	return held < target-target/lowDivisor
}

// Return moves tokens back to the pool. It reports false and changes nothing if
// tokens is negative or exceeds the transferable ones.
func (e *Escrow) Return(tokens int64) bool {
	if tokens < 0 || tokens > e.Transferable() {
		return false
	}
	e.Returned += tokens
	return true
}

// Deposit adds tokens that were deposited at this ledger.
func (e *Escrow) Deposit(tokens int64) {
	e.Deposited += tokens
}
