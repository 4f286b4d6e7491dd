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
	// tokens. Requests that need more than there is are refused at once meanwhile.
	borrowRetryDelay = 100 * time.Millisecond
	// borrowAheadSeconds is how many seconds of its own demand a holder borrows
	// in addition to the tokens that requests wait for, but at most as many as those.
	// Without that bound, busy holders would borrow all tokens from each other again
	// and again.
	borrowAheadSeconds = 1
	secondsPerHour     = 3600
	// firstWaveLenders is how many holders a round asks at first, at the same time.
	// Each following wave asks waveGrowth times as many, up to maxLenders in all, so
	// that a round costs the same at any number of holders.
	firstWaveLenders = 3
	waveGrowth       = 2
	maxLenders       = 45
	// minLoanTokens is the fewest tokens that a round asks each lender for, if it needs as many.
	// With smaller amounts, too few tokens would be lent where most lenders have none.
	minLoanTokens = 2000
	// maxKnownLenders is how many lenders that may hold more tokens a holder remembers
	// for each workspace and asks first.
	maxKnownLenders = 4
	// waveTimeout is the time after which the next wave starts although some lenders
	// have not responded. It exceeds the round trip to another failure domain.
	waveTimeout = 10 * time.Millisecond
)

// borrowRound is one round of requests to other holders for tokens of one
// workspace. done is closed when the round ends.
type borrowRound struct {
	done chan struct{}
	// remaining are the holders to ask next; those in asked are skipped.
	remaining []string
	asked     map[string]bool
	// lent is how many tokens each lender has lent in this round.
	lent map[string]int64
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
		running := a.borrowRound
		if running == nil && time.Since(a.borrowFailedAt) < borrowRetryDelay {
			return ErrUnavailable
		}
		if running == nil {
			running = h.startBorrowRound(workspace, a)
		}
		changed := a.changed
		h.mu.Unlock()
		select {
		case <-running.done:
		case <-changed:
		case <-ctx.Done():
		}
		h.mu.Lock()
	}
	return ErrUnavailable
}

// startBorrowRound starts a goroutine that runs a borrowing round. The round is
// independent of the request that started it, since it serves all waiting requests. The
// caller holds mu.
func (h *Holder) startBorrowRound(workspace string, a *account) *borrowRound {
	round := &borrowRound{
		done:      make(chan struct{}),
		remaining: slices.Concat(a.knownLenders, a.lenders),
		asked:     make(map[string]bool),
		lent:      make(map[string]int64),
	}
	groupUnreachable := h.exchangeFailed || h.exchangeOverdue
	if groupUnreachable && h.RandomPeers != nil {
		round.remaining = append(round.remaining, h.RandomPeers(maxLenders)...)
	}
	a.borrowRound = round
	go h.runBorrowRound(workspace, a, round, groupUnreachable)
	return round
}

// runBorrowRound asks holders in growing waves until the account covers all waiting
// requests or enough holders were asked. A wave asks those again that lent in full in the
// one before.
func (h *Holder) runBorrowRound(workspace string, a *account, round *borrowRound, draw bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start := time.Now()
	var lentInFull []string
	for count := firstWaveLenders; a.lacksTokens() && time.Since(start) < borrowRoundTimeout; count *= waveGrowth {
		wave := append(lentInFull, round.next(count-len(lentInFull))...)
		if len(wave) == 0 {
			break
		}
		lacking := a.waitingTokens - a.escrow.Available()
		wanted := lacking + min(lacking, a.demand.PerHour(time.Now())*borrowAheadSeconds/secondsPerHour)
		amount := max(wanted/int64(len(wave)), min(wanted, minLoanTokens))
		clear(round.lent)
		h.runWave(workspace, a, wave, amount, draw)
		lentInFull = nil
		for _, lender := range wave {
			inFull := round.lent[lender] >= amount
			a.recordLoan(lender, inFull)
			if inFull {
				lentInFull = append(lentInFull, lender)
			}
		}
	}
	h.loanRounds++
	if a.lacksTokens() {
		a.borrowFailedAt = time.Now()
		h.failedLoanRounds++
		h.Log.Info("other entries lent too few tokens", "workspace", workspace, "entries_asked", len(round.asked), "waiting", a.waitingTokens, "available", a.escrow.Available(), "took_ms", time.Since(start).Milliseconds())
	}
	a.borrowRound = nil
	close(round.done)
}

// lacksTokens reports whether requests wait for more tokens than the account has.
func (a *account) lacksTokens() bool {
	return a.waitingTokens > a.escrow.Available()
}

// next removes and returns the next holders to ask, at most count.
func (r *borrowRound) next(count int) []string {
	count = min(count, maxLenders-len(r.asked))
	var next []string
	for len(next) < count && len(r.remaining) > 0 {
		lender := r.remaining[0]
		r.remaining = r.remaining[1:]
		if !r.asked[lender] {
			r.asked[lender] = true
			next = append(next, lender)
		}
	}
	return next
}

// runWave asks lenders at the same time for amount tokens each. It returns when all have
// responded, the account covers the waiting requests or waveTimeout has passed. The
// requests go on: a loan whose response was lost is lost unless its request is repeated,
// and loans that arrive later are taken too. The caller holds mu, which is released
// meanwhile.
func (h *Holder) runWave(workspace string, a *account, lenders []string, amount int64, draw bool) {
	responses := make(chan struct{}, len(lenders))
	for _, lender := range lenders {
		go func() {
			h.Borrow(context.Background(), lender, workspace, amount, draw)
			responses <- struct{}{}
		}()
	}
	timer := time.NewTimer(waveTimeout)
	defer timer.Stop()
	timedOut := false
	for missing := len(lenders); missing > 0 && !timedOut && a.lacksTokens(); {
		changed := a.changed
		h.mu.Unlock()
		select {
		case <-responses:
			missing--
		case <-changed:
		case <-timer.C:
			timedOut = true
		}
		h.mu.Lock()
	}
}

// recordLoan remembers a lender that has lent all that was asked for, and forgets one that
// has lent less.
func (a *account) recordLoan(lender string, inFull bool) {
	a.knownLenders = slices.DeleteFunc(a.knownLenders, func(known string) bool { return known == lender })
	if inFull {
		a.knownLenders = slices.Insert(a.knownLenders, 0, lender)
		a.knownLenders = a.knownLenders[:min(len(a.knownLenders), maxKnownLenders)]
	}
}
