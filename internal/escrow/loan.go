package escrow

import (
	"context"
	"slices"
	"time"
)

const (
	// borrowRoundTimeout bounds one round of asking other holders.
	borrowRoundTimeout = 200 * time.Millisecond
	// borrowRetryDelay follows a round that brought too little.
	borrowRetryDelay = 100 * time.Millisecond
	// borrowAheadSeconds of the own demand is borrowed beside what requests wait for.
	borrowAheadSeconds = 1
	secondsPerHour     = 3600
	// unmetLoanDrawFactor is how much is drawn for each token that a borrower wants: a
	// lender gives half of what it has.
	unmetLoanDrawFactor = 2
	// fallbackLenders is how many holders that are not known to have tokens are
	// asked last: one that is in touch with the group draws what it is asked for.
	fallbackLenders = 2
	// unmetLoanTTL is how long a lender holds what it draws for borrowers, who ask
	// again.
	unmetLoanTTL = 400 * time.Millisecond
)

// borrowRound is one borrowRound of asking other holders for one workspace's tokens.
type borrowRound struct {
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
		if time.Since(a.borrowFailedAt) < borrowRetryDelay {
			return ErrUnavailable
		}
		running := a.borrowRound
		if running == nil {
			h.runBorrowRound(workspace, a)
			continue
		}
		h.mu.Unlock()
		_ = waitClosed(ctx, running.done)
		h.mu.Lock()
	}
	return ErrUnavailable
}

// runBorrowRound asks one lender after another until the requests that wait can be
// served. It is called with mu held.
func (h *Holder) runBorrowRound(workspace string, a *account) {
	current := &borrowRound{done: make(chan struct{})}
	a.borrowRound = current
	lenders := a.lenders
	groupUnreachable := h.exchangeFailed
	if groupUnreachable && h.OtherHolders != nil {
		lenders = append(slices.Clone(lenders), h.OtherHolders(fallbackLenders)...)
	}
	// The round serves all requests that wait, not only the one that began it.
	ctx, cancel := context.WithTimeout(context.Background(), borrowRoundTimeout)
	defer cancel()
	for _, lender := range lenders {
		shortfall := a.waitingTokens - a.escrow.Available()
		if shortfall <= 0 || ctx.Err() != nil {
			break
		}
		amount := shortfall + a.demand.PerHour(time.Now())*borrowAheadSeconds/secondsPerHour
		h.mu.Unlock()
		h.Borrow(ctx, lender, workspace, amount, groupUnreachable)
		h.mu.Lock()
	}
	if a.waitingTokens > a.escrow.Available() {
		a.borrowFailedAt = time.Now()
	}
	a.borrowRound = nil
	close(current.done)
}

// Lend gives tokens of a workspace to another holder and returns how many. With
// draw it draws what it lacks: the borrower cannot and will ask again.
func (h *Holder) Lend(workspace string, requested int64, draw bool) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[workspace]
	if a == nil {
		return 0
	}
	now := time.Now()
	lent := a.escrow.Lend(requested, h.demandOf(a, now))
	if draw && lent < requested && !h.exchangeFailed && !h.leaving {
		a.unmetLoan = max(requested-lent, a.unmetLoanAt(now))
		a.unmetLoanUntil = now.Add(unmetLoanTTL)
		h.wakeExchange()
	}
	if lent > 0 {
		h.Log.Info("tokens lent", "workspace", workspace, "asked", requested, "lent", lent, "available", a.escrow.Available())
	}
	return lent
}

// unmetLoanAt returns the tokens that borrowers asked for lately and did not get.
func (a *account) unmetLoanAt(now time.Time) int64 {
	if now.After(a.unmetLoanUntil) {
		return 0
	}
	return a.unmetLoan
}

// TakeLoan takes in what another holder lent. Its sender has counted the tokens
// as spent, so that they are lost unless they are taken.
func (h *Holder) TakeLoan(lender, workspace string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(workspace)
	a.escrow.Borrow(tokens)
	h.Log.Info("tokens borrowed", "workspace", workspace, "lender", lender, "tokens", tokens, "available", a.escrow.Available(), "waiting", a.waitingTokens)
}
