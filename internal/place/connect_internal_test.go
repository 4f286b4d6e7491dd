package place

import (
	"slices"
	"testing"
	"time"
)

// A request must go to a server to which a connection is open if servers are alike, and to
// another one if the wait there is longer than a connection takes to open. Without estimates
// the choice must not ask for connections.
func TestOpenConnectionIsWeighedAsTime(t *testing.T) {
	for _, test := range []struct {
		name     string
		adaptive bool
		once     bool
		queue    time.Duration
		want     string
	}{
		{"alike", true, false, 0, "i-0002"},
		{"must not run twice", true, true, 0, "i-0001"},
		{"short queue", true, false, 2 * time.Millisecond, "i-0002"},
		{"long queue", true, false, 8 * time.Millisecond, "i-0000"},
		{"without estimates", false, false, 0, "i-0000"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := engineFleet(3)
			f.Adaptive = test.adaptive
			asked := 0
			f.ConnectTime = func(server string, once bool) time.Duration {
				asked++
				if server == "i-0002" && !once || server == "i-0001" && once {
					return 0
				}
				return 3 * time.Millisecond
			}
			for _, s := range f.servers {
				s.failureDomain = "a"
			}
			f.RecordRemotePrompt("i-0002", test.queue, nil, internalStart)
			// The random choice compares some servers only; over several, the cheapest one is
			// among them.
			var got []string
			for range 20 {
				chosen := f.Pick(Query{Now: internalStart, Upstream: "pool", FailureDomain: "a", Once: test.once, Prompt: &Prompt{Tokens: 1000, Output: 10}}).(Chosen)
				got = append(got, chosen.Placement.ID)
				chosen.Placement.Done(Unused{}, internalStart)
			}
			slices.Sort(got)
			if share := 20 - len(slices.DeleteFunc(got, func(id string) bool { return id == test.want })); share < 15 {
				t.Errorf("%s got %d of 20 requests, want nearly all", test.want, share)
			}
			if !test.adaptive && asked > 0 {
				t.Errorf("connections were asked for %d times", asked)
			}
		})
	}
}
