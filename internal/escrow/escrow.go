// Package escrow holds an entry's grants of the workspaces' budgets in memory
// and exchanges tokens with the control group. Tokens that an entry has not
// reported as returned when it ends count as spent.
package escrow

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/sleep"
)

const (
	// returnPollInterval is the time between two checks of ReturnAll for tokens
	// that are not yet returned.
	returnPollInterval = 20 * time.Millisecond
	// demandTimeConstant is the time over which the demand is averaged, and
	// demandWarmUp the minimum observation time of an estimate.
	demandTimeConstant = 5 * time.Second
	demandWarmUp       = time.Second
)

// ErrExhausted reports that the budget does not cover the request.
var ErrExhausted = errors.New("the workspace's budget does not cover the request")

// ErrUnavailable reports that the holder cannot tell whether the budget covers
// the request because the control group did not respond in time, or that other
// entries hold the tokens.
var ErrUnavailable = errors.New("the control group did not grant the tokens in time and other entries lent too few")

// ErrReserved reports that the budget covers the request only if requests in
// progress release reserved tokens that they do not spend.
var ErrReserved = errors.New("requests in progress have reserved the tokens that remain in the workspace's budget")

// Exchanger sends an exchange to the control group and returns its results by
// workspace. After an error, the exchange may have been applied or may still be
// applied.
type Exchanger interface {
	Exchange(ctx context.Context, exchange *group.Exchange) (map[string]group.ExchangeResult, error)
}

// Holder holds the grants of one entry and reserves tokens for its requests. The
// exported fields must be set before Start. After Start, the methods are safe for
// concurrent use.
type Holder struct {
	Exchanger Exchanger
	Log       *log.Logger
	// Epoch is the name of this run of the entry's process.
	Epoch         string
	Instance      string
	FailureDomain string
	// Address is where this holder receives datagrams from other holders.
	Address string
	// Borrow requests tokens from the holder at the address lender and waits a
	// short time for the loan, which arrives through TakeLoan, also after Borrow has
	// returned. It is called for several lenders at the same time. If draw is set,
	// the lender draws the tokens that it lacks from the pool. A nil Borrow
	// disables borrowing.
	Borrow func(ctx context.Context, lender, workspace string, tokens int64, draw bool)
	// RandomPeers returns the addresses of at most count other holders, chosen at
	// random. Nil means that there are none.
	RandomPeers func(count int) []string

	mu       sync.Mutex
	accounts map[string]*account
	// exchangeFailed reports whether the last exchange failed. exchangeOverdue
	// is set when a request times out while it waits for an exchange, and cleared
	// by the next successful exchange.
	exchangeFailed  bool
	exchangeOverdue bool
	// borrowed is the number of tokens that other holders have lent, loanRounds how many
	// borrowing rounds have ended, and failedLoanRounds how many of them brought too few.
	borrowed         int64
	loanRounds       int64
	failedLoanRounds int64
	// leaving reports whether the holder is shutting down.
	leaving bool
	// wake starts an exchange.
	wake chan struct{}

	stop context.CancelFunc
	done chan struct{}
}

// account is the holder's state of one workspace's budget.
type account struct {
	escrow budget.Escrow
	// target is the number of unreserved tokens that the holder should hold.
	target int64
	// The results of the last exchange: totalRemaining is the number of unspent
	// tokens of the workspace in the pool and all grants, totalReserved is how
	// many of them requests in progress have reserved, and lenders are the
	// addresses of the other holders with the most unspent tokens.
	totalRemaining int64
	totalReserved  int64
	lenders        []string
	demand         budget.Demand
	// lastUsed is when a request last asked for tokens.
	lastUsed time.Time
	// waitingTokens is the number of tokens that requests wait for.
	waitingTokens int64
	// reported is the counters of the last successful exchange.
	reported budget.Counters
	// changed is closed and replaced after each exchange, and when a request
	// that waits may find tokens released by another one.
	changed chan struct{}
	// exchangeCount is the number of successful exchanges.
	exchangeCount uint64
	// lastExchange is when the last successful exchange ended.
	lastExchange time.Time
	// borrowRound is the borrowing round in progress, or nil.
	borrowRound *borrowRound
	// knownLenders are holders that may hold more tokens, those that lent last first.
	knownLenders []string
	// borrowFailedAt is when a borrowing round last brought too few tokens.
	borrowFailedAt time.Time
	// unmetLoan is the number of tokens that borrowers requested and did not
	// get. It is valid until unmetLoanUntil.
	unmetLoan      int64
	unmetLoanUntil time.Time
}

// Reservation is a number of tokens set aside for one request. It stays in force
// until Settle is called.
type Reservation struct {
	holder    *Holder
	workspace string
	reserved  int64
	once      sync.Once
}

// Start starts a goroutine that exchanges tokens with the control group until
// Close is called.
func (h *Holder) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.done = make(chan struct{})
	h.wake = make(chan struct{}, 1)
	h.accounts = make(map[string]*account)
	go h.run(ctx)
}

// Close stops the exchanges and waits for the one in progress to end.
func (h *Holder) Close() {
	h.stop()
	<-h.done
}

// Leave makes the holder return all tokens that its requests do not need,
// because tokens that it still holds when it ends are lost.
func (h *Holder) Leave() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.wakeExchange()
}

// ReturnAll waits until the control group has received all unreserved tokens and
// the latest counters, or until ctx ends. Call it after Leave and before Close.
func (h *Holder) ReturnAll(ctx context.Context) {
	for ctx.Err() == nil && h.hasUnreturned() {
		h.wakeExchange()
		sleep.For(ctx, returnPollInterval)
	}
}

