package escrow

import "time"

// unmetLoanTTL is how long a lender keeps tokens that it draws for a borrower, which
// requests them again.
const unmetLoanTTL = 400 * time.Millisecond

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
	lent := a.escrow.Lend(requested)
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
	if a.borrowRound != nil {
		a.borrowRound.lent[lender] += tokens
	}
	a.notifyWaiters()
	h.Log.Info("tokens borrowed", "workspace", workspace, "lender", lender, "tokens", tokens, "available", a.escrow.Available(), "waiting", a.waitingTokens)
}
