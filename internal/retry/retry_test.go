package retry_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/retry"
)

var (
	start  = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	limits = retry.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
)

// Entries enforce the fleet's budget without coordination. In each window the
// retries of all entries together must stay within it, even if every entry
// retries as often as it may and entries are replaced by new ones.
func TestFleetKeepsWithinTheBudget(t *testing.T) {
	const (
		entries        = 7
		step           = 100 * time.Millisecond
		steps          = 600
		stepsPerWindow = 100
	)
	budgets := make([]*retry.Budget, entries)
	for i := range budgets {
		budgets[i] = &retry.Budget{Limits: limits}
	}
	var retries, firsts [steps]int
	for at := range steps {
		now := start.Add(time.Duration(at) * step)
		for i := range budgets {
			if at%150 == 10*i {
				budgets[i] = &retry.Budget{Limits: limits}
			}
			for range 3 {
				budgets[i].CountRequest("pool", now)
				firsts[at]++
				for budgets[i].TryRetry("pool", entries, now) {
					retries[at]++
				}
			}
		}
	}
	for end := stepsPerWindow; end <= steps; end++ {
		requests, retried := 0, 0
		for at := end - stepsPerWindow; at < end; at++ {
			requests += firsts[at]
			retried += retries[at]
		}
		if float64(retried) > limits.Ratio*float64(requests)+limits.Slack {
			t.Fatalf("%d retries of %d requests in the window that ends at step %d, more than the budget", retried, requests, end)
		}
	}
}

// Requests allow retries only within their window, and used retries must not
// count after it.
func TestRetriesBecomeAvailableWithTime(t *testing.T) {
	b := &retry.Budget{Limits: limits}
	for range 100 {
		b.CountRequest("pool", start)
	}
	allowed := 0
	for b.TryRetry("pool", 1, start) {
		allowed++
	}
	if allowed < 10 || allowed > 20 {
		t.Errorf("%d retries of 100 requests, want 10 to 20", allowed)
	}
	if b.TryRetry("pool", 1, start.Add(5*time.Second)) && allowed >= 20 {
		t.Error("a retry is allowed after half a window although the budget was used up")
	}
	later := start.Add(11 * time.Second)
	for range 100 {
		b.CountRequest("pool", later)
	}
	if !b.TryRetry("pool", 1, later) {
		t.Error("no retry is allowed although all counted retries are older than the window")
	}
}

// Without configured limits there is no window to count in, and retries must
// not be unlimited.
func TestZeroBudgetAllowsNoRetry(t *testing.T) {
	b := &retry.Budget{}
	b.CountRequest("pool", start)
	if b.TryRetry("pool", 1, start) {
		t.Error("a budget without limits allowed a retry")
	}
}

// A budget that each entry has for itself allows its slack from the first request
// on, and retries add at most a tenth of the load.
func TestEntryKeepsWithinItsOwnBudget(t *testing.T) {
	b := &retry.Budget{Limits: retry.EntryLimits()}
	retries := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.CountRequest(retry.AllUpstreams, now)
		if b.TryRetry(retry.AllUpstreams, 1, now) {
			retries++
		}
		if i == 4 && retries != 5 {
			t.Errorf("%d retries of the first five requests, want 5", retries)
		}
	}
	if retries > 1000 {
		t.Errorf("%d retries of 10000 requests in ten seconds, want at most a tenth", retries)
	}
}

// TestAllowsCountsNothing checks that asking leaves the budget as it is, and that the
// answer is that of TryRetry.
func TestAllowsCountsNothing(t *testing.T) {
	b := &retry.Budget{Limits: retry.Limits{PerEntry: true, Slack: 1, Window: 10 * time.Second}}
	for range 3 {
		if !b.Allows("pool", 1, start) {
			t.Fatal("an unused budget of one retry allows none")
		}
	}
	if !b.TryRetry("pool", 1, start) {
		t.Fatal("asking has used up the budget")
	}
	if b.Allows("pool", 1, start) || b.TryRetry("pool", 1, start) {
		t.Error("a used budget of one retry allows another one")
	}
}
