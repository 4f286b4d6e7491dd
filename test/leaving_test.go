package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/process"
	"github.com/cactusbay/cactusbay/internal/settings"
)

// drainPropagationLimit is how long a backend server may get new requests after it
// is known to be leaving.
const drainPropagationLimit = 3 * time.Second

// startPlatform starts a fake platform whose server list is lag old, and restarts
// the entry of a failure domain with the platform in its settings.
func (s *site) startPlatform(domain string, lag time.Duration) *fake.Platform {
	platform := &fake.Platform{Lag: lag}
	at := address(50, 7002)
	started, err := process.StartFake(s.network.Host("platform"), at, platform.Handler())
	if err != nil {
		s.t.Fatal(err)
	}
	s.fakes = append(s.fakes, started)
	s.entries[domain].Close()
	s.settings["entry-"+domain].Platform = &settings.Platform{Address: at}
	s.startEntry(domain)
	<-s.entries[domain].Watcher.Ready()
	return platform
}

// patch submits a patch against the current version at a control instance.
func (s *site) patch(domain, id, patch string) {
	s.t.Helper()
	g := s.controls[domain].Group
	current, _ := g.Current()
	command := group.PatchConfiguration{ID: id, Against: current.Number, Patch: []byte(patch)}
	result, err := group.Propose(context.Background(), s.controls[domain].Quorum, command)
	if err != nil || result.Code != group.CodeDone {
		s.t.Fatalf("patch %s: %+v %v", id, result, err)
	}
}

// runsByDomain sends calls to the records service through the entry of a failure
// domain and returns how many of them the service of each failure domain ran.
func (s *site) runsByDomain(entry, prefix string, calls int) map[string]int {
	runs := make(map[string]int)
	for i := range calls {
		key := fmt.Sprintf("%s-%d", prefix, i)
		got := s.send(entry, "/services/records/x", key, "")
		if got.status != http.StatusOK {
			s.t.Errorf("call %s: got %+v, want status 200", key, got)
		}
		for domain, service := range s.services {
			runs[domain] += service.Runs(key)
		}
	}
	return runs
}

// TestLeavingServerGetsNoNewRequest guards against an entry that keeps sending
// requests to a server after the platform's list or the configuration marks it as
// leaving, and against cutting the request that runs on the server.
func TestLeavingServerGetsNoNewRequest(t *testing.T) {
	const lag = 10 * time.Second
	for _, source := range []string{"platform", "configuration"} {
		t.Run(source, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 1_000_000, "a", "b")
				defer s.close()
				platform := s.startPlatform("a", lag)
				before := s.runsByDomain("a", "before", 10)
				if before["a"] == 0 {
					t.Fatalf("the server in the entry's failure domain ran no request: runs %v", before)
				}
				long := make(chan callResponse, 1)
				go func() { long <- s.chat("a", "", 1000) }()
				time.Sleep(100 * time.Millisecond)
				if source == "platform" {
					platform.Set(address(0, 7000), "leaving")
					platform.Set(address(0, 7001), "leaving")
					time.Sleep(lag)
				} else {
					s.patch("a", "drain", `{"backend_servers":{"service-a":{"state":"leaving"},"engine-a":{"state":"leaving"}}}`)
				}
				time.Sleep(drainPropagationLimit)
				after := s.runsByDomain("a", "after", 20)
				if after["a"] != 0 || after["b"] != 20 {
					t.Errorf("runs after the limit: got %v, want all 20 in domain b", after)
				}
				got := <-long
				if got.status != http.StatusOK {
					t.Errorf("the request in progress got %+v, want status 200", got)
				}
			})
		})
	}
}
