// Package invariant asserts in the running program what must always hold. A
// broken one is counted and logged, the operation at hand is refused, and in
// tests it is fatal.
package invariant

import (
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Names of the invariants.
const (
	DepositsBalance             = "deposits_equal_pool_plus_grants"
	WithinGrant                 = "reserved_and_billed_within_grant"
	OneBillPerKey               = "one_bill_per_key"
	BillWithinReservation       = "bill_within_reservation"
	TransitionInChart           = "transition_in_chart"
	NonRepeatableDispatchedOnce = "non_repeatable_dispatched_once"
	NotRunWithoutDispatch       = "not_run_without_dispatch"
	VersionMonotonic            = "configuration_version_monotonic"
	NoDispatchToLeavingServer   = "no_dispatch_to_leaving_server"
	ResponseMatchesAttempt      = "answer_matches_attempt"
	OneLeaderPerTerm            = "one_leader_per_term"
	CommittedEntriesStable      = "committed_entries_never_change"
	AppliedMonotonic            = "applied_index_monotonic"
	OneEntryPerIndex            = "one_entry_per_index_and_term"
)

// ErrViolated reports an operation that was refused because an invariant did
// not hold.
var ErrViolated = errors.New("invariant broken")

// Checker counts broken invariants; its zero value works.
type Checker struct {
	// Log receives each broken invariant; nil means none.
	Log *log.Logger
	// Scope counts them; nil means none.
	Scope tally.Scope
	// Fatal is called with each broken invariant; tests set it.
	Fatal func(error)

	mu     sync.Mutex
	counts map[string]int64
}

// Check returns nil when holds, else an error that wraps ErrBroken. A nil
// Checker only returns the error.
func (c *Checker) Check(holds bool, name, format string, args ...any) error {
	if holds {
		return nil
	}
	detail := errors.Newf(format, args...)
	err := errors.Newf("%s: %s: %w", name, detail.Error(), ErrViolated)
	if c == nil {
		return err
	}
	c.report(name, err)
	return err
}

// Count returns how often the invariant called name was broken.
func (c *Checker) Count(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

func (c *Checker) report(name string, err error) {
	c.mu.Lock()
	if c.counts == nil {
		c.counts = make(map[string]int64)
	}
	c.counts[name]++
	c.mu.Unlock()
	if c.Log != nil {
		c.Log.Error("invariant broken", "invariant", name, "err", err.Error())
	}
	if c.Scope != nil {
		c.Scope.Tagged(map[string]string{"invariant": name}).Counter("invariant_broken").Inc(1)
	}
	if c.Fatal != nil {
		c.Fatal(err)
	}
}
