package process

import (
	"context"
	"testing"
	"time"
)

// TestPlanRefusesLongRequestsOnceNoticed guards against requests that are taken for as long
// as connections are accepted, although what is left of the shutdown may not suffice.
func TestPlanRefusesLongRequestsOnceNoticed(t *testing.T) {
	const limit = 8 * time.Second
	now := time.Now()
	ctx, cancel := context.WithDeadline(t.Context(), now.Add(limit))
	defer cancel()
	for _, c := range []struct {
		name                   string
		lag, arrival, duration time.Duration
		refused                bool
	}{
		{"before anyone can have noticed", 5 * time.Second, 2 * time.Second, 10 * time.Second, false},
		{"while connections are still accepted", 5 * time.Second, 3 * time.Second, 10 * time.Second, true},
		{"at the end of a short lag", time.Second, 1500 * time.Millisecond, 10 * time.Second, true},
		{"short enough for what is left", 5 * time.Second, 3 * time.Second, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := newPlan(ctx, c.lag, now)
			arrival := now.Add(c.arrival)
			refused := plan.Refuses(arrival, arrival.Add(c.duration))
			if refused != c.refused {
				t.Errorf("refused %v, want %v", refused, c.refused)
			}
		})
	}
}
