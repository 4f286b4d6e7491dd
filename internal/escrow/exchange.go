package escrow

import (
	"context"
	"time"

	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// reportInterval is the time between two exchanges that no request waits
	// for.
	reportInterval = 700 * time.Millisecond
	// refreshInterval is the time after which a holding is compared with the
	// group's, though nothing changed: what others need of it is returned.
	refreshInterval = time.Second
	// exchangeTimeout is above the time of a commit on slow disks.
	exchangeTimeout = 800 * time.Millisecond
	// retryPause follows an exchange that failed.
	retryPause = 60 * time.Millisecond
	// gatherPause lets requests that come together share an exchange.
	gatherPause = 4 * time.Millisecond
)

// run exchanges when requests wait, when a holding runs low, and to report.
func (h *Holder) run(ctx context.Context) {
	defer close(h.done)
	for ctx.Err() == nil {
		timer := time.NewTimer(reportInterval)
		select {
		case <-h.wake:
			sleep.For(ctx, gatherPause)
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() == nil {
			h.exchange(ctx)
		}
	}
}

func (h *Holder) exchange(ctx context.Context) {
	request := h.request()
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	shares, err := h.Exchanger.Exchange(ctx, request)
	if err != nil {
		h.Log.Warn("tokens could not be exchanged", "err", err.Error(), "workspaces", len(request.Workspaces))
		h.fail()
		sleep.For(ctx, retryPause)
		h.signal()
		return
	}
	h.take(request, shares)
}

// request returns what is to be exchanged, or nil.
func (h *Holder) request() *group.Exchange {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	items := make(map[string]group.ExchangeItem)
	for workspace, a := range h.accounts {
		if h.leaving {
			a.target = 0
		}
		wanted := a.waiting + lendFactor*a.wantedAt(now)
		idle := a.escrow.Idle(a.target)
		if wanted == 0 && idle > 0 {
			a.escrow.Return(idle)
		}
		counters := a.escrow.Counters()
		fresh := a.exchanges > 0 && now.Sub(a.exchanged) < refreshInterval
		if fresh && wanted == 0 && counters == a.reported && !a.escrow.Low(a.target) {
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

// fail makes the requests that wait, and those that come before the next
// exchange succeeds, go elsewhere at once.
func (h *Holder) fail() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing = true
	for _, a := range h.accounts {
		a.renew()
	}
}

// renew wakes those that wait for an exchange.
func (a *account) renew() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// demandOf returns an account's demand in tokens an hour; a leaving holder has
// none.
func (h *Holder) demandOf(a *account, now time.Time) int64 {
	if h.leaving {
		return 0
	}
	return a.demand.PerHour(now)
}

func (h *Holder) take(request *group.Exchange, shares map[string]group.ExchangeResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for workspace, item := range request.Workspaces {
		share, found := shares[workspace]
		if !found {
			continue
		}
		a := h.account(workspace)
		a.escrow.Granted = max(a.escrow.Granted, share.Granted)
		a.target = share.Target
		a.left = share.Unspent
		a.reserved = share.Reserved
		a.lenders = share.Lenders
		a.reported = item.Counters
		a.exchanges++
		a.exchanged = time.Now()
		a.renew()
	}
	h.failing = false
	h.overdue = false
}
