// Package budget accounts for prepaid tokens without any I/O. The control group
// keeps an Account for each workspace, which divides the deposited tokens into a
// pool and grants. A ledger or entry keeps an Escrow and reserves tokens only out
// of its own grant and of loans.
package budget

import (
	"sort"

	"github.com/cockroachdb/errors"
)

// ErrBroken reports token counts that contradict each other.
var ErrBroken = errors.New("budget invariant broken")

// Counters are the totals, in tokens, that a ledger or entry reports for one
// workspace. All but Reserved are cumulative and only grow, so a resent report
// changes nothing.
type Counters struct {
	// Returned is the number of tokens returned to the pool.
	Returned int64 `cbor:"1,keyasint,omitempty" json:"returned"`
	// Deposited is the number of tokens deposited at the ledger itself.
	Deposited int64 `cbor:"2,keyasint,omitempty" json:"deposited"`
	// Billed is the number of tokens billed for settled requests or lent to other
	// holders.
	Billed int64 `cbor:"3,keyasint,omitempty" json:"billed"`
	// Reserved is the number of tokens that requests in progress have reserved.
	// Unlike the other counters it can shrink.
	Reserved int64 `cbor:"4,keyasint,omitempty" json:"reserved"`
	// Voided is the part of Billed that was canceled.
	Voided int64 `cbor:"10,keyasint,omitempty" json:"voided"`
}

// Grant is the control group's record of the tokens that it has allotted to one
// epoch of a ledger or entry.
type Grant struct {
	// Granted is the cumulative number of tokens drawn from the pool.
	Granted int64 `cbor:"1,keyasint,omitempty" json:"granted"`
	// Counters is the latest report of the epoch.
	Counters Counters `cbor:"2,keyasint,omitempty" json:"counters"`
	// Closed marks an epoch that has ended.
	Closed bool `cbor:"3,keyasint,omitempty" json:"closed,omitempty"`
	// Released is the number of tokens that an operator moved back to the pool
	// after the epoch was closed.
	Released int64 `cbor:"4,keyasint,omitempty" json:"released,omitempty"`
	// Demand is the estimated demand of the ledger or entry, in tokens per hour.
	Demand int64 `cbor:"5,keyasint,omitempty" json:"demand,omitempty"`
	// DelegatedDemand is the demand, in tokens per hour, of other holders for
	// which this one holds tokens.
	DelegatedDemand int64 `cbor:"6,keyasint,omitempty" json:"pooled,omitempty"`
}

// demand returns the demand that the grant has to cover, in tokens per hour: its
// own plus the delegated one, but at least demandFloor.
func (g Grant) demand() int64 {
	return max(g.Demand+g.DelegatedDemand, demandFloor)
}

// Held returns the number of tokens in the grant, spent or not.
func (g Grant) Held() int64 {
	return g.Granted + g.Counters.Deposited - g.Counters.Returned - g.Released
}

// Unspent returns the number of tokens in the grant that were not reported as
// billed.
func (g Grant) Unspent() int64 {
	return g.Held() - g.Counters.Billed + g.Counters.Voided
}

// Account is the control group's state of one workspace's budget, in tokens.
type Account struct {
	// Deposited is the number of tokens of the budget, spent or not: those in the
	// pool, in grants and in EndedTotals.
	Deposited int64 `cbor:"1,keyasint,omitempty" json:"deposited"`
	// Pool is the number of deposited tokens that are in no grant.
	Pool int64 `cbor:"2,keyasint,omitempty" json:"pool"`
	// Grants are by epoch name.
	Grants map[string]Grant `cbor:"3,keyasint,omitempty" json:"grants,omitempty"`
	// Total is the total set in the configuration; deposits are added to it.
	Total int64 `cbor:"4,keyasint,omitempty" json:"total,omitempty"`
	// Owed is the number of tokens still to be removed from the pool after the
	// total was lowered by more than the pool held.
	Owed int64 `cbor:"5,keyasint,omitempty" json:"owed,omitempty"`
	// EndedTotals sums up the grants of forgotten epochs.
	EndedTotals EndedTotals `cbor:"6,keyasint,omitempty" json:"ended,omitzero"`
}

// EndedTotals are the tokens that forgotten epochs held when they ended, and how
// many of them were reported as billed.
type EndedTotals struct {
	Held   int64 `cbor:"1,keyasint,omitempty" json:"held"`
	Billed int64 `cbor:"2,keyasint,omitempty" json:"billed"`
}

