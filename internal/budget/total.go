package budget

import "github.com/cockroachdb/errors"

const (
	// marginDivisor keeps 1/marginDivisor of a total from being granted. The
	// margin covers responses that broke off, whose exact number of tokens is
	// unknown.
	marginDivisor = 100
	// poolReservePercent is the percentage of the deposits that stays in the pool
	// when holders draw ahead. Any holder can draw it, and a single request must
	// fit into it.
	poolReservePercent = 3
	// horizonSeconds is how many seconds of its demand a holder should hold, so
	// that it can serve requests while it cannot reach the control group. It also
	// limits the loss when a holder crashes, because its tokens count as spent.
	horizonSeconds = 10
	secondsPerHour = 3600
	// floorDivisor sets aside 1/floorDivisor of the tokens above the pool reserve
	// for equal minimum targets of all holders, whatever their demand, until half
	// of the total is spent.
	floorDivisor = 8
	// expectedHolders is the minimum number of holders in that division; it
	// accounts for holders that have not drawn yet.
	expectedHolders = 4
	// manyHoldersDivisor limits the tokens that many holders hold together by
	// demand to 1/manyHoldersDivisor of those above the pool reserve, and
	// singleHolderDivisor does the same for a single holder. The rest stays in
	// the pool: tokens there survive the crash of a holder, and when a budget
	// runs out, no single holder has enough tokens for a large request.
	manyHoldersDivisor  = 3
	singleHolderDivisor = 1.5
	// minimumFloor is the smallest equal minimum target, in tokens; smaller ones
	// are 0.
	minimumFloor = 4 << 10
)

// SetTotal sets the total number of tokens of the workspace, of which all but a
// margin may be spent. If the total is lowered, the difference is taken from the
// pool and, if the pool holds too few tokens, from tokens returned later.
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

// spendable returns total less the margin.
func spendable(total int64) int64 {
	return total - total/marginDivisor
}

// collectOwed removes the owed tokens from the pool, as far as it holds them.
func (a *Account) collectOwed() {
	collected := min(a.Owed, a.Pool)
	a.Owed -= collected
	a.Pool -= collected
	a.Deposited -= collected
}

// ExchangeResult is a holder's state after an exchange, in tokens.
type ExchangeResult struct {
	// Granted is the cumulative grant.
	Granted int64
	// Target is the number of unspent tokens that the holder should hold.
	Target int64
	// Unspent is the number of unspent tokens in the pool and all open grants,
	// according to the latest reports, less those owed.
	Unspent int64
	// Reserved is how many of these tokens requests in progress have reserved.
	Reserved int64
}

// Exchange records the counters of a holder's epoch and draws tokens for it, up to
// a target that limits the loss when the holder crashes. As with Draw, it draws
// nothing if known differs from the current cumulative grant. If it returns an
// error, which wraps ErrBroken, the account is unchanged.
func (a *Account) Exchange(epoch string, counters Counters, known int64, request DrawRequest) (ExchangeResult, error) {
	before := *a
	grant, found := a.Grants[epoch]
	err := a.Report(epoch, counters)
	if err != nil {
		return ExchangeResult{}, err
	}
	result := a.drawToBoundedTarget(epoch, known, request)
	// The other grants are unchanged. Together with the pool and this grant they
	// must equal the deposits if they did so before.
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

// drawToBoundedTarget collects owed tokens and then draws up to the bounded
// target, leaving the pool reserve in place.
func (a *Account) drawToBoundedTarget(epoch string, known int64, request DrawRequest) ExchangeResult {
	a.collectOwed()
	var s sums
	granted, target := a.drawToTarget(epoch, known, request, a.poolReserve(), func() int64 {
		s = a.sums()
		return a.boundedTarget(epoch, s)
	})
	return ExchangeResult{Granted: granted, Target: target, Unspent: s.remaining, Reserved: s.reserved}
}

// sums are totals over the pool and the open grants of an account, in tokens.
type sums struct {
	// holders is the number of open grants.
	holders int64
	// remaining is the number of unspent tokens less those owed.
	remaining int64
	// reserved is how many of these tokens requests in progress have reserved.
	reserved int64
	// demand is in tokens per hour.
	demand float64
}

// sums returns the totals over the pool and the open grants.
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

// boundedTarget returns the unspent tokens that a holder should hold. They follow
// from its portion of the demand and are bounded by its demand within the horizon,
// but are at least the minimum target that is equal for all holders. The target is
// 0 once only the pool reserve remains.
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

// Remaining returns the number of unspent tokens in the pool and in open grants,
// less those owed.
func (a *Account) Remaining() int64 {
	return a.sums().remaining
}

// poolReserve returns how many tokens stay in the pool when holders draw ahead.
func (a *Account) poolReserve() int64 {
	return a.Deposited * poolReservePercent / 100
}
