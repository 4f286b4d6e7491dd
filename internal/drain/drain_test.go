package drain

import (
	"testing"
	"time"
)

// TestPlanRefusesRequestsAfterItsEnd guards against requests that are taken only to be
// interrupted at once, in a shutdown that ends before anyone can have noticed it.
func TestPlanRefusesRequestsAfterItsEnd(t *testing.T) {
	now := time.Now()
	plan := &Plan{Start: now, NoticedBy: now.Add(2 * time.Second), End: now.Add(time.Second)}
	for at, refused := range map[time.Duration]bool{
		500 * time.Millisecond:  false,
		1500 * time.Millisecond: true,
	} {
		arrival := now.Add(at)
		if plan.Refuses(arrival, arrival.Add(10*time.Second)) != refused {
			t.Errorf("after %s: refused %v, want %v", at, !refused, refused)
		}
	}
}
