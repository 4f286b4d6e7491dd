package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/retry"
)

// sentEvents records which software versions sent events.
type sentEvents struct {
	mu       sync.Mutex
	versions []string
}

// record records an event.
func (e *sentEvents) record(version string, _ int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions = append(e.versions, version)
}

// distinct returns the versions that sent events.
func (e *sentEvents) distinct() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	sorted := slices.Clone(e.versions)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// expectVersions checks which versions sent events.
func (e *sentEvents) expectVersions(t *testing.T, want ...string) {
	t.Helper()
	got := e.distinct()
	if !slices.Equal(got, want) {
		t.Errorf("events of versions %v, want %v", got, want)
	}
}

// streamOrigins is the memory of a single entry. It implements forward.StreamOrigins.
type streamOrigins struct {
	mu      sync.Mutex
	origins map[string]string
}

// Began implements forward.StreamOrigins.
func (s *streamOrigins) Began(attempt, origin string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origins == nil {
		s.origins = make(map[string]string)
	}
	s.origins[attempt] = origin
}

// OriginOf implements forward.StreamOrigins.
func (s *streamOrigins) OriginOf(_ context.Context, attempt string) (origin string, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	origin, known = s.origins[attempt]
	return origin, known
}

// versionedServers returns a server of v1 that breaks each new stream before its third
// event, a cheaper one of v2 and one of v1 in another failure domain.
func versionedServers(events *sentEvents) []pausingServer {
	return []pausingServer{
		{version: "v1", breaksAt: 3, sent: events.record},
		{version: "v2", domain: "a", sent: events.record},
		{version: "v1", sent: events.record},
	}
}

// TestBrokenStreamGoesOnAtItsVersion guards against a stream that an entry resumes at a
// server of another software version than the one that began it.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
		network, _, stop := startPausingSite(t, limits, versionedServers(&events))
		defer stop()
		expectWholeStream(t, network)
		events.expectVersions(t, "v1")
	})
}

// TestBrokenStreamEndsWithoutItsVersion checks that a stream ends visibly incomplete if
// no other server of its software version is left.
func TestBrokenStreamEndsWithoutItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
		network, _, stop := startPausingSite(t, limits, versionedServers(&events)[:2])
		defer stop()
		_, body, complete := callPausingSite(t, network)
		if body != eventText(1, 2) || complete {
			t.Errorf("body %q, complete %v; want two events and a closed connection", body, complete)
		}
		events.expectVersions(t, "v1")
	})
}

// TestSilentStreamGoesOnAtItsVersion guards against a successor of another software
// version for a server that is silent.
func TestSilentStreamGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
		servers := versionedServers(&events)
		servers[0] = pausingServer{version: "v1", pauseAt: 3, pause: time.Minute, sent: events.record}
		network, _, stop := startPausingSite(t, limits, servers)
		defer stop()
		expectWholeStream(t, network)
		events.expectVersions(t, "v1")
	})
}

// TestCallerResumesAtTheVersionThatBegan guards against a caller's further try that goes
// on at another software version than the one that began its stream.
func TestCallerResumesAtTheVersionThatBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		network, _, stop := startPausingSite(t, retry.Limits{}, versionedServers(&events))
		defer stop()
		_, body, complete := callPausingSite(t, network)
		if body != eventText(1, 2) || complete {
			t.Fatalf("body %q, complete %v; want two events and a closed connection", body, complete)
		}
		status, body, complete := callWithHeader(t, network, http.Header{"Id": {"a2"}, "Last": {"2"}, "Continues": {"a1"}})
		if status != http.StatusOK || body != eventText(3, eventCount) || !complete {
			t.Errorf("status %d, body %q, complete %v; want the rest of the stream", status, body, complete)
		}
		events.expectVersions(t, "v1")
	})
}

// TestUnknownStreamIsNotGuessed checks that a request that resumes a stream is refused
// as not run while several versions serve and none of the entries knows the one that
// began it.
func TestUnknownStreamIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		network, entry, stop := startPausingSite(t, retry.Limits{}, versionedServers(&events))
		defer stop()
		entry.ListFollowedFor = func() time.Duration { return time.Minute }
		entry.AwaitList = func(context.Context, time.Time) bool { return true }
		time.Sleep(time.Minute)
		for _, header := range []http.Header{
			{"Id": {"a2"}, "Last": {"2"}, "Continues": {"of another entry"}},
			{"Id": {"a3"}, "Last": {"2"}},
		} {
			status, body, _ := callWithHeader(t, network, header)
			if status != http.StatusServiceUnavailable || body != "stream_version_unknown\n" {
				t.Errorf("status %d, body %q; want 503 because of the unknown version", status, body)
			}
		}
		events.expectVersions(t)
	})
}

