package test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// blackholeDetectionLimit is how long requests may wait on connections whose packets
// are dropped before the connections are replaced.
const blackholeDetectionLimit = 10 * time.Second

// responseLimit bounds one request after that time: a draw that times out is made
// once more.
const responseLimit = 3 * time.Second

// TestSilentConnectionsAreReplaced guards against processes that keep using
// connections whose packets are dropped without a reset: three times, all open
// connections of the fleet drop their packets, and afterwards requests must be
// served and a configuration change must reach every entry.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 10_000_000, "a", "b", "c")
		defer time.Sleep(callTimeout)
		defer s.close()
		time.Sleep(reportTime)
		for round := range 3 {
			responses := make(chan callResponse, 20)
			for i := range cap(responses) {
				go func() { responses <- s.chat("a", fmt.Sprintf("warm-%d-%d", round, i), 50) }()
			}
			for range cap(responses) {
				got := <-responses
				if got.status != http.StatusOK {
					t.Errorf("round %d, before the fault: got %+v, want status 200", round, got)
				}
			}
			s.network.Blackhole()
			time.Sleep(blackholeDetectionLimit)
			for _, domain := range s.domains {
				start := time.Now()
				got := s.chat(domain, "", 4)
				if got.status != http.StatusOK || time.Since(start) > responseLimit {
					t.Errorf("round %d, domain %s: after %s got %+v, want status 200 within 3s", round, domain, time.Since(start), got)
				}
			}
			s.patch("a", fmt.Sprintf("round-%d", round), fmt.Sprintf(`{"limits":{"body_bytes":%d}}`, 100_000+round))
			time.Sleep(5 * time.Second)
			for _, domain := range s.domains {
				if s.entries[domain].Watcher.Active().Document.Limits.BodyBytes != int64(100_000+round) {
					t.Errorf("round %d: the change is not active in domain %s", round, domain)
				}
			}
		}
	})
}
