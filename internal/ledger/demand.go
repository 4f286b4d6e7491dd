package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	// targetRefreshInterval is the time after which a workspace's target is
	// queried again. It may have changed without a draw or report of this
	// ledger.
	targetRefreshInterval = 10 * time.Second
	// maxDrawsPerRound bounds the draws up to the target in one round.
	maxDrawsPerRound = 64
	// maxReported bounds the workspaces in one report.
	maxReported = 4096
	// maxSampled bounds the workspaces without changed counters that one round
	// adjusts.
	maxSampled = 1024
)

// workspaceDemand is the demand for one workspace's tokens at this ledger. The
// ledger's mutex guards it.
type workspaceDemand struct {
	spendRate budget.Demand
	// waitingTokens is the sum of the tokens that requests wait for.
	waitingTokens int64
	// target is the number of unspent tokens that the control group wants the
	// ledger to hold.
	target int64
	// queriedAt is the time of the last draw, and reportedDemand the demand in
	// tokens per hour that the draw reported.
	queriedAt      time.Time
	reportedDemand int64
	// tokensFreed is closed when more tokens may be available.
	tokensFreed chan struct{}
}

// demandOf returns the demand of a workspace and creates it if it is absent.
// The caller holds mu.
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

// trackHeldWorkspaces reports every workspace in the journal and tracks the
// demand of those with available tokens.
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

// trackChange updates demand and reports after a committed change, and wakes
// the requests that wait for tokens. The caller holds mu.
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

// wakeWaiters wakes the requests that wait for a workspace's tokens. The caller
// holds mu.
func (l *Ledger) wakeWaiters(workspace string) {
	l.unreported[workspace] = struct{}{}
	demand := l.demandOf(workspace)
	close(demand.tokensFreed)
	demand.tokensFreed = make(chan struct{})
}

// setTargets stores the targets that the control group returned.
func (l *Ledger) setTargets(targets map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, target := range targets {
		l.demandOf(workspace).target = target
	}
}

// sampleTracked returns at most maxSampled tracked workspaces. The random order
// of map iteration makes it a different sample each time.
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

// adjustGrants returns idle tokens of the workspaces to the pool and draws up
// to their target. Returned tokens are journaled here and reported after the
// sync.
func (l *Ledger) adjustGrants(ctx context.Context, workspaces map[string]budget.Counters) error {
	for _, workspace := range l.returnIdleTokens(workspaces, time.Now()) {
		err := l.drawUpToTarget(ctx, workspace)
		if err != nil {
			return errors.Newf("draw up to the target of %s: %w", workspace, err)
		}
	}
	return nil
}

// returnIdleTokens returns idle tokens of the workspaces to the pool. Its
// result is the workspaces whose target must be queried first.
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

// isUnused reports whether the workspace has no waiting requests, available
// tokens, reservations or recent spending here.
func (d *workspaceDemand) isUnused(now time.Time, escrow budget.Escrow) bool {
	return d.waitingTokens == 0 && escrow.Available() == 0 && escrow.Reserved == 0 && d.spendRate.PerHour(now) == 0
}

// needsTarget reports whether the available tokens are low or the target is
// old, so that a draw is due.
func (d *workspaceDemand) needsTarget(now time.Time, escrow budget.Escrow) bool {
	return escrow.Low(d.target) || now.Sub(d.queriedAt) >= targetRefreshInterval
}

// Deposit is a number of prepaid tokens that an operator adds in one failure
// domain. It is idempotent by ID.
type Deposit struct {
	ID        string `cbor:"1,keyasint" json:"id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	Tokens    int64  `cbor:"3,keyasint" json:"tokens"`
}

// ErrDepositIDReused reports a deposit with the id of another deposit.
var ErrDepositIDReused = errors.New("the id was used for another deposit: choose a new one")

// Deposit accepts tokens for this failure domain, even while it cannot reach
// the control group. The group learns of them from the next report. A resend
// changes nothing.
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

// tryDeposit commits the deposit. The channel receives the result of the sync.
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

// applyReturn returns available tokens to the pool.
func (s *state) applyReturn(c returned, check *invariant.Checker) error {
	account := s.account(c.Workspace)
	if !account.Return(c.Tokens) {
		return check.Check(false, invariant.WithinGrant, "return %d of %d available", c.Tokens, account.Available())
	}
	return nil
}

// applyDeposit adds a deposit to the account of its workspace.
func (s *state) applyDeposit(d Deposit) error {
	_, found := s.deposits[d.ID]
	if found {
		return errors.Newf("deposit %s was applied before", d.ID)
	}
	s.deposits[d.ID] = d
	s.account(d.Workspace).Deposit(d.Tokens)
	return nil
}
