package forward_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/drain"
)

// TestDrainRefusesRequestsThatMayOutlastIt guards against requests that are
// accepted during a drain and then interrupted by its end. A caller with a
// keep-alive connection can still send a request after the entry has stopped
// accepting connections.
func TestDrainRefusesRequestsThatMayOutlastIt(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name             string
		acceptUntil, end time.Time
		status           int
		attempts         int
	}{
		{"new connections still arrive", now.Add(time.Minute), now.Add(time.Second), 200, 1},
		{"request may outlast the drain", now, now.Add(time.Second), 503, 0},
		{"request ends before the drain", now, now.Add(time.Minute), 200, 1},
		{"drain has no end", now, time.Time{}, 200, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, streamRoute, streamEvents(1, 3, "", true))
			f.server.Drain(drain.Plan{AcceptUntil: c.acceptUntil, End: c.end})
			status, body, complete, header := f.send("/a/x", "secret")
			if status != c.status || !complete || f.attempts() != c.attempts {
				t.Errorf("unexpected response: status %d, body %q, complete %v, %d attempts", status, body, complete, f.attempts())
			}
			if status == 503 && (body != "leaving\n" || header.Get("Retry-After") == "") {
				t.Errorf("refusal has body %q and header %v; want body \"leaving\" and a Retry-After header", body, header)
			}
		})
	}
}