// TestOnlyVersionNeedsNoRecord checks that a stream of which no entry knows the version
// goes on if no other version has served for as long as the stream may have lasted, and
// that it is known from then on.
func TestOnlyVersionNeedsNoRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		servers := versionedServers(&events)
		servers[1].version = "v1"
		network, entry, stop := startPausingSite(t, retry.Limits{}, servers)
		defer stop()
		entry.ListFollowedFor = func() time.Duration { return time.Minute }
		entry.AwaitList = func(context.Context, time.Time) bool { return true }
		time.Sleep(time.Minute)
		expectRest(t, network, "a2")
		entry.Fleet.Update([]instances.Instance{
			{ID: "s1", Upstream: "pool", Address: "10.0.0.2:80", Slots: 8, Version: "v1"},
			{ID: "s2", Upstream: "pool", Address: "10.0.0.3:80", Slots: 8, Version: "v2"},
		}, time.Now())
		expectRest(t, network, "a3")
	})
}

// expectRest resumes a stream of another entry after its second event and checks that it
// goes on.
func expectRest(t *testing.T, network *fake.Network, attempt string) {
	t.Helper()
	status, body, complete := callWithHeader(t, network, http.Header{"Id": {attempt}, "Last": {"2"}, "Continues": {"of another entry"}})
	if status != http.StatusOK || body != eventText(3, eventCount) || !complete {
		t.Errorf("status %d, body %q, complete %v; want the rest of the stream", status, body, complete)
	}
}

// TestOldListGuessesNoVersion guards against an entry without a current list that takes
// the last version it saw for the only one.
func TestOldListGuessesNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		network, entry, stop := startPausingSite(t, retry.Limits{}, []pausingServer{{version: "v1", sent: events.record}})
		defer stop()
		entry.ListFollowedFor = func() time.Duration { return 0 }
		entry.AwaitList = func(context.Context, time.Time) bool { return true }
		time.Sleep(time.Minute)
		status, body, _ := callWithHeader(t, network, http.Header{"Id": {"a2"}, "Last": {"2"}, "Continues": {"of another entry"}})
		if status != http.StatusServiceUnavailable {
			t.Errorf("status %d, body %q; want 503", status, body)
		}
		events.expectVersions(t)
	})
}

// TestVersionIsNotGuessedFromAListOfBefore guards against an entry out of step that takes
// the only version in its list for the one that began a stream elsewhere, although a list
// from after the request shows another one, or no such list can be had.
func TestVersionIsNotGuessedFromAListOfBefore(t *testing.T) {
	for name, current := range map[string]bool{"another version has joined": true, "no list": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var events sentEvents
				network, entry, stop := startPausingSite(t, retry.Limits{}, []pausingServer{{version: "v1", sent: events.record}})
				defer stop()
				entry.ListFollowedFor = func() time.Duration { return time.Minute }
				entry.AwaitList = func(_ context.Context, at time.Time) bool {
					if time.Since(at) != 0 {
						t.Errorf("a list of %s ago is awaited, want a current one", time.Since(at))
					}
					if current {
						entry.Fleet.Update([]instances.Instance{
							{ID: "s1", Upstream: "pool", Address: "10.0.0.2:80", Slots: 8, Version: "v1"},
							{ID: "s2", Upstream: "pool", Address: "10.0.0.3:80", Slots: 8, Version: "v2"},
						}, at)
					}
					return current
				}
				time.Sleep(time.Minute)
				for _, attempt := range []string{"", "of another entry"} {
					status, body, _ := callWithHeader(t, network, http.Header{"Id": {"a2"}, "Last": {"2"}, "Continues": {attempt}})
					if status != http.StatusServiceUnavailable || body != "stream_version_unknown\n" {
						t.Errorf("status %d, body %q; want 503 because of the unknown version", status, body)
					}
				}
				events.expectVersions(t)
			})
		})
	}
}

// TestStreamGoesOnAtItsUpstream guards against a resumed stream of a split route that is
// sent to the other upstream.
func TestStreamGoesOnAtItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events sentEvents
		network, entry, stop := startPausingSite(t, retry.Limits{}, versionedServers(&events))
		defer stop()
		entry.Install(2, splitDocument(t))
		entry.Streams.Began("a1", "pool\nv1")
		for range 20 {
			status, body, complete := callWithHeader(t, network, http.Header{"Id": {"a2"}, "Last": {"2"}, "Continues": {"a1"}})
			if status != http.StatusOK || body != eventText(3, eventCount) || !complete {
				t.Fatalf("status %d, body %q, complete %v; want the rest of the stream", status, body, complete)
			}
		}
	})
}

// splitDocument returns a configuration whose route sends most requests to an upstream
// without servers and the rest to pool.
func splitDocument(t *testing.T) *config.Document {
	t.Helper()
	key := config.HostRouteKey("one.example", "/a/")
	parsed, err := config.Parse(fmt.Appendf(nil, `{"host_routes":{%q:{"host":"one.example","path_prefix":"/a/","repetition":"stream","timeout":"10s","max_attempts":2,"resumable":true,
		"upstreams":[{"upstream":"empty","weight":9},{"upstream":"pool","weight":1}]}},"upstreams":{"pool":{},"empty":{}},"workspaces":{"north":{"key_hashes":[%q]}}}`, key, config.HashKey("secret")))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
