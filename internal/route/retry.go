package route

const (
	// retryRatio is the number of retries allowed per request.
	retryRatio = 0.1
	// maxRetryBurst is the number of retries available when the budget is full.
	maxRetryBurst = 10.0
)

// RetryBudget is a token bucket that bounds the load added by retries. Its zero
// value is full.
type RetryBudget struct {
	// spent is the number of retries missing from a full budget.
	spent float64
}

// Request counts the first attempt of a request, which refills the budget.
func (b *RetryBudget) Request() {
	b.spent = max(0, b.spent-retryRatio)
}

// Retry reports whether the budget allows a retry, and counts it if so.
func (b *RetryBudget) Retry() bool {
	if b.spent > maxRetryBurst-1 {
		return false
	}
	b.spent++
	return true
}
