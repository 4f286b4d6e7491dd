package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	// refreshInterval is the time between two questions for a target that may
	// have changed without a draw or report.
	refreshInterval = 10 * time.Second
	// maxAsksPerRound bounds the draws ahead between two reports.
	maxAsksPerRound = 64
	// maxReported bounds the budgets of one report.
	maxReported = 4096
	// maxFollowed bounds the unchanged budgets that one round looks at.
	maxFollowed = 1024
)

// demand is what a ledger follows of one workspace; the ledger's mutex guards
// it.
type demand struct {
	spent budget.Demand
	// waiting is the tokens that requests wait for.
	waiting int64
	// target is the unspent tokens that the group wants the ledger to hold.
	target int64
	// asked is when the group was last asked, and told the demand it learnt.
	asked time.Time
	told  int64
	// freed is closed when tokens may have become available.
	freed chan struct{}
}

// follow returns what is followed of a workspace; the caller holds mu.
func (l *Ledger) follow(workspace string) *demand {
	if l.demands == nil {
		l.demands = make(map[string]*demand)
	}
	followed := l.demands[workspace]
	if followed == nil {
		followed = &demand{freed: make(chan struct{})}
		l.demands[workspace] = followed
	}
	return followed
}

// followHeld follows every workspace of which the journal holds tokens.
func (l *Ledger) followHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, escrow := range l.state.accounts {
		l.changed[workspace] = struct{}{}
		if escrow.Available() > 0 {
			l.follow(workspace)
		}
	}
}

// observe takes in a committed change; the caller holds mu.
func (l *Ledger) observe(c change) {
	switch c := c.(type) {
	case reserved:
		l.changed[c.Reserve.Workspace] = struct{}{}
	case settled:
		l.follow(c.Settle.Workspace).spent.Observe(time.Now(), c.Settle.Tokens)
		l.notify(c.Settle.Workspace)
	case released:
		l.notify(c.Release.Workspace)
	case voided:
		l.notify(c.Attempt.Workspace)
	case granted:
		l.notify(c.Workspace)
	case returned:
		l.changed[c.Workspace] = struct{}{}
	case deposited:
		l.notify(c.Deposit.Workspace)
	}
}

// notify wakes the requests that wait for tokens; the caller holds mu.
func (l *Ledger) notify(workspace string) {
	l.changed[workspace] = struct{}{}
	followed := l.follow(workspace)
	close(followed.freed)
	followed.freed = make(chan struct{})
}

// learn takes in the targets that the group answered.
func (l *Ledger) learn(targets map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, target := range targets {
		l.follow(workspace).target = target
	}
}

// someFollowed returns a bounded number of the followed workspaces, others each
// time.
func (l *Ledger) someFollowed() map[string]budget.Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	some := make(map[string]budget.Counters)
	for workspace := range l.demands {
		if len(some) == maxFollowed {
			break
		}
		some[workspace] = budget.Counters{}
	}
	return some
}

// size gives idle tokens of the workspaces back and draws ahead for them. The
// decrease is journaled here and reported after its sync.
func (l *Ledger) size(ctx context.Context, workspaces map[string]budget.Counters) error {
	for _, workspace := range l.recall(workspaces, time.Now()) {
		err := l.drawAhead(ctx, workspace)
		if err != nil {
			return errors.Newf("draw ahead for %s: %w", workspace, err)
		}
	}
	return nil
}

// recall returns idle tokens of the workspaces and the names of those whose
// target has to be asked for.
func (l *Ledger) recall(workspaces map[string]budget.Counters, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var asks []string
	for workspace := range workspaces {
		followed := l.demands[workspace]
		if followed == nil {
			continue
		}
		escrow := *l.state.account(workspace)
		if followed.isIdle(now, escrow) {
			delete(l.demands, workspace)
			continue
		}
		if followed.mayAsk(now, escrow) && len(asks) < maxAsksPerRound {
			asks = append(asks, workspace)
			continue
		}
		idle := escrow.Idle(followed.target)
		if idle > 0 && followed.waiting == 0 && !followed.asked.IsZero() {
			l.commit(returned{Workspace: workspace, Tokens: idle})
		}
	}
	return asks
}

// isIdle tells whether nothing of the workspace is in use here.
func (d *demand) isIdle(now time.Time, escrow budget.Escrow) bool {
	return d.waiting == 0 && escrow.Available() == 0 && escrow.Reserved == 0 && d.spent.PerHour(now) == 0
}

func (d *demand) mayAsk(now time.Time, escrow budget.Escrow) bool {
	return escrow.Low(d.target) || now.Sub(d.asked) >= refreshInterval
}

// Deposit is a number of prepaid tokens that an operator adds at one failure
// domain; idempotent by ID.
type Deposit struct {
	ID        string `cbor:"1,keyasint" json:"id"`
	Workspace string `cbor:"2,keyasint" json:"workspace"`
	Tokens    int64  `cbor:"3,keyasint" json:"tokens"`
}

// ErrDepositReused reports a deposit under the id of another one.
var ErrDepositReused = errors.New("the id was used for another deposit: choose a new one")

// Deposit accepts tokens for this failure domain, also while it is cut off;
// the group learns of them with the next report.
func (l *Ledger) Deposit(_ context.Context, d Deposit) error {
	synced, err := l.tryDeposit(d)
	if err != nil {
		return errors.Newf("deposit: %w", invalid(err))
	}
	err = unavailable(<-synced)
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
		return nil, ErrDepositReused
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
