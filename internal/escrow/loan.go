package escrow

import (
	"context"
	"slices"
	"time"
)

const (
	// roundLimit bounds one round of asking other holders.
	roundLimit = 200 * time.Millisecond
	// refusedPause follows a round that brought too little.
	refusedPause = 100 * time.Millisecond
	// aheadSeconds of the own demand is borrowed beside what requests wait for.
	aheadSeconds   = 1
	secondsPerHour = 3600
	// lendFactor is how much is drawn for each token that a borrower wants: a
	// lender gives half of what it has.
	lendFactor = 2
	// extraLenders is how many holders that are not known to have tokens are
	// asked last: one that is in touch with the group draws what it is asked for.
	extraLenders = 2
	// wantedFor is how long a lender holds what it draws for borrowers, who ask
	// again.
	wantedFor = 400 * time.Millisecond
)

// round is one round of asking other holders for one workspace's tokens.
type round struct {
	done chan struct{}
}

// borrow reserves tokens out of what other holders lend. Requests of one
// workspace share a round.
func (h *Holder) borrow(ctx context.Context, workspace string, a *account, tokens int64) error {
	if h.Borrow == nil {
		return ErrUnavailable
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for ctx.Err() == nil {
		if a.escrow.Reserve(tokens) {
			return nil
		}
		if time.Since(a.refused) < refusedPause {
			return ErrUnavailable
		}
		shared := a.round
		if shared == nil {
			h.runRound(workspace, a)
			continue
		}
		h.mu.Unlock()
		_ = wait(ctx, shared.done)
		h.mu.Lock()
	}
	return ErrUnavailable
}

// runRound asks one lender after another until the requests that wait can be
// served. It is called with mu held.
func (h *Holder) runRound(workspace string, a *account) {
	current := &round{done: make(chan struct{})}
	a.round = current
	lenders := a.lenders
	cut := h.failing
	if cut && h.Others != nil {
		lenders = append(slices.Clone(lenders), h.Others(extraLenders)...)
	}
	// The round serves all requests that wait, not only the one that began it.
	ctx, cancel := context.WithTimeout(context.Background(), roundLimit)
	defer cancel()
	for _, lender := range lenders {
		short := a.waiting - a.escrow.Available()
		if short <= 0 || ctx.Err() != nil {
			break
		}
		ask := short + a.demand.PerHour(time.Now())*aheadSeconds/secondsPerHour
		h.mu.Unlock()
		h.Borrow(ctx, lender, workspace, ask, cut)
		h.mu.Lock()
	}
	if a.waiting > a.escrow.Available() {
		a.refused = time.Now()
	}
	a.round = nil
	close(current.done)
}

// Lend gives tokens of a workspace to another holder and returns how many. With
// draw it draws what it lacks: the borrower cannot and will ask again.
func (h *Holder) Lend(workspace string, asked int64, draw bool) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[workspace]
	if a == nil {
		return 0
	}
	now := time.Now()
	lent := a.escrow.Lend(asked, h.demandOf(a, now))
	if draw && lent < asked && !h.failing && !h.leaving {
		a.wanted = max(asked-lent, a.wantedAt(now))
		a.wantedUntil = now.Add(wantedFor)
		h.signal()
	}
	if lent > 0 {
		h.Log.Info("tokens lent", "workspace", workspace, "asked", asked, "lent", lent, "available", a.escrow.Available())
	}
	return lent
}

// wantedAt returns the tokens that borrowers asked for lately and did not get.
func (a *account) wantedAt(now time.Time) int64 {
	if now.After(a.wantedUntil) {
		return 0
	}
	return a.wanted
}

// TakeLoan takes in what another holder lent. Its sender has counted the tokens
// as spent, so that they are lost unless they are taken.
func (h *Holder) TakeLoan(lender, workspace string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(workspace)
	a.escrow.Borrow(tokens)
	h.Log.Info("tokens borrowed", "workspace", workspace, "lender", lender, "tokens", tokens, "available", a.escrow.Available(), "waiting", a.waiting)
}
