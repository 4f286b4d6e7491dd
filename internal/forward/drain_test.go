package forward_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/forward"
)

// TestDrainingServerRefusesWhatItCannotFinish sends requests on connections
// that were kept since before the drain.
func TestDrainRefusesRequestsThatMayOutlastIt(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name                  string
		acceptUntil, deadline time.Time
		status                int
		attempts              int
	}{
		{"new connections still come", now.Add(time.Minute), now.Add(time.Second), 200, 1},
		{"no time is left", now, now.Add(time.Second), 503, 0},
		{"time enough is left", now, now.Add(time.Minute), 200, 1},
		{"the drain has no end", now, time.Time{}, 200, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, streamRoute, streamEvents(1, 3, "", true))
			s.server.Drain(forward.Drain{AcceptUntil: c.acceptUntil, End: c.deadline})
			status, body, complete, header := s.send("/a/x", "secret")
			if status != c.status || !complete || s.attempts() != c.attempts {
				t.Errorf("status %d, body %q, whole %v, %d sends", status, body, complete, s.attempts())
			}
			if status == 503 && (body != "leaving\n" || header.Get("Retry-After") == "") {
				t.Errorf("refused with %q, header %v", body, header)
			}
		})
	}
}
