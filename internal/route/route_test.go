package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusbay/cactusbay/internal/place"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// servers returns n servers spread over the given failure domains.
func servers(n int, domains ...string) []*Server {
	list := make([]*Server, n)
	for i := range list {
		list[i] = NewServer(fmt.Sprintf("engine-%d", i), domains[i%len(domains)])
	}
	return list
}

// query returns a query from failure domain a with a fixed random source.
func query(prefix uint64) *Query {
	return &Query{Now: start, FailureDomain: "a", Prompt: prompt(prefix), Random: rand.New(rand.NewPCG(1, 2))}
}

// prompt returns a prompt of 300 tokens with a prefix of 200.
func prompt(prefix uint64) *place.Prompt {
	return &place.Prompt{Tokens: 300, Output: 8, Prefix: []place.PrefixSegment{{ID: prefix, Tokens: 200}}}
}

// A report does not count the requests sent since. Without the correction, an
// entry would send too many requests to a server between two reports.
func TestLoadCorrectsALaggingReport(t *testing.T) {
	s := NewServer("engine", "a")
	s.Dispatch(start)
	s.Dispatch(start.Add(2 * time.Second))
	s.SetReport(Report{At: start.Add(time.Second), Running: 5})
	if got := s.Load(start.Add(3 * time.Second)); got != 6 {
		t.Errorf("load %d, want 6: 5 reported and 1 dispatched since", got)
	}
	s.Finish(start.Add(3 * time.Second))
	s.Finish(start.Add(3 * time.Second))
	if got := s.Load(start.Add(3 * time.Second)); got != 4 {
		t.Errorf("load %d, want 4 requests of other entries", got)
	}
	if got := s.Load(start.Add(time.Minute)); got != 0 {
		t.Errorf("load %d after the report expired, want 0", got)
	}
}

// For random server states, Pick must not return a server that is leaving, full
// or already tried, and must return one if any is usable.
func TestPickNeverReturnsAnUnusableServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(rapid.IntRange(1, 12).Draw(t, "servers"), "a", "b", "c")
		q := query(rapid.Uint64().Draw(t, "prefix"))
		q.Tried = make(map[string]bool)
		possible := false
		for _, s := range list {
			s.Leaving = rapid.Bool().Draw(t, "leaving")
			s.Concurrency = rapid.IntRange(1, 3).Draw(t, "concurrency")
			for range rapid.IntRange(0, 3).Draw(t, "running") {
				s.Dispatch(start)
			}
			for range rapid.IntRange(0, 3).Draw(t, "failures") {
				s.Failed(start)
			}
			q.Tried[s.Name] = rapid.Bool().Draw(t, "tried")
			possible = possible || s.Usable(start) && !q.Tried[s.Name] && s.Load(start) < s.Limit(start)
		}
		got := Pick(LowestCost{}, list, q)
		if got == nil {
			if possible {
				t.Fatal("Pick returned nil although a server has room")
			}
			return
		}
		if got.Leaving || q.Tried[got.Name] || got.Load(start) >= got.Limit(start) {
			t.Fatalf("picked a leaving, tried or full server: %+v", got)
		}
	})
}

// Requests with one prefix stay at one server of the entry's own failure domain
// until it is busy or leaving; then they must go to another.
func TestPickKeepsPrefixAndDomain(t *testing.T) {
	list := servers(12, "a", "b", "c")
	q := query(PrefixHash("model", []byte("prompt")))
	first := Pick(LowestCost{}, list, q)
	if first.domain != Hash("a") || Pick(LowestCost{}, list, q) != first {
		t.Errorf("picked %s first, want the same server of domain a twice", first.Name)
	}
	for range 10 {
		first.Dispatch(start)
	}
	second := Pick(LowestCost{}, list, q)
	if second == first || second.domain != Hash("a") {
		t.Errorf("picked %s after the preferred server became busy, want another one of domain a", second.Name)
	}
	for _, s := range list {
		s.Leaving = s.domain == Hash("a")
	}
	if got := Pick(LowestCost{}, list, q); got.domain == Hash("a") {
		t.Errorf("picked %s, which is leaving", got.Name)
	}
}

// A server that just recovered would fail again under its full load. Its limit
// grows slowly, and the first failure ejects it for twice as long.
func TestLimitRampsUpAfterEjection(t *testing.T) {
	s := NewServer("engine", "a")
	for range failuresToEject {
		s.Failed(start)
	}
	if s.Usable(start) {
		t.Fatal("the server is still usable after failuresToEject failures")
	}
	ejectionEnd := start.Add(firstEjection)
	if !s.Usable(ejectionEnd) || s.Limit(ejectionEnd) >= defaultLimit/5 {
		t.Errorf("limit %d right after the ejection, want less than a fifth of the default on a usable server", s.Limit(ejectionEnd))
	}
	s.Failed(ejectionEnd)
	if s.Usable(ejectionEnd.Add(firstEjection)) || !s.Usable(ejectionEnd.Add(2*firstEjection)) {
		t.Error("the second ejection is not twice as long")
	}
	if got := s.Limit(ejectionEnd.Add(time.Minute)); got != defaultLimit {
		t.Errorf("limit %d a minute after the ejection, want the default", got)
	}
}

// One slow response reduces the limit; further ones right after it must not
// reduce it again. Fast responses restore the limit.
func TestLimitFollowsTokenGap(t *testing.T) {
	s := NewServer("engine", "a")
	s.LatencyObserved(0, 2*targetTokenGap, start)
	reduced := s.Limit(start)
	s.LatencyObserved(0, 2*targetTokenGap, start)
	if reduced >= defaultLimit || s.Limit(start) != reduced {
		t.Errorf("limit %d after one slow response and %d after two, want the same value below the default", reduced, s.Limit(start))
	}
	for range 1000 {
		s.LatencyObserved(0, targetTokenGap/2, start)
	}
	if s.Limit(start) != defaultLimit {
		t.Errorf("limit %d after 1000 fast responses, want the default", s.Limit(start))
	}
}

// If entries chose similar subsets, some servers would get no requests.
func TestSubsetCoversAllServers(t *testing.T) {
	list := servers(100, "a")
	seen := make(map[string]bool)
	for i := range 40 {
		for _, s := range Subset(list, "a", fmt.Sprintf("entry-%d", i), 20) {
			seen[s.Name] = true
		}
	}
	if len(seen) != 100 {
		t.Errorf("%d of 100 servers are in a subset, want all", len(seen))
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{75, 750} {
		for _, domain := range []string{"a", "full"} {
			b.Run(fmt.Sprintf("servers=%d/domain=%s", n, domain), func(b *testing.B) {
				benchmarkPick(b, n, domain)
			})
		}
	}
}

// benchmarkPick measures Pick among n servers of three failure domains. The
// failure domain "full" has no servers, so that Pick looks at all domains.
func benchmarkPick(b *testing.B, n int, domain string) {
	list := servers(n, "a", "b", "c")
	q := query(0)
	q.FailureDomain = domain
	q.Prefixes = &Prefixes{}
	b.ReportAllocs()
	for i := range b.N {
		q.Now = start.Add(time.Duration(i) * time.Millisecond)
		q.Prompt.Prefix[0].ID = uint64(i)
		q.Dispatch(Pick(LowestCost{}, list, q))
		if i%n == 0 {
			for _, s := range list {
				s.running = 0
			}
		}
	}
}
