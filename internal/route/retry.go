package route

const (
	// retryRatio is the part of the requests that may be retried.
	retryRatio    = 0.1
	maxRetryBurst = 10.0
)

// RetryBudget bounds the load that retries add; its zero value starts full.
type RetryBudget struct {
	spent float64
}

// Request counts a first try.
func (b *RetryBudget) Request() {
	b.spent = max(0, b.spent-retryRatio)
}

// Retry tells whether a retry may be made, and counts it.
func (b *RetryBudget) Retry() bool {
	if b.spent > maxRetryBurst-1 {
		return false
	}
	b.spent++
	return true
}
