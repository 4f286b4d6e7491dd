package budget

import "github.com/cockroachdb/errors"

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

// Offer is what an exchange leaves a holder with, in tokens.
type Offer struct {
	// Granted is the cumulative grant.
	Granted int64
	// Target is what the holder should hold unspent.
	Target int64
	// Left is unspent in the whole group, as far as it is known, and Reserved
	// the part of it that requests in progress hold.
	Left     int64
	Reserved int64
}

// Exchange takes a holder's counters in and draws for it: up to a target that
// bounds what is lost with it. As with Draw, a total that is not the current
// one draws nothing. It changes nothing when it returns an error that wraps
// ErrBroken.
func (a *Account) Exchange(epoch string, counters Counters, known int64, ask Ask) (Offer, error) {
	before := *a
	grant, found := a.Grants[epoch]
	err := a.Report(epoch, counters)
	if err != nil {
		return Offer{}, err
	}
	offer := a.drawWithin(epoch, known, ask)
	// The grants of others are untouched: what they hold with the pool and this
	// grant must make up the deposits as before.
	if a.Pool < 0 || a.Deposited-a.Pool-a.Grants[epoch].Held() != before.Deposited-before.Pool-grant.Held() {
		err = errors.Newf("exchange of epoch %s: pool %d, held %d: %w", epoch, a.Pool, a.Grants[epoch].Held(), ErrBroken)
		*a = before
		if found {
			a.put(epoch, grant)
		} else {
			delete(a.Grants, epoch)
		}
		return Offer{}, err
	}
	return offer, nil
}

func (a *Account) drawWithin(epoch string, known int64, ask Ask) Offer {
	a.payOwed()
	var s sums
	granted, target := a.drawAhead(epoch, known, ask, a.reserve(), func() int64 {
		s = a.sums()
		return a.targetWithin(epoch, s)
	})
	return Offer{Granted: granted, Target: target, Left: s.left, Reserved: s.reserved}
}

// sums are those over the open grants.
type sums struct {
	holders int64
	// left is unspent in the pool and the grants, less what is owed, and
	// reserved the part of it that requests in progress hold.
	left     int64
	reserved int64
	// demand is in tokens an hour.
	demand float64
}

func (a *Account) sums() sums {
	s := sums{left: a.Pool - a.Owed}
	for _, grant := range a.Grants {
		if grant.Closed {
			continue
		}
		s.holders++
		s.left += grant.Unspent()
		s.reserved += grant.Counters.Reserved
		s.demand += float64(grant.demand())
	}
	s.left = max(0, s.left)
	return s
}

// targetWithin is Target bounded by the holder's demand within the horizon, but
// at least an equal share of a part of what is left. It is 0 once no more than
// the pool's reserve is left.
func (a *Account) targetWithin(epoch string, s sums) int64 {
	spare := s.left - a.reserve()
	grant := a.Grants[epoch]
	if spare <= 0 || grant.Closed || s.demand == 0 {
		return 0
	}
	floor := spare / (floorDivisor * max(expectedHolders, s.holders))
	if floor < minimumFloor || s.left < a.Deposited/2 {
		floor = 0
	}
	share := float64(grant.demand()) / s.demand
	held := max(share/heldDivisor, share*share/aloneDivisor)
	demand := (grant.Demand + grant.Pooled) * horizonSeconds / secondsPerHour
	return max(floor, min(int64(float64(spare)*held), demand))
}

// Left returns the unspent tokens of the pool and of the open grants, less
// what is owed.
func (a *Account) Left() int64 {
	return a.sums().left
}

func (a *Account) reserve() int64 {
	return a.Deposited * reservePercent / 100
}
