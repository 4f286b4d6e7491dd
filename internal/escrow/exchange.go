package escrow

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// reportInterval is the time between two exchanges while no request waits
	// for tokens.
	reportInterval = 700 * time.Millisecond
	// refreshInterval is the time after which an exchange includes an account
	// even if nothing changed. The holder then learns its new target and
	// returns tokens that other holders need.
	refreshInterval = time.Second
	// idleRefreshInterval is the same for an account that holds no tokens and that
	// no request has used for as long. At a site of hundreds of entries these are
	// nearly all accounts.
	idleRefreshInterval = 5 * time.Second
	// exchangeTimeout bounds one exchange. It is longer than a commit of the
	// control group takes on slow disks.
	exchangeTimeout = 800 * time.Millisecond
	// exchangeRetryDelay is the pause after a failed exchange.
	exchangeRetryDelay = 60 * time.Millisecond
	// batchDelay lets requests that arrive together share an exchange.
	batchDelay = 4 * time.Millisecond
)

// run exchanges tokens when requests wait or an account runs low, and at least
// every reportInterval, until ctx ends.
func (h *Holder) run(ctx context.Context) {
	defer close(h.done)
	for ctx.Err() == nil {
		timer := time.NewTimer(reportInterval)
		select {
		case <-h.wake:
			sleep.For(ctx, batchDelay)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() == nil {
			h.exchange(ctx)
		}
	}
}

// exchange sends the pending exchange, if any, and applies its results. After a
// failure it pauses and schedules the next exchange.
func (h *Holder) exchange(ctx context.Context) {
	pendingExchange := h.pendingExchange()
	if pendingExchange == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	results, err := h.Exchanger.Exchange(ctx, pendingExchange)
	if err != nil {
		h.Log.Warn("tokens could not be exchanged", "err", err.Error(), "workspaces", len(pendingExchange.Workspaces))
		h.recordExchangeFailure()
		sleep.For(ctx, exchangeRetryDelay)
		h.wakeExchange()
		return
	}
	h.applyExchange(pendingExchange, results)
}

// pendingExchange returns idle tokens to the pool and returns the exchange to
// send. It returns nil if no account needs an exchange.
func (h *Holder) pendingExchange() *group.Exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	items := make(map[string]group.ExchangeItem)
	for workspace, a := range h.accounts {
		if h.leaving {
			a.target = 0
		}
		wanted := a.waitingTokens + a.unmetLoanAt(now)
		idle := a.escrow.IdleUnreserved(a.target)
		if wanted == 0 && idle > 0 {
			a.escrow.Return(idle)
		}
		counters := a.escrow.Counters()
		recent := a.exchangeCount > 0 && now.Sub(a.lastExchange) < a.refreshInterval(now)
		if recent && wanted == 0 && counters == a.reported && !a.escrow.LowUnreserved(a.target) {
			continue
		}
		items[workspace] = group.ExchangeItem{
			Counters:   counters,
			KnownGrant: a.escrow.Granted,
			Need:       max(0, wanted-a.escrow.Available()),
			Demand:     h.demandOf(a, now),
			Leaving:    h.leaving,
		}
	}
	if len(items) == 0 {
		return nil
	}
	return &group.Exchange{Epoch: h.Epoch, Instance: h.Instance, FailureDomain: h.FailureDomain, Address: h.Address, Workspaces: items}
}

// refreshInterval returns the time after which an exchange includes the account even if
// nothing changed.
func (a *account) refreshInterval(now time.Time) time.Duration {
	if a.escrow.Available() == 0 && a.escrow.Reserved == 0 && now.Sub(a.lastUsed) >= idleRefreshInterval {
		return idleRefreshInterval
	}
	return refreshInterval
}

// recordExchangeFailure makes waiting requests, and those that arrive before the
// next successful exchange, borrow from other holders without waiting.
func (h *Holder) recordExchangeFailure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exchangeFailed = true
	for _, a := range h.accounts {
		a.notifyWaiters()
	}
}

// notifyWaiters wakes the requests that wait for tokens of the account. The
// caller holds the holder's mu.
func (a *account) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// demandOf returns an account's demand in tokens per hour, which is 0 while the
// holder is leaving.
func (h *Holder) demandOf(a *account, now time.Time) int64 {
	if h.leaving {
		return 0
	}
	return a.demand.PerHour(now)
}

// applyExchange stores the results of a successful exchange. Workspaces without
// a result are left unchanged.
func (h *Holder) applyExchange(sent *group.Exchange, results map[string]group.ExchangeResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for workspace, item := range sent.Workspaces {
		result, found := results[workspace]
		if !found {
			continue
		}
		a := h.account(workspace)
		a.escrow.Granted = max(a.escrow.Granted, result.Granted)
		a.target = result.Target
		a.totalRemaining = result.Unspent
		a.totalReserved = result.Reserved
		a.lenders = result.Lenders
		a.reported = item.Counters
		a.exchangeCount++
		a.lastExchange = time.Now()
		a.notifyWaiters()
	}
	h.exchangeFailed = false
	h.exchangeOverdue = false
}
