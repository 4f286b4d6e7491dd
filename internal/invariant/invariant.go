// Package invariant checks the program's invariants at run time. A violation is
// counted and logged, and the caller refuses the current operation. In tests it
// fails the test.
package invariant

import (
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Names of the invariants, as they appear in logs and metrics.
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

// ErrViolated reports an operation that was refused because it would violate an
// invariant.
var ErrViolated = errors.New("invariant broken")

// Checker counts invariant violations. Its zero value is ready to use, and its
// methods may be called concurrently.
type Checker struct {
	// Log receives each violation; nil disables logging.
	Log *log.Logger
	// Scope receives a counter of the violations; nil disables the metric.
	Scope tally.Scope
	// Fatal is called with each violation if it is not nil. Tests set it.
	Fatal func(error)

	mu     sync.Mutex
	counts map[string]int64
}

// Check returns nil if holds is true. Otherwise it reports a violation of the
// invariant called name and returns an error that wraps ErrViolated; format and
// args describe the violation. A nil Checker only returns the error.
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

// Count returns the number of violations of the invariant called name.
func (c *Checker) Count(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// report counts and logs a violation and calls Fatal.
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
