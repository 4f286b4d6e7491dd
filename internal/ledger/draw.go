package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/group"
)

// draw asks the group for the tokens that requests of a workspace wait for.
// One draw of a workspace runs at a time; the others wait for it.
func (l *Ledger) draw(ctx context.Context, workspace string, needed int64) error {
	return l.proposeDraw(ctx, workspace, func(escrow budget.Escrow, f *demand) (group.Draw, bool) {
		want := budget.DrawSize(max(needed, f.waiting), f.target, escrow)
		return group.Draw{Want: want}, escrow.Available() < needed
	})
}

// drawAhead fills the escrow up to its target before requests run short.
func (l *Ledger) drawAhead(ctx context.Context, workspace string) error {
	return l.proposeDraw(ctx, workspace, func(budget.Escrow, *demand) (group.Draw, bool) {
		return group.Draw{UpToTarget: true}, true
	})
}

// proposeDraw proposes the draw that decide makes of the state and installs its
// result.
func (l *Ledger) proposeDraw(ctx context.Context, workspace string, decide func(budget.Escrow, *demand) (group.Draw, bool)) error {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	slot := l.drawSlot(workspace)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return errors.Newf("wait for another draw: %w", ctx.Err())
	}
	defer func() { <-slot }()
	err := l.register(ctx)
	if err != nil {
		return err
	}
	draw, needed := l.makeDraw(workspace, decide)
	if !needed {
		return nil
	}
	result, err := group.Propose(ctx, l.options.Group, draw)
	if err != nil {
		return errors.Newf("draw: %w", err)
	}
	if result.Code != group.CodeDone {
		return errors.Newf("draw: %s: %s", result.Code, result.Detail)
	}
	l.learn(result.Targets)
	return l.install(workspace, result.Granted)
}

// makeDraw makes a draw of the state.
func (l *Ledger) makeDraw(workspace string, decide func(budget.Escrow, *demand) (group.Draw, bool)) (group.Draw, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	followed := l.follow(workspace)
	escrow := *l.state.account(workspace)
	draw, needed := decide(escrow, followed)
	now := time.Now()
	draw.Epoch = l.state.epoch
	draw.Workspace = workspace
	draw.KnownGrant = escrow.Granted
	draw.Demand = followed.spent.PerHour(now)
	if needed {
		followed.asked = now
		followed.told = draw.Demand
	}
	return draw, needed
}

// install journals a grant without waiting for the sync: a grant that is
// forgotten by a crash is learnt again from the group.
func (l *Ledger) install(workspace string, total int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if total <= l.state.account(workspace).Granted {
		return nil
	}
	l.commit(granted{Workspace: workspace, Granted: total})
	return nil
}

func (l *Ledger) drawSlot(workspace string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	slot := l.draws[workspace]
	if slot == nil {
		slot = make(chan struct{}, 1)
		l.draws[workspace] = slot
	}
	return slot
}

// register makes the epoch known to the group.
func (l *Ledger) register(ctx context.Context) error {
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

// run reports the counters to the group and sizes the grants at an interval.
func (l *Ledger) run(ctx context.Context) {
	defer close(l.done)
	l.followHeld()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		err := l.reportAndSize(ctx)
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

func (l *Ledger) reportAndSize(ctx context.Context) error {
	changed := l.takeChanged()
	for len(changed) > 0 {
		err := l.report(ctx, changed)
		if err != nil {
			l.putChanged(changed)
			return err
		}
		err = l.size(ctx, changed)
		if err != nil {
			return err
		}
		if len(changed) < maxReported {
			break
		}
		changed = l.takeChanged()
	}
	return l.size(ctx, l.someFollowed())
}

// report sends counters to the group once they are durable.
func (l *Ledger) report(ctx context.Context, changed map[string]budget.Counters) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := l.register(ctx)
	if err != nil {
		return err
	}
	err = l.durable()
	if err != nil {
		return err
	}
	result, err := group.Propose(ctx, l.options.Group, group.Report{Epoch: l.Epoch(), Counters: changed})
	if err != nil {
		return errors.Newf("report counters: %w", err)
	}
	l.learn(result.Targets)
	return nil
}

// takeChanged returns the counters that changed since they were last taken, a
// bounded number of them.
func (l *Ledger) takeChanged() map[string]budget.Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := make(map[string]budget.Counters)
	for workspace := range l.changed {
		if len(changed) == maxReported {
			break
		}
		delete(l.changed, workspace)
		changed[workspace] = l.state.account(workspace).Counters()
	}
	return changed
}

// putChanged makes the next report take the counters again.
func (l *Ledger) putChanged(unreported map[string]budget.Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace := range unreported {
		l.changed[workspace] = struct{}{}
	}
}
