// Package budget decides on prepaid tokens without any I/O. The control group
// keeps an Account for each workspace and splits its deposits between a pool
// and grants; a ledger keeps an Escrow and reserves only out of its own grant.
package budget

import (
	"sort"

	"github.com/cockroachdb/errors"
)

// ErrBroken reports a sum that does not add up.
var ErrBroken = errors.New("budget invariant broken")

// Counters are a ledger's cumulative totals in tokens for one workspace. They
// only grow, so that a resent report changes nothing.
type Counters struct {
	// Returned went back to the pool.
	Returned int64 `cbor:"1,keyasint,omitempty" json:"returned"`
	// Deposited was accepted by the ledger itself.
	Deposited int64 `cbor:"2,keyasint,omitempty" json:"deposited"`
	// Billed was settled.
	Billed int64 `cbor:"3,keyasint,omitempty" json:"billed"`
	// Reserved is held by requests now; unlike the others it also shrinks.
	Reserved int64 `cbor:"4,keyasint,omitempty" json:"reserved"`
	// Voided is the part of Billed that was taken back.
	Voided int64 `cbor:"10,keyasint,omitempty" json:"voided"`
}

// Grant is the group's view of one ledger epoch's part of a budget.
type Grant struct {
	// Granted is the cumulative total in tokens that the group committed.
	Granted  int64    `cbor:"1,keyasint,omitempty" json:"granted"`
	Counters Counters `cbor:"2,keyasint,omitempty" json:"counters"`
	// Closed marks an epoch whose ledger is gone.
	Closed bool `cbor:"3,keyasint,omitempty" json:"closed,omitempty"`
	// Released went back to the pool by an operator's decision after Closed.
	Released int64 `cbor:"4,keyasint,omitempty" json:"released,omitempty"`
	// Demand is the ledger's estimate in tokens an hour.
	Demand int64 `cbor:"5,keyasint,omitempty" json:"demand,omitempty"`
	// DelegatedDemand is the demand of other ledgers that this one holds tokens for, in
	// tokens an hour.
	DelegatedDemand int64 `cbor:"6,keyasint,omitempty" json:"pooled,omitempty"`
}

// demand returns the demand that the grant answers for, in tokens an hour.
func (g Grant) demand() int64 {
	return max(g.Demand+g.DelegatedDemand, demandFloor)
}

// Held returns the tokens that are in the grant, spent or not.
func (g Grant) Held() int64 {
	return g.Granted + g.Counters.Deposited - g.Counters.Returned - g.Released
}

// Unspent returns the tokens in the grant that are not known to be billed.
func (g Grant) Unspent() int64 {
	return g.Held() - g.Counters.Billed + g.Counters.Voided
}

// Account is the group's state of one workspace's budget in tokens.
type Account struct {
	Deposited int64            `cbor:"1,keyasint,omitempty" json:"deposited"`
	Pool      int64            `cbor:"2,keyasint,omitempty" json:"pool"`
	Grants    map[string]Grant `cbor:"3,keyasint,omitempty" json:"grants,omitempty"`
	// Total is the sum that the configuration names; deposits add to it.
	Total int64 `cbor:"4,keyasint,omitempty" json:"total,omitempty"`
	// Owed is taken out of the pool as soon as it holds tokens, after the
	// total was lowered below what was granted.
	Owed int64 `cbor:"5,keyasint,omitempty" json:"owed,omitempty"`
	// EndedTotals sums up the grants of epochs that are forgotten.
	EndedTotals EndedTotals `cbor:"6,keyasint,omitempty" json:"ended,omitzero"`
}

// EndedTotals is what forgotten epochs held to the end, and how much of it they had
// billed.
type EndedTotals struct {
	Held   int64 `cbor:"1,keyasint,omitempty" json:"held"`
	Billed int64 `cbor:"2,keyasint,omitempty" json:"billed"`
}

// Deposit adds tokens to the pool.
func (a *Account) Deposit(tokens int64) {
	a.Deposited += tokens
	a.Pool += tokens
}

// Draw moves tokens from the pool to the grant of epoch and returns the new
// cumulative total. A draw that was made against another total than the
// current one is a resend or late: it changes nothing.
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

// Report takes a ledger's counters in; older ones change nothing. Counters
// that would break the account are refused with ErrBroken.
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
		return errors.Newf("epoch %s billed %d out of %d: %w", epoch, counters.Billed, grant.Held(), ErrBroken)
	}
	a.Deposited += counters.Deposited - old.Deposited
	a.Pool += counters.Returned - old.Returned
	a.setGrant(epoch, grant)
	return nil
}

// Close ends an epoch; what it did not report as billed stays in doubt.
func (a *Account) Close(epoch string) {
	grant := a.Grants[epoch]
	grant.Closed = true
	a.setGrant(epoch, grant)
}

// Forget ends an epoch for good: what it did not report as billed counts as
// spent, and only the sums of its grant are kept.
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
// returns how many they were.
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

// Billed returns the tokens that are known to be billed.
func (a *Account) Billed() int64 {
	total := a.EndedTotals.Billed
	for _, grant := range a.Grants {
		total += grant.Counters.Billed - grant.Counters.Voided
	}
	return total
}

// InDoubt returns the tokens held by closed epochs.
func (a *Account) InDoubt() int64 {
	total := a.EndedTotals.Held - a.EndedTotals.Billed
	for _, grant := range a.Grants {
		if grant.Closed {
			total += grant.Unspent()
		}
	}
	return total
}

// Check returns an error that wraps ErrBroken unless the deposits equal the
// pool plus all grants and nothing is negative.
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
