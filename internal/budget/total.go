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
	// plannedManyHoldersDivisor replaces manyHoldersDivisor where draws are planned. It
	// lets holders serve more while they cannot reach the control group, and lose at most
	// a tenth more when all of them crash.
	plannedManyHoldersDivisor = 2.8
	// lossAversion is how many times the tokens lost with ended holders count when a
	// target is reduced by them.
	lossAversion = 4
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
//
// It applies exchanges in the log that carry no planned draw, which earlier
// versions wrote. All members must apply these alike, so its policy must not change.
func (a *Account) Exchange(epoch string, counters Counters, known int64, request DrawRequest) (ExchangeResult, error) {
	var result ExchangeResult
	err := a.reportAndDraw(epoch, counters, func() { result = a.drawToBoundedTarget(epoch, known, request) })
	return result, err
}

// ExchangePlanned records the counters of a holder's epoch and draws request.Need
// tokens for it, as PlanDraw returned them. It returns the cumulative grant. As with
// Draw, it draws nothing if known differs from the current cumulative grant. If it
// returns an error, which wraps ErrBroken, the account is unchanged.
func (a *Account) ExchangePlanned(epoch string, counters Counters, known int64, request DrawRequest) (int64, error) {
	var granted int64
	err := a.reportAndDraw(epoch, counters, func() {
		a.collectOwed()
		granted, _ = a.drawToTarget(epoch, known, DrawRequest{
			Need:            request.Need,
			Demand:          request.Demand,
			DelegatedDemand: request.DelegatedDemand,
		}, 0, func() int64 { return 0 })
	})
	return granted, err
}

// reportAndDraw records the counters of epoch and calls draw. It restores the
// account and returns an error that wraps ErrBroken if the tokens do not add up.
func (a *Account) reportAndDraw(epoch string, counters Counters, draw func()) error {
	before := *a
	grant, found := a.Grants[epoch]
	err := a.Report(epoch, counters)
	if err != nil {
		return err
	}
	draw()
	// The other grants are unchanged. Together with the pool and this grant they
	// must equal the deposits if they did so before.
	if a.Pool >= 0 && a.Deposited-a.Pool-a.Grants[epoch].Held() == before.Deposited-before.Pool-grant.Held() {
		return nil
	}
	err = errors.Newf("exchange of epoch %s: pool %d, held %d: %w", epoch, a.Pool, a.Grants[epoch].Held(), ErrBroken)
	*a = before
	if found {
		a.setGrant(epoch, grant)
	} else {
		delete(a.Grants, epoch)
	}
	return err
}

// drawToBoundedTarget collects owed tokens and then draws up to the bounded
// target, leaving the pool reserve in place.
func (a *Account) drawToBoundedTarget(epoch string, known int64, request DrawRequest) ExchangeResult {
	a.collectOwed()
	var s Sums
	granted, target := a.drawToTarget(epoch, known, request, a.poolReserve(), func() int64 {
		s = a.Sums()
		return a.boundedTarget(a.Grants[epoch], s, a.RemainingOf(s))
	})
	return ExchangeResult{Granted: granted, Target: target, Unspent: a.RemainingOf(s), Reserved: s.Reserved}
}

// PlanDraw returns how many tokens a holder should draw and its target: the number
// of unreserved tokens that it should hold. Tokens that requests in progress have
// reserved do not count, because they are about to be spent: a holder with many long
// requests would otherwise hold nothing for the next ones once it cannot reach the
// control group. counters are the holder's new ones, and s are the sums before them.
func (a *Account) PlanDraw(epoch string, counters Counters, request DrawRequest, s Sums) (need, target int64) {
	old, found := a.Grants[epoch]
	grant := old
	grant.Counters = counters
	grant.Demand = request.Demand
	grant.DelegatedDemand = request.DelegatedDemand
	s.add(grant)
	if found {
		s.remove(old)
	}
	pool := a.Pool + counters.Returned - old.Counters.Returned
	unreserved := max(0, pool-a.Owed+s.Unspent-s.Reserved)
	target = a.afterLosses(a.targetBoundedBy(grant, s, unreserved, plannedManyHoldersDivisor))
	need = request.Need
	if request.UpToTarget {
		need = max(need, min(target-(grant.Unspent()-counters.Reserved), pool-a.poolReserve()))
	}
	return max(0, need), target
}

