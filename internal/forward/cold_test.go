package forward_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

// TestColdServersGetFewRequests checks that a server which says that it is cold gets no more
// requests than the configuration allows, that another one serves, and that requests are
// refused at once when none may take them.
func TestColdServersGetFewRequests(t *testing.T) {
	cold := respond(200, signatureHeader+"Cold: 1h\r\n", "served")
	f := newFixture(t, onceRoute, cold, cold, cold, cold, cold, cold, respond(200, signatureHeader, "beyond the bound"))
	bounded := document(t, onceRoute)
	bounded.Upstreams["pool"] = config.Upstream{ColdRequestsPerSecond: 0.01}
	f.server.Fleet.LimitShare = func(string, int) float64 { return 0.1 }
	f.server.Install(2, bounded)
	for range 6 {
		f.send("/a/x", "secret")
	}
	sent := time.Now()
	status, _, _, _ := f.send("/a/x", "secret")
	if took := time.Since(sent); status != 503 || took > time.Second {
		t.Errorf("got status %d after %s, want a 503 at once", status, took)
	}
	counts := make(map[string]int)
	for _, id := range f.receivedBy {
		counts[id]++
	}
	for id, count := range counts {
		if count != 2 {
			t.Errorf("%s received %d requests, want the first one and one of the share", id, count)
		}
	}
	if f.server.Fleet.Counts(time.Now()).Cold != 3 {
		t.Errorf("%d servers count as cold, want 3", f.server.Fleet.Counts(time.Now()).Cold)
	}
}
