package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/pkg/operator"
)

// evacuationCalls is the number of calls at each entry that show where they run.
const evacuationCalls = 6

// runsIn sends orders to all entries, and returns how many ran in each failure domain and
// how many were refused as not run.
func (s *site) runsIn(label string) (runs map[string]int, refused int) {
	s.t.Helper()
	runs = make(map[string]int)
	for _, domain := range s.domains {
		for i := range evacuationCalls {
			key := fmt.Sprintf("%s-%s-%d", label, domain, i)
			got := s.send(domain, "/services/orders/new", key, "door 7")
			if got.status != http.StatusOK && !got.notRun() {
				s.t.Errorf("%s: got response %+v, want status 200 or a refusal as not run", key, got)
			}
			if got.notRun() {
				refused++
			}
			for _, other := range s.domains {
				runs[other] += s.services[other].Runs(key)
			}
		}
	}
	return runs, refused
}

// evacuate begins or ends an evacuation, and waits until all entries have the version.
func (s *site) evacuate(client *operator.Client, failureDomain string, evacuated bool) {
	s.t.Helper()
	order := client.EndEvacuation
	if evacuated {
		order = client.BeginEvacuation
	}
	result, err := order(s.t.Context(), failureDomain)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, domain := range s.domains {
		for s.entries[domain].Watcher.Active().Number < result.Version {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestListedSiteObeysEvacuations guards against calls on a listed site that run at servers of
// an evacuated failure domain, also at the entry of that domain, against orders that make a
// new version when they are repeated or are lost when another change comes first, and
// against a list of the evacuations that is wrong.
func TestListedSiteObeysEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		client := s.operatorAt("a")
		defer client.HTTP.CloseIdleConnections()
		_, err := client.BeginEvacuation(t.Context(), "nowhere")
		if !errors.Is(err, operator.ErrUnknownFailureDomain) {
			t.Errorf("order for an unknown failure domain: got %v", err)
		}
		s.evacuate(client, "a", true)
		again, err := client.BeginEvacuation(t.Context(), "a")
		if err != nil || again.Version != 2 {
			t.Errorf("repeated order: got %+v, %v, want version 2", again, err)
		}
		runs, refused := s.runsIn("one")
		if runs["a"] > 0 || refused > 0 || runs["b"]+runs["c"] != 3*evacuationCalls {
			t.Errorf("got runs %v and %d refusals with a evacuated", runs, refused)
		}
		_, err = client.Patch(t.Context(), operator.Patch{ID: "other", Against: 2, Patch: []byte(`{"limits":{"body_bytes":70000}}`)})
		if err != nil {
			t.Fatal(err)
		}
		s.checkEvacuated(client, map[string]uint64{"a": 2, "b": 0, "c": 0})
		s.evacuate(client, "b", true)
		s.evacuate(client, "c", true)
		s.checkEvacuated(client, map[string]uint64{"a": 2, "b": 4, "c": 5})
		if runs, refused := s.runsIn("two"); runs["a"]+runs["b"]+runs["c"] > 0 || refused != 3*evacuationCalls {
			t.Errorf("got runs %v and %d refusals with all evacuated", runs, refused)
		}
		s.evacuate(client, "a", false)
		if runs, _ := s.runsIn("three"); runs["a"] != 3*evacuationCalls {
			t.Errorf("got runs %v with only a not evacuated", runs)
		}
		s.evacuate(client, "a", true)
		s.checkEvacuated(client, map[string]uint64{"a": 7, "b": 4, "c": 5})
	})
}

// checkEvacuated checks the listed failure domains, which map to the version that began their
// evacuation, or to 0.
func (s *site) checkEvacuated(client *operator.Client, want map[string]uint64) {
	s.t.Helper()
	domains, err := client.FailureDomains(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	if len(domains) != len(want) {
		s.t.Errorf("got %d failure domains, want %d", len(domains), len(want))
	}
	for _, domain := range domains {
		version, listed := want[domain.Name]
		if !listed || domain.Version != version || domain.Evacuated != (version > 0) || domain.Evacuated != (domain.Since != "") || domain.BackendServers != 2 {
			s.t.Errorf("got %+v, want evacuated since version %d", domain, version)
		}
	}
}

// beforePatch calls do before it sends the first patch.
type beforePatch struct {
	next http.RoundTripper
	do   func()
	once *sync.Once
}

// RoundTrip implements http.RoundTripper.
func (b beforePatch) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Method == http.MethodPatch {
		b.once.Do(b.do)
	}
	return b.next.RoundTrip(request)
}

// TestOrderMeetsAnotherChange guards against an order that fails with a conflict because
// another change was accepted between its read and its patch.
func TestOrderMeetsAnotherChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a", "b", "c")
		defer s.close()
		client := s.operatorAt("a")
		defer client.HTTP.CloseIdleConnections()
		racing := *client
		racing.HTTP = &http.Client{Transport: beforePatch{next: client.HTTP.Transport, once: &sync.Once{}, do: func() {
			_, err := client.Patch(t.Context(), operator.Patch{ID: "other", Against: 1, Patch: []byte(`{"limits":{"body_bytes":70000}}`)})
			if err != nil {
				t.Error(err)
			}
		}}}
		result, err := racing.BeginEvacuation(t.Context(), "b")
		if err != nil || result.Version != 3 {
			t.Fatalf("got %+v, %v, want version 3", result, err)
		}
		current, err := client.Configuration(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		document, err := config.Parse(current.Document)
		if err != nil || !document.EvacuatedDomains()["b"] || document.Limits.BodyBytes != 70000 {
			t.Errorf("got document %s, %v, want both changes", current.Document, err)
		}
	})
}