// Deposit adds tokens to the pool.
func (a *Account) Deposit(tokens int64) {
	a.Deposited += tokens
	a.Pool += tokens
}

// Draw moves up to want tokens from the pool to the grant of epoch and returns
// the cumulative grant. If known differs from the current cumulative grant, the
// draw was resent or arrived late, and it changes nothing.
func (a *Account) Draw(epoch string, known, want int64) int64 {
	grant := a.Grants[epoch]
	if grant.Closed || known != grant.Granted || want <= 0 {
		return grant.Granted
	}
	amount := min(want, a.Pool)
	a.Pool -= amount
	grant.Granted += amount
	a.setGrant(epoch, grant)
	return grant.Granted
}

// Report records the counters of epoch. Counters that are older than the recorded
// ones change nothing. Counters that bill more than the grant are refused with an
// error that wraps ErrBroken.
func (a *Account) Report(epoch string, counters Counters) error {
	grant := a.Grants[epoch]
	if grant.Closed {
		return nil
	}
	old := grant.Counters
	if counters.Returned < old.Returned || counters.Deposited < old.Deposited || counters.Billed < old.Billed || counters.Voided < old.Voided {
		return nil
	}
	grant.Counters = counters
	if grant.Unspent() < 0 {
		return errors.Newf("epoch %s billed %d tokens of a grant of %d: %w", epoch, counters.Billed, grant.Held(), ErrBroken)
	}
	a.Deposited += counters.Deposited - old.Deposited
	a.Pool += counters.Returned - old.Returned
	a.setGrant(epoch, grant)
	return nil
}

// Close marks an epoch as ended. Tokens that it did not report as billed are in
// doubt until Release.
func (a *Account) Close(epoch string) {
	grant := a.Grants[epoch]
	grant.Closed = true
	a.setGrant(epoch, grant)
}

// Forget removes the grant of an epoch and keeps only its sums in EndedTotals.
// Tokens that the epoch did not report as billed count as spent.
func (a *Account) Forget(epoch string) {
	grant, found := a.Grants[epoch]
	if !found {
		return
	}
	a.EndedTotals.Held += grant.Held()
	a.EndedTotals.Billed += grant.Counters.Billed - grant.Counters.Voided
	delete(a.Grants, epoch)
}

// Release moves the in-doubt tokens of a closed epoch back to the pool and
// returns their number.
func (a *Account) Release(epoch string) int64 {
	grant := a.Grants[epoch]
	if !grant.Closed {
		return 0
	}
	amount := grant.Unspent()
	grant.Released += amount
	a.Pool += amount
	a.setGrant(epoch, grant)
	return amount
}

// Billed returns the number of tokens reported as billed, less those voided.
func (a *Account) Billed() int64 {
	total := a.EndedTotals.Billed
	for _, grant := range a.Grants {
		total += grant.Counters.Billed - grant.Counters.Voided
	}
	return total
}

// InDoubt returns the number of tokens that closed and forgotten epochs held and
// did not report as billed.
func (a *Account) InDoubt() int64 {
	total := a.EndedTotals.Held - a.EndedTotals.Billed
	for _, grant := range a.Grants {
		if grant.Closed {
			total += grant.Unspent()
		}
	}
	return total
}

// Check returns an error that wraps ErrBroken unless the deposits equal the pool
// plus all grants, and neither the pool nor a grant's unspent tokens are negative.
func (a *Account) Check() error {
	sum := a.Pool + a.EndedTotals.Held
	for _, epoch := range a.sortedEpochs() {
		grant := a.Grants[epoch]
		sum += grant.Held()
		if grant.Unspent() < 0 {
			return errors.Newf("epoch %s billed more than its grant: %w", epoch, ErrBroken)
		}
	}
	if sum != a.Deposited || a.Pool < 0 {
		return errors.Newf("deposits %d, pool %d, pool and grants %d: %w", a.Deposited, a.Pool, sum, ErrBroken)
	}
	return nil
}

func (a *Account) setGrant(epoch string, grant Grant) {
	if a.Grants == nil {
		a.Grants = make(map[string]Grant)
	}
	a.Grants[epoch] = grant
}

func (a *Account) sortedEpochs() []string {
	names := make([]string, 0, len(a.Grants))
	for name := range a.Grants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