// afterLosses reduces a target by what ended holders have already lost of the total: a
// site whose holders crashed together may crash again, and would lose the same part of
// what is left each time.
func (a *Account) afterLosses(target int64) int64 {
	lost := a.EndedTotals.Held - a.EndedTotals.Billed
	if lost <= 0 {
		return target
	}
	return int64(float64(target) * float64(a.Deposited) / float64(a.Deposited+lossAversion*lost))
}

// Sums are totals over the open grants of an account, in tokens.
type Sums struct {
	// Holders is the number of open grants.
	Holders int64
	// Unspent is the number of unspent tokens.
	Unspent int64
	// Reserved is how many of these tokens requests in progress have reserved.
	Reserved int64
	// Demand is in tokens per hour.
	Demand int64
}

// Sums returns the totals over the open grants.
func (a *Account) Sums() Sums {
	var s Sums
	for _, grant := range a.Grants {
		s.add(grant)
	}
	return s
}

// Replace updates the sums after the grant old has become changed. A grant that did
// not exist before is closed.
func (s *Sums) Replace(old, changed Grant) {
	s.remove(old)
	s.add(changed)
}

func (s *Sums) add(g Grant) {
	if g.Closed {
		return
	}
	s.Holders++
	s.Unspent += g.Unspent()
	s.Reserved += g.Counters.Reserved
	s.Demand += g.demand()
}

func (s *Sums) remove(g Grant) {
	if g.Closed {
		return
	}
	s.Holders--
	s.Unspent -= g.Unspent()
	s.Reserved -= g.Counters.Reserved
	s.Demand -= g.demand()
}

// boundedTarget returns the tokens that the holder of grant should hold out of the
// remaining ones. They follow from its portion of the demand and are bounded by its
// demand within the horizon, but are at least the minimum target that is equal for
// all holders. The target is 0 once only the pool reserve remains.
//
// It is part of Exchange, so its policy must not change.
func (a *Account) boundedTarget(grant Grant, s Sums, remaining int64) int64 {
	return a.targetBoundedBy(grant, s, remaining, manyHoldersDivisor)
}

// targetBoundedBy is boundedTarget with 1/manyHolders of the tokens above the pool
// reserve for many holders together.
func (a *Account) targetBoundedBy(grant Grant, s Sums, remaining int64, manyHolders float64) int64 {
	spare := remaining - a.poolReserve()
	if spare <= 0 || grant.Closed || s.Demand == 0 {
		return 0
	}
	floor := spare / (floorDivisor * max(expectedHolders, s.Holders))
	if floor < minimumFloor || remaining < a.Deposited/2 {
		floor = 0
	}
	fraction := float64(grant.demand()) / float64(s.Demand)
	heldFraction := max(fraction/manyHolders, fraction*fraction/singleHolderDivisor)
	demand := (grant.Demand + grant.DelegatedDemand) * horizonSeconds / secondsPerHour
	return max(floor, min(int64(float64(spare)*heldFraction), demand))
}

// RemainingOf returns the number of unspent tokens in the pool and in the open
// grants, less those owed. s are the sums over these grants.
func (a *Account) RemainingOf(s Sums) int64 {
	return max(0, a.Pool-a.Owed+s.Unspent)
}

// Remaining returns the number of unspent tokens in the pool and in open grants,
// less those owed.
func (a *Account) Remaining() int64 {
	return a.RemainingOf(a.Sums())
}

// poolReserve returns how many tokens stay in the pool when holders draw ahead.
func (a *Account) poolReserve() int64 {
	return a.Deposited * poolReservePercent / 100
}