// hasUnreturned reports whether the holder has tokens to return or counters that
// the control group has not confirmed.
func (h *Holder) hasUnreturned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.accounts {
		if a.escrow.Transferable() > 0 || a.escrow.Counters() != a.reported {
			return true
		}
	}
	return false
}

// Reserve sets tokens of a workspace aside for a request. If the holder has too
// few, it waits for an exchange or a loan until ctx ends. Its errors wrap
// ErrExhausted, ErrReserved or ErrUnavailable.
func (h *Holder) Reserve(ctx context.Context, workspace string, tokens int64) (*Reservation, error) {
	h.mu.Lock()
	a := h.account(workspace)
	now := time.Now()
	a.demand.Observe(now, tokens)
	a.lastUsed = now
	if a.escrow.Reserve(tokens) {
		low := a.escrow.LowUnreserved(a.target)
		h.mu.Unlock()
		if low {
			h.wakeExchange()
		}
		return &Reservation{holder: h, workspace: workspace, reserved: tokens}, nil
	}
	if h.knowsExhausted(a, now, tokens) {
		h.mu.Unlock()
		return nil, ErrExhausted
	}
	a.waitingTokens += tokens
	h.mu.Unlock()
	defer h.stopWaiting(a, tokens)
	err := h.reserveSlow(ctx, workspace, a, tokens)
	if err != nil {
		return nil, err
	}
	return &Reservation{holder: h, workspace: workspace, reserved: tokens}, nil
}

// Balance is a holder's view of one workspace's budget, in tokens.
type Balance struct {
	// Granted is the cumulative grant.
	Granted int64
	// Available is the number of tokens that can still be reserved.
	Available int64
	// Reserved is the number of tokens set aside for requests in progress.
	Reserved int64
	// Billed is the cumulative number of tokens spent or lent from the grant.
	Billed int64
	// Lent is the part of Billed that was lent to other holders.
	Lent int64
	// Target is the number of unreserved tokens that the holder should hold.
	Target int64
	// Remaining is the number of unspent tokens of the workspace in the pool and
	// all grants, as of the last exchange.
	Remaining int64
	// Age is the time since the last exchange; 0 before the first.
	Age time.Duration
}

// Balance returns the holder's view of a workspace's budget.
func (h *Holder) Balance(workspace string) Balance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.account(workspace).balance(time.Now())
}

// balance returns the holder's view of the budget; the holder's mu is held.
func (a *account) balance(now time.Time) Balance {
	var age time.Duration
	if !a.lastExchange.IsZero() {
		age = now.Sub(a.lastExchange)
	}
	return Balance{
		Age:       age,
		Granted:   a.escrow.Granted,
		Available: a.escrow.Available(),
		Reserved:  a.escrow.Reserved,
		Billed:    a.escrow.Billed,
		Lent:      a.escrow.Lent,
		Target:    a.target,
		Remaining: a.totalRemaining,
	}
}

// Totals sums up a holder's tokens over all workspaces.
type Totals struct {
	// Available, Reserved and Waiting are the tokens that can be reserved, that
	// requests in progress have reserved and that requests wait for.
	Available int64
	Reserved  int64
	Waiting   int64
	// Drawn, Returned, Spent and Lent are cumulative. Spent leaves out what was lent.
	Drawn    int64
	Returned int64
	Spent    int64
	Lent     int64
	// Borrowed is the cumulative number of tokens that other holders have lent.
	// LoanRounds is how many rounds of loan requests have ended, and FailedLoanRounds
	// how many of them brought too few tokens.
	Borrowed         int64
	LoanRounds       int64
	FailedLoanRounds int64
	// ExchangeAge is the time since the workspace that was exchanged the longest ago
	// was exchanged; 0 before the first exchange.
	ExchangeAge time.Duration
}

// Totals returns the sums over all workspaces.
func (h *Holder) Totals() Totals {
	h.mu.Lock()
	defer h.mu.Unlock()
	totals := Totals{Borrowed: h.borrowed, LoanRounds: h.loanRounds, FailedLoanRounds: h.failedLoanRounds}
	for _, a := range h.accounts {
		totals.Available += a.escrow.Available()
		totals.Reserved += a.escrow.Reserved
		totals.Waiting += a.waitingTokens
		totals.Drawn += a.escrow.Granted
		totals.Returned += a.escrow.Returned
		totals.Spent += a.escrow.Billed - a.escrow.Lent
		totals.Lent += a.escrow.Lent
		if !a.lastExchange.IsZero() {
			totals.ExchangeAge = max(totals.ExchangeAge, time.Since(a.lastExchange))
		}
	}
	return totals
}

// Settle ends the reservation: it bills the actual tokens, at most those
// reserved, and releases the unspent ones. Only the first call has an effect.
func (r *Reservation) Settle(actual int64) {
	r.once.Do(func() {
		r.holder.mu.Lock()
		defer r.holder.mu.Unlock()
		a := r.holder.account(r.workspace)
		a.escrow.Settle(r.reserved, actual)
		if a.waitingTokens > 0 {
			a.notifyWaiters()
		}
	})
}

// Prepare opens accounts for workspaces and starts an exchange that draws tokens
// for them before their first requests arrive.
func (h *Holder) Prepare(workspaces []string) {
	h.mu.Lock()
	for _, workspace := range workspaces {
		h.account(workspace)
	}
	h.mu.Unlock()
	h.wakeExchange()
}

// account returns the account of a workspace and creates it if needed. The
// caller holds mu.
func (h *Holder) account(workspace string) *account {
	a := h.accounts[workspace]
	if a == nil {
		a = &account{demand: budget.Demand{TimeConstant: demandTimeConstant, WarmUp: demandWarmUp}, changed: make(chan struct{})}
		h.accounts[workspace] = a
	}
	return a
}

// wakeExchange starts an exchange unless a start is already pending.
func (h *Holder) wakeExchange() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
