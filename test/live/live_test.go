// Package live holds system tests that run a fleet of real processes on loopback.
package live

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const chatPath = "/v1/chat/completions"

// otherDomains returns all failure domains except domain.
func otherDomains(domain string) []string {
	var remaining []string
	for _, other := range domains {
		if other != domain {
			remaining = append(remaining, other)
		}
	}
	return remaining
}

// TestEveryEntryServesAndBillsOnce checks the fleet without faults: each entry
// serves a request, answers a retry with the same response, and bills it once.
func TestEveryEntryServesAndBillsOnce(t *testing.T) {
	s := newSite(t)
	for _, domain := range domains {
		got := s.sendUntilOK(chatPath, "key-"+domain, chatBody(4, false), domain)
		if !strings.Contains(got.body, "t3 ") {
			t.Errorf("domain %s: got %+v, want a complete response", domain, got)
		}
		again := s.sendUntilOK(chatPath, "key-"+domain, chatBody(4, false), domain)
		if again.body != got.body {
			t.Errorf("first response %s, retry got %s, want the same", got.body, again.body)
		}
	}
	s.eventually("three bills of 5 tokens", func() bool { return s.billedTokens("a") == 15 })
}

// TestKilledEntryLosesNoRequest guards against a lost request or a second bill when
// the entry is killed while it streams a response: a retry at another entry must get
// the whole response under one bill.
func TestKilledEntryLosesNoRequest(t *testing.T) {
	s := newSite(t)
	done := make(chan callResponse, 1)
	go func() { done <- s.send("a", chatPath, "report", chatBody(100, true)) }()
	time.Sleep(500 * time.Millisecond)
	s.kill("entry-a")
	first := <-done
	if first.isOK() && strings.Contains(first.body, "[DONE]") {
		t.Fatalf("the stream ended before the kill: %+v", first)
	}
	got := s.sendUntilOK(chatPath, "report", chatBody(100, true), "b", "c")
	if !strings.Contains(got.body, "t99 ") || !strings.Contains(got.body, "[DONE]") {
		t.Errorf("the retry got %+v, want a complete stream of 100 tokens", got)
	}
	s.eventually("one bill of 101 tokens", func() bool { return s.billedTokens("b") == 101 })
}

// TestOrderRunsOnceThroughKilledEntry guards against a second run of a request that
// must run once: after the entry that served it is killed, a retry at another entry
// must get the stored response.
func TestOrderRunsOnceThroughKilledEntry(t *testing.T) {
	s := newSite(t)
	first := s.sendUntilOK("/services/orders/new", "order", "door 7", "a")
	s.kill("entry-a")
	second := s.sendUntilOK("/services/orders/new", "order", "door 7", "b")
	if first.body != second.body {
		t.Errorf("the order ran again: first response %s, retry got %s", first.body, second.body)
	}
}

// TestKilledLeaderIsReplaced guards against a fleet that stops when the leader of
// the control group is killed: requests and configuration changes must succeed
// without it, and the restarted instance must receive the new version.
func TestKilledLeaderIsReplaced(t *testing.T) {
	s := newSite(t)
	leader := s.leader()
	s.kill("control-" + leader)
	rest := otherDomains(leader)
	s.sendUntilOK(chatPath, "after-kill", chatBody(4, false), rest...)
	s.patchUntilAccepted(rest[0], "after-kill")
	s.start("control-" + leader)
	s.eventually("the restarted instance has the version", func() bool { return s.configurationVersion(leader) >= 2 })
	s.sendUntilOK("/services/orders/new", "after-restart", "x", leader)
}

// TestFrozenLeaderIsReplacedAndAnswersNothingStale guards against a leader that is
// stopped with SIGSTOP while another takes over: the group must accept changes
// without it, and it must return the new version after SIGCONT.
func TestFrozenLeaderIsReplacedAndAnswersNothingStale(t *testing.T) {
	s := newSite(t)
	leader := s.leader()
	s.signal("control-"+leader, syscall.SIGSTOP)
	rest := otherDomains(leader)
	s.patchUntilAccepted(rest[0], "while-frozen")
	s.sendUntilOK(chatPath, "while-frozen", chatBody(4, false), rest...)
	s.signal("control-"+leader, syscall.SIGCONT)
	s.eventually("the resumed instance has the version", func() bool { return s.configurationVersion(leader) >= 2 })
}

// TestOnlyOneOfTwoRacingPatchesWins guards against a lost update: of two patches
// against the same version, sent to different control instances at once, one must be
// accepted and the other refused with 409.
func TestOnlyOneOfTwoRacingPatchesWins(t *testing.T) {
	s := newSite(t)
	codes := make(chan int, 2)
	for i, domain := range []string{"a", "b"} {
		go func() {
			var result map[string]any
			code, _ := s.operatorRequest(domain, http.MethodPatch, "/v1/configuration", patchRequest([]string{"left", "right"}[i], 1, 10+i), &result)
			codes <- code
		}()
	}
	got := map[int]int{<-codes: 1}
	got[<-codes]++
	if got[http.StatusOK] != 1 || got[http.StatusConflict] != 1 {
		t.Errorf("status codes %v, want one 200 and one 409", got)
	}
}

// TestGracefulRestartCutsNoStream guards against a stream that is cut when its entry
// gets SIGTERM: the entry must end only after the stream.
func TestGracefulRestartCutsNoStream(t *testing.T) {
	s := newSite(t)
	done := make(chan callResponse, 1)
	go func() { done <- s.send("a", chatPath, "long", chatBody(100, true)) }()
	time.Sleep(500 * time.Millisecond)
	s.signal("entry-a", syscall.SIGTERM)
	got := <-done
	if !got.isOK() || !strings.Contains(got.body, "[DONE]") {
		t.Errorf("got response %+v, want a complete stream", got)
	}
	s.wait("entry-a")
}

// patchRequest returns the body of a patch that sets the concurrency of engine-a.
func patchRequest(id string, against uint64, concurrency int) map[string]any {
	servers := map[string]any{"engine-a": map[string]any{"concurrency": concurrency}}
	return map[string]any{"id": id, "against": against, "patch": map[string]any{"backend_servers": servers}}
}

// patchUntilAccepted sends a patch under one id until the control instance accepts
// it.
func (s *site) patchUntilAccepted(domain, id string) {
	s.t.Helper()
	s.eventually("the patch is accepted", func() bool {
		var result map[string]any
		code, err := s.operatorRequest(domain, http.MethodPatch, "/v1/configuration", patchRequest(id, 1, 9), &result)
		return err == nil && code == http.StatusOK
	})
}

// configurationVersion returns the configuration version that a domain's control
// instance returns, or 0 if the read fails.
func (s *site) configurationVersion(domain string) uint64 {
	var configuration struct {
		Version uint64 `json:"version"`
	}
	_, err := s.operatorRequest(domain, http.MethodGet, "/v1/configuration", nil, &configuration)
	if err != nil {
		return 0
	}
	return configuration.Version
}
