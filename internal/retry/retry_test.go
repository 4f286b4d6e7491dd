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

// TestFleetKeepsWithinTheBudget has entries repeat whatever they may, in every
// window of the fleet, while some of them start anew.
func TestFleetKeepsWithinTheBudget(t *testing.T) {
	const (
		entries  = 7
		step     = 100 * time.Millisecond
		steps    = 600
		inWindow = 100
	)
	budgets := make([]*retry.Budget, entries)
	for i := range budgets {
		budgets[i] = &retry.Budget{Limits: limits}
	}
	var repeats, firsts [steps]int
	for at := range steps {
		now := start.Add(time.Duration(at) * step)
		for i := range budgets {
			if at%150 == 10*i {
				budgets[i] = &retry.Budget{Limits: limits}
			}
			for range 3 {
				budgets[i].First("pool", now)
				firsts[at]++
				for budgets[i].Take("pool", entries, now) {
					repeats[at]++
				}
			}
		}
	}
	for end := inWindow; end <= steps; end++ {
		sent, again := 0, 0
		for at := end - inWindow; at < end; at++ {
			sent += firsts[at]
			again += repeats[at]
		}
		if float64(again) > limits.Ratio*float64(sent)+limits.Slack {
			t.Fatalf("%d repeats of %d requests in the window that ends at step %d", again, sent, end)
		}
	}
}

func TestRepeatsComeBackWithTime(t *testing.T) {
	b := &retry.Budget{Limits: limits}
	for range 100 {
		b.First("pool", start)
	}
	taken := 0
	for b.Take("pool", 1, start) {
		taken++
	}
	if taken < 10 || taken > 20 {
		t.Errorf("%d repeats of 100 requests", taken)
	}
	if b.Take("pool", 1, start.Add(5*time.Second)) && taken >= 20 {
		t.Error("the window is too short")
	}
	later := start.Add(11 * time.Second)
	for range 100 {
		b.First("pool", later)
	}
	if !b.Take("pool", 1, later) {
		t.Error("repeats of a past window still count")
	}
}

func TestZeroBudgetAllowsNone(t *testing.T) {
	b := &retry.Budget{}
	b.First("pool", start)
	if b.Take("pool", 1, start) {
		t.Error("a repeat was allowed")
	}
}
