package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/group"
)

// draw draws the tokens that requests of a workspace wait for. Only one draw of
// a workspace runs at a time; further ones wait and draw only if tokens are
// still missing.
func (l *Ledger) draw(ctx context.Context, workspace string, needed int64) error {
	return l.proposeDraw(ctx, workspace, func(escrow budget.Escrow, demand *workspaceDemand) (group.Draw, bool) {
		want := budget.DrawSize(max(needed, demand.waitingTokens), demand.target, escrow)
		return group.Draw{Want: want}, escrow.Available() < needed
	})
}

// drawUpToTarget fills the escrow up to its target before requests run out of
// tokens.
func (l *Ledger) drawUpToTarget(ctx context.Context, workspace string) error {
	return l.proposeDraw(ctx, workspace, func(budget.Escrow, *workspaceDemand) (group.Draw, bool) {
		return group.Draw{UpToTarget: true}, true
	})
}

// proposeDraw builds a draw from the state with plan, proposes it to the
// control group and installs the grant. If plan returns false, it does nothing.
func (l *Ledger) proposeDraw(ctx context.Context, workspace string, plan func(budget.Escrow, *workspaceDemand) (group.Draw, bool)) error {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	slot := l.drawSlot(workspace)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return errors.Newf("wait for the running draw of the workspace: %w", ctx.Err())
	}
	defer func() { <-slot }()
	err := l.registerEpoch(ctx)
	if err != nil {
		return err
	}
	draw, needed := l.buildDraw(workspace, plan)
	if !needed {
		return nil
	}
	result, err := group.Propose(ctx, l.options.Group, draw)
	if err != nil {
		return errors.Newf("propose draw: %w", err)
	}
	if result.Code != group.CodeDone {
		return errors.Newf("draw refused: %s: %s", result.Code, result.Detail)
	}
	l.setTargets(result.Targets)
	return l.installGrant(workspace, result.Granted)
}

// buildDraw completes the draw of plan with the state of the workspace. The
// second result is false if no draw is needed.
func (l *Ledger) buildDraw(workspace string, plan func(budget.Escrow, *workspaceDemand) (group.Draw, bool)) (group.Draw, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := l.demandOf(workspace)
	escrow := *l.state.account(workspace)
	draw, needed := plan(escrow, demand)
	now := time.Now()
	draw.Epoch = l.state.epoch
	draw.Workspace = workspace
	draw.KnownGrant = escrow.Granted
	draw.Demand = demand.spendRate.PerHour(now)
	if needed {
		demand.queriedAt = now
		demand.reportedDemand = draw.Demand
	}
	return draw, needed
}

// installGrant journals a grant without waiting for the sync: if a crash loses
// the record, the next draw gets the grant from the control group again.
func (l *Ledger) installGrant(workspace string, total int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if total <= l.state.account(workspace).Granted {
		return nil
	}
	l.commit(granted{Workspace: workspace, Granted: total})
	return nil
}

// drawSlot returns the channel that limits a workspace to one draw at a time.
func (l *Ledger) drawSlot(workspace string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.drawSlots[workspace]
	if slot == nil {
		slot = make(chan struct{}, 1)
		l.drawSlots[workspace] = slot
	}
	return slot
}

// registerEpoch registers the ledger's epoch with the control group, unless
// that is done already.
func (l *Ledger) registerEpoch(ctx context.Context) error {
	l.mu.Lock()
	registered := l.registered
	epoch := l.state.epoch
	l.mu.Unlock()
	if registered {
		return nil
	}
	_, err := group.Propose(ctx, l.options.Group, group.OpenEpoch{
		Epoch:         epoch,
		Instance:      l.options.Instance,
		FailureDomain: l.options.FailureDomain,
	})
	if err != nil {
		return errors.Newf("open ledger epoch: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registered = true
	return nil
}

// run reports the counters to the control group and adjusts the grants at an
// interval.
func (l *Ledger) run(ctx context.Context) {
	defer close(l.done)
	l.trackHeldWorkspaces()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		err := l.reportAndAdjust(ctx)
		if err != nil && ctx.Err() == nil {
			l.options.Log.Debug("report to the control group failed; retrying", "err", err.Error())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reportAndAdjust reports all changed counters in batches and adjusts the
// grants of their workspaces, and then those of a sample of the other
// workspaces.
func (l *Ledger) reportAndAdjust(ctx context.Context) error {
	changed := l.takeUnreported()
	for len(changed) > 0 {
		err := l.report(ctx, changed)
		if err != nil {
			l.requeueUnreported(changed)
			return err
		}
		err = l.adjustGrants(ctx, changed)
		if err != nil {
			return err
		}
		if len(changed) < maxReported {
			break
		}
		changed = l.takeUnreported()
	}
	return l.adjustGrants(ctx, l.sampleTracked())
}

// report sends counters to the control group once they are durable.
func (l *Ledger) report(ctx context.Context, changed map[string]budget.Counters) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := l.registerEpoch(ctx)
	if err != nil {
		return err
	}
	err = l.awaitDurable()
	if err != nil {
		return err
	}
	result, err := group.Propose(ctx, l.options.Group, group.Report{Epoch: l.Epoch(), Counters: changed})
	if err != nil {
		return errors.Newf("report counters: %w", err)
	}
	l.setTargets(result.Targets)
	return nil
}

// takeUnreported removes at most maxReported workspaces from the unreported
// ones and returns their counters.
func (l *Ledger) takeUnreported() map[string]budget.Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	unreported := make(map[string]budget.Counters)
	for workspace := range l.unreported {
		if len(unreported) == maxReported {
			break
		}
		delete(l.unreported, workspace)
		unreported[workspace] = l.state.account(workspace).Counters()
	}
	return unreported
}

// requeueUnreported adds the workspaces to the next report.
func (l *Ledger) requeueUnreported(counters map[string]budget.Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace := range counters {
		l.unreported[workspace] = struct{}{}
	}
}
