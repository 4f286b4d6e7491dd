package escrow

import "time"

// Outlook tells what Reserve would find.
type Outlook struct {
	// Balance is zero if the holder has no account of the workspace.
	Balance
	// Err is what Reserve would return at once: nil if the holder has the tokens, and
	// ErrExhausted if it knows that the budget does not cover them. It is ErrUnavailable if
	// Reserve would wait for an exchange or a loan, which may bring them.
	Err error
}

// Outlook tells what a reservation of tokens would find now. It reserves nothing, opens no
// account and starts no exchange.
func (h *Holder) Outlook(workspace string, tokens int64) Outlook {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[workspace]
	if a == nil {
		return Outlook{Err: ErrUnavailable}
	}
	now := time.Now()
	o := Outlook{Balance: a.balance(now)}
	switch {
	case a.escrow.CanReserve(tokens):
	case h.knowsExhausted(a, now, tokens):
		o.Err = ErrExhausted
	default:
		o.Err = ErrUnavailable
	}
	return o
}

// knowsExhausted reports whether a request for the tokens is refused without an exchange; mu is
// held.
func (h *Holder) knowsExhausted(a *account, now time.Time, tokens int64) bool {
	return !h.exchangeFailed && a.isKnownExhausted(now, tokens)
}
