package budget

import "github.com/cockroachdb/errors"

const (
	// marginDivisor is the part of a total that is never handed out: it covers
	// tokens of answers that broke off, whose number is not known exactly.
	marginDivisor = 100
	// poolReservePercent of a total stays in the pool, where any holder can draw
	// it: a single request must fit into it.
	poolReservePercent = 3
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
	// manyHoldersDivisor is the part of what is left that several holders hold together
	// by their demand, and aloneDivisor that of a single one. The rest stays in
	// the pool: it outlives the holders, and as a budget runs out, large requests
	// fit into no single holding.
	manyHoldersDivisor  = 3
	singleHolderDivisor = 1.5
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
		collected := min(change, a.Owed)
		a.Owed -= collected
		a.Deposit(change - collected)
		return
	}
	a.Owed -= change
	a.collectOwed()
}

func spendable(total int64) int64 {
	return total - total/marginDivisor
}

// collectOwed takes what is owed out of the pool.
func (a *Account) collectOwed() {
	collected := min(a.Owed, a.Pool)
	a.Owed -= collected
	a.Pool -= collected
	a.Deposited -= collected
}

// ExchangeResult is what an exchange leaves a holder with, in tokens.
type ExchangeResult struct {
	// Granted is the cumulative grant.
	Granted int64
	// Target is what the holder should hold unspent.
	Target int64
	// Remaining is unspent in the whole group, as far as it is known, and Reserved
	// the part of it that requests in progress hold.
	Remaining int64
	Reserved  int64
}

// Exchange takes a holder's counters in and draws for it: up to a target that
// bounds what is lost with it. As with Draw, a total that is not the current
// one draws nothing. It changes nothing when it returns an error that wraps
// ErrBroken.
func (a *Account) Exchange(epoch string, counters Counters, known int64, request DrawRequest) (ExchangeResult, error) {
	before := *a
	grant, found := a.Grants[epoch]
	err := a.Report(epoch, counters)
	if err != nil {
		return ExchangeResult{}, err
	}
	result := a.drawToBoundedTarget(epoch, known, request)
	// The grants of others are untouched: what they hold with the pool and this
	// grant must make up the deposits as before.
	if a.Pool < 0 || a.Deposited-a.Pool-a.Grants[epoch].Held() != before.Deposited-before.Pool-grant.Held() {
		err = errors.Newf("exchange of epoch %s: pool %d, held %d: %w", epoch, a.Pool, a.Grants[epoch].Held(), ErrBroken)
		*a = before
		if found {
			a.setGrant(epoch, grant)
		} else {
			delete(a.Grants, epoch)
		}
		return ExchangeResult{}, err
	}
	return result, nil
}

func (a *Account) drawToBoundedTarget(epoch string, known int64, request DrawRequest) ExchangeResult {
	a.collectOwed()
	var s sums
	granted, target := a.drawToTarget(epoch, known, request, a.poolReserve(), func() int64 {
		s = a.sums()
		return a.boundedTarget(epoch, s)
	})
	return ExchangeResult{Granted: granted, Target: target, Remaining: s.remaining, Reserved: s.reserved}
}

// sums are those over the open grants.
type sums struct {
	holders int64
	// remaining is unspent in the pool and the grants, less what is owed, and
	// reserved the part of it that requests in progress hold.
	remaining int64
	reserved  int64
	// demand is in tokens an hour.
	demand float64
}

func (a *Account) sums() sums {
	s := sums{remaining: a.Pool - a.Owed}
	for _, grant := range a.Grants {
		if grant.Closed {
			continue
		}
		s.holders++
		s.remaining += grant.Unspent()
		s.reserved += grant.Counters.Reserved
		s.demand += float64(grant.demand())
	}
	s.remaining = max(0, s.remaining)
	return s
}

// boundedTarget is Target bounded by the holder's demand within the horizon, but
// at least an equal share of a part of what is left. It is 0 once no more than
// the pool's reserve is left.
func (a *Account) boundedTarget(epoch string, s sums) int64 {
	spare := s.remaining - a.poolReserve()
	grant := a.Grants[epoch]
	if spare <= 0 || grant.Closed || s.demand == 0 {
		return 0
	}
	floor := spare / (floorDivisor * max(expectedHolders, s.holders))
	if floor < minimumFloor || s.remaining < a.Deposited/2 {
		floor = 0
	}
	fraction := float64(grant.demand()) / s.demand
	heldFraction := max(fraction/manyHoldersDivisor, fraction*fraction/singleHolderDivisor)
	demand := (grant.Demand + grant.DelegatedDemand) * horizonSeconds / secondsPerHour
	return max(floor, min(int64(float64(spare)*heldFraction), demand))
}

// Remaining returns the unspent tokens of the pool and of the open grants, less
// what is owed.
func (a *Account) Remaining() int64 {
	return a.sums().remaining
}

func (a *Account) poolReserve() int64 {
	return a.Deposited * poolReservePercent / 100
}
