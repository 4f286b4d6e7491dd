package escrow

import (
	"context"
	"slices"
	"time"
)

const (
	// borrowRoundTimeout bounds one borrowing round.
	borrowRoundTimeout = 200 * time.Millisecond
	// borrowRetryDelay is the pause after a borrowing round that brought too few
	// tokens.
	borrowRetryDelay = 100 * time.Millisecond
	// borrowAheadSeconds is how many seconds of its own demand a holder borrows
	// in addition to the tokens that requests wait for.
	borrowAheadSeconds = 1
	secondsPerHour     = 3600
	// unmetLoanDrawFactor is how many tokens a lender draws for each token that
	// a borrower lacks, because it lends at most half of its own tokens.
	unmetLoanDrawFactor = 2
	// fallbackLenders is how many randomly chosen holders a round borrows from
	// last while the control group is unreachable. Such a holder draws the
	// requested tokens if it can reach the control group.
	fallbackLenders = 2
	// unmetLoanTTL is how long a lender keeps tokens that it draws for a
	// borrower, which requests them again.
	unmetLoanTTL = 400 * time.Millisecond
)

// borrowRound is one round of requests to other holders for tokens of one
// workspace. done is closed when the round ends.
type borrowRound struct {
	done chan struct{}
}

// borrow reserves tokens that other holders lend, and returns ErrUnavailable if
// they lend too few. Requests of one workspace share a borrowing round.
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

// runBorrowRound borrows from one lender after another until the account covers
// all waiting requests. The caller holds mu, which is released while Borrow runs.
func (h *Holder) runBorrowRound(workspace string, a *account) {
	current := &borrowRound{done: make(chan struct{})}
	a.borrowRound = current
	lenders := a.lenders
	groupUnreachable := h.exchangeFailed
	if groupUnreachable && h.RandomPeers != nil {
		lenders = append(slices.Clone(lenders), h.RandomPeers(fallbackLenders)...)
	}
	// The context is independent of the request that started the round, since
	// the round serves all waiting requests.
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

// Lend lends up to the requested tokens of a workspace to another holder and
// returns how many it lent. The tokens count as billed. If draw is set, the
// borrower cannot reach the control group: the lender draws the tokens that it
// lacks from the pool, and the borrower requests them again.
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

// unmetLoanAt returns the number of tokens that borrowers requested within
// unmetLoanTTL before now and did not get.
func (a *account) unmetLoanAt(now time.Time) int64 {
	if now.After(a.unmetLoanUntil) {
		return 0
	}
	return a.unmetLoan
}

// TakeLoan adds tokens that the holder at the address lender has lent. The lender
// has counted them as spent, so they are lost unless they are added here.
func (h *Holder) TakeLoan(lender, workspace string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(workspace)
	a.escrow.Borrow(tokens)
	h.Log.Info("tokens borrowed", "workspace", workspace, "lender", lender, "tokens", tokens, "available", a.escrow.Available(), "waiting", a.waitingTokens)
}
