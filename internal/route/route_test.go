package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func servers(n int, domains ...string) []*Server {
	list := make([]*Server, n)
	for i := range list {
		list[i] = NewServer(fmt.Sprintf("engine-%d", i), domains[i%len(domains)])
	}
	return list
}

func query(prefix uint64) *Query {
	return &Query{Now: start, FailureDomain: "a", Prefix: prefix, Random: rand.New(rand.NewPCG(1, 2))}
}

func TestLoadCorrectsALaggingReport(t *testing.T) {
	s := NewServer("engine", "a")
	s.Dispatch(start)
	s.Dispatch(start.Add(2 * time.Second))
	s.SetReport(Report{At: start.Add(time.Second), Running: 5})
	if got := s.Load(start.Add(3 * time.Second)); got != 6 {
		t.Errorf("load %d, want the 5 reported and 1 dispatched since", got)
	}
	s.Finish(start.Add(3 * time.Second))
	s.Finish(start.Add(3 * time.Second))
	if got := s.Load(start.Add(3 * time.Second)); got != 4 {
		t.Errorf("load %d, want 4 of others", got)
	}
	if got := s.Load(start.Add(time.Minute)); got != 0 {
		t.Errorf("load %d by a report that is too old", got)
	}
}

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
		got := Pick(Balanced{}, list, q)
		if got == nil {
			if possible {
				t.Fatal("no server although one has room")
			}
			return
		}
		if got.Leaving || q.Tried[got.Name] || got.Load(start) >= got.Limit(start) {
			t.Fatalf("picked %+v", got)
		}
	})
}

func TestPickKeepsPrefixAndDomain(t *testing.T) {
	list := servers(12, "a", "b", "c")
	q := query(PrefixHash("model", []byte("prompt")))
	first := Pick(Balanced{}, list, q)
	if first.domain != Hash("a") || Pick(Balanced{}, list, q) != first {
		t.Errorf("picked %s", first.Name)
	}
	for range 10 {
		first.Dispatch(start)
	}
	second := Pick(Balanced{}, list, q)
	if second == first || second.domain != Hash("a") {
		t.Errorf("a busy server is picked for its prefix: %s", second.Name)
	}
	for _, s := range list {
		s.Leaving = s.domain == Hash("a")
	}
	if got := Pick(Balanced{}, list, q); got.domain == Hash("a") {
		t.Errorf("picked the leaving %s", got.Name)
	}
}

func TestLimitRampsUpAfterEjection(t *testing.T) {
	s := NewServer("engine", "a")
	for range failuresToEject {
		s.Failed(start)
	}
	if s.Usable(start) {
		t.Fatal("not ejected")
	}
	ejectionEnd := start.Add(firstEjection)
	if !s.Usable(ejectionEnd) || s.Limit(ejectionEnd) >= defaultLimit/5 {
		t.Errorf("limit %d right after the ejection", s.Limit(ejectionEnd))
	}
	s.Failed(ejectionEnd)
	if s.Usable(ejectionEnd.Add(firstEjection)) || !s.Usable(ejectionEnd.Add(2*firstEjection)) {
		t.Error("the second ejection is not twice as long")
	}
	if got := s.Limit(ejectionEnd.Add(time.Minute)); got != defaultLimit {
		t.Errorf("limit %d a minute later", got)
	}
}

func TestLimitFollowsTokenGap(t *testing.T) {
	s := NewServer("engine", "a")
	s.LatencyObserved(0, 2*targetTokenGap, start)
	reduced := s.Limit(start)
	s.LatencyObserved(0, 2*targetTokenGap, start)
	if reduced >= defaultLimit || s.Limit(start) != reduced {
		t.Errorf("limit %d, then %d", reduced, s.Limit(start))
	}
	for range 1000 {
		s.LatencyObserved(0, targetTokenGap/2, start)
	}
	if s.Limit(start) != defaultLimit {
		t.Errorf("limit %d after good answers", s.Limit(start))
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 10_000 {
		b.Request()
		if b.Retry() {
			retries++
		}
	}
	if retries > 1000+int(maxRetryBurst) {
		t.Errorf("%d retries of 10000 requests", retries)
	}
}

func TestSubsetCoversAllServers(t *testing.T) {
	list := servers(100, "a")
	seen := make(map[string]bool)
	for i := range 40 {
		for _, s := range Subset(list, "a", fmt.Sprintf("entry-%d", i), 20) {
			seen[s.Name] = true
		}
	}
	if len(seen) != 100 {
		t.Errorf("%d of 100 servers are in a subset", len(seen))
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

// benchmarkPick picks among n servers of three failure domains. The own failure
// domain full has no servers, so that all others are looked at.
func benchmarkPick(b *testing.B, n int, domain string) {
	list := servers(n, "a", "b", "c")
	q := query(0)
	q.FailureDomain = domain
	b.ReportAllocs()
	for i := range b.N {
		q.Prefix = uint64(i)
		Pick(Balanced{}, list, q).Dispatch(q.Now)
		if i%n == 0 {
			for _, s := range list {
				s.running = 0
			}
		}
	}
}
