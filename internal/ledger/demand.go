package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	// targetRefreshInterval is the time between two questions for a target that may
	// have changed without a draw or report.
	targetRefreshInterval = 10 * time.Second
	// maxDrawsPerRound bounds the draws ahead between two reports.
	maxDrawsPerRound = 64
	// maxReported bounds the budgets of one report.
	maxReported = 4096
	// maxSampled bounds the unchanged budgets that one round looks at.
	maxSampled = 1024
)

// workspaceDemand is what a ledger follows of one workspace; the ledger's mutex guards
// it.
type workspaceDemand struct {
	spendRate budget.Demand
	// waitingTokens is the tokens that requests wait for.
	waitingTokens int64
	// target is the unspent tokens that the group wants the ledger to hold.
	target int64
	// queriedAt is when the group was last queriedAt, and told the demand it learnt.
	queriedAt      time.Time
	reportedDemand int64
	// tokensFreed is closed when tokens may have become available.
	tokensFreed chan struct{}
}

// demandOf returns what is followed of a workspace; the caller holds mu.
func (l *Ledger) demandOf(workspace string) *workspaceDemand {
	if l.demands == nil {
		l.demands = make(map[string]*workspaceDemand)
	}
	demand := l.demands[workspace]
	if demand == nil {
		demand = &workspaceDemand{tokensFreed: make(chan struct{})}
		l.demands[workspace] = demand
	}
	return demand
}

// trackHeldWorkspaces follows every workspace of which the journal holds tokens.
func (l *Ledger) trackHeldWorkspaces() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, escrow := range l.state.accounts {
		l.unreported[workspace] = struct{}{}
		if escrow.Available() > 0 {
			l.demandOf(workspace)
		}
	}
}

// trackChange takes in a committed change; the caller holds mu.
func (l *Ledger) trackChange(c change) {
	switch c := c.(type) {
	case reserved:
		l.unreported[c.Reserve.Workspace] = struct{}{}
	case settled:
		l.demandOf(c.Settle.Workspace).spendRate.Observe(time.Now(), c.Settle.Tokens)
		l.wakeWaiters(c.Settle.Workspace)
	case released:
		l.wakeWaiters(c.Release.Workspace)
	case voided:
		l.wakeWaiters(c.Attempt.Workspace)
	case granted:
		l.wakeWaiters(c.Workspace)
	case returned:
		l.unreported[c.Workspace] = struct{}{}
	case deposited:
		l.wakeWaiters(c.Deposit.Workspace)
	}
}

// wakeWaiters wakes the requests that wait for tokens; the caller holds mu.
func (l *Ledger) wakeWaiters(workspace string) {
	l.unreported[workspace] = struct{}{}
	demand := l.demandOf(workspace)
	close(demand.tokensFreed)
	demand.tokensFreed = make(chan struct{})
}

// setTargets takes in the targets that the group answered.
func (l *Ledger) setTargets(targets map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, target := range targets {
		l.demandOf(workspace).target = target
	}
}

// sampleTracked returns a bounded number of the followed workspaces, others each
// time.
func (l *Ledger) sampleTracked() map[string]budget.Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	sample := make(map[string]budget.Counters)
	for workspace := range l.demands {
		if len(sample) == maxSampled {
			break
		}
		sample[workspace] = budget.Counters{}
	}
	return sample
}

// adjustGrants gives idle tokens of the workspaces back and draws ahead for them. The
// decrease is journaled here and reported after its sync.
func (l *Ledger) adjustGrants(ctx context.Context, workspaces map[string]budget.Counters) error {
	for _, workspace := range l.returnIdleTokens(workspaces, time.Now()) {
		err := l.drawUpToTarget(ctx, workspace)
		if err != nil {
			return errors.Newf("draw ahead for %s: %w", workspace, err)
		}
	}
	return nil
}

// returnIdleTokens returns idle tokens of the workspaces and the names of those whose
// target has to be asked for.
func (l *Ledger) returnIdleTokens(workspaces map[string]budget.Counters, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var toQuery []string
	for workspace := range workspaces {
		demand := l.demands[workspace]
		if demand == nil {
			continue
		}
		escrow := *l.state.account(workspace)
		if demand.isUnused(now, escrow) {
			delete(l.demands, workspace)
			continue
		}
		if demand.needsTarget(now, escrow) && len(toQuery) < maxDrawsPerRound {
			toQuery = append(toQuery, workspace)
			continue
		}
		idle := escrow.Idle(demand.target)
		if idle > 0 && demand.waitingTokens == 0 && !demand.queriedAt.IsZero() {
			l.commit(returned{Workspace: workspace, Tokens: idle})
		}
	}
	return toQuery
}

// isUnused tells whether nothing of the workspace is in use here.
func (d *workspaceDemand) isUnused(now time.Time, escrow budget.Escrow) bool {
	return d.waitingTokens == 0 && escrow.Available() == 0 && escrow.Reserved == 0 && d.spendRate.PerHour(now) == 0
}

func (d *workspaceDemand) needsTarget(now time.Time, escrow budget.Escrow) bool {
	return escrow.Low(d.target) || now.Sub(d.queriedAt) >= targetRefreshInterval
}

// Deposit is a number of prepaid tokens that an operator adds at one failure
// domain; idempotent by ID.
type Deposit struct {
	ID        string `cbor:"1,keyasint" json:"id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	Tokens    int64  `cbor:"3,keyasint" json:"tokens"`
}

// ErrDepositIDReused reports a deposit under the id of another one.
var ErrDepositIDReused = errors.New("the id was used for another deposit: choose a new one")

// Deposit accepts tokens for this failure domain, also while it is cut off;
// the group learns of them with the next report.
func (l *Ledger) Deposit(_ context.Context, d Deposit) error {
	synced, err := l.tryDeposit(d)
	if err != nil {
		return errors.Newf("deposit: %w", markInvalid(err))
	}
	err = markUnavailable(<-synced)
	if err != nil {
		return errors.Newf("deposit: %w", err)
	}
	return nil
}

func (l *Ledger) tryDeposit(d Deposit) (<-chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Tokens <= 0 || d.ID == "" || d.Workspace == "" {
		return nil, errors.New("a deposit needs an id, a workspace and tokens above zero")
	}
	old, found := l.state.deposits[d.ID]
	if found && old != d {
		return nil, ErrDepositIDReused
	}
	if found {
		return l.journal.Barrier(), nil
	}
	return l.commit(deposited{Deposit: d}), nil
}

// FailureDomain returns the failure domain that the ledger serves.
func (l *Ledger) FailureDomain() string {
	return l.options.FailureDomain
}

func (s *state) applyReturn(c returned, check *invariant.Checker) error {
	account := s.account(c.Workspace)
	if !account.Return(c.Tokens) {
		return check.Check(false, invariant.WithinGrant, "return %d of %d available", c.Tokens, account.Available())
	}
	return nil
}

func (s *state) applyDeposit(d Deposit) error {
	_, found := s.deposits[d.ID]
	if found {
		return errors.Newf("deposit %s was applied before", d.ID)
	}
	s.deposits[d.ID] = d
	s.account(d.Workspace).Deposit(d.Tokens)
	return nil
}
