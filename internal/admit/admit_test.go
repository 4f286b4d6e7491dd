package admit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/route"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// oneServer returns a candidate set of one server with the given limit.
func oneServer(limit int) []*route.Server {
	s := route.NewServer("engine", "a")
	s.Concurrency = limit
	return []*route.Server{s}
}

// request returns a request with a deadline in one minute.
func request(servers []*route.Server, class Class, workspace string) *Request {
	return &Request{Class: class, Workspace: workspace, Work: "w", Servers: servers, Cost: 1, Deadline: start.Add(time.Minute)}
}

// Queued requests must be served by class first and then in proportion to the
// workspaces' weights, or a workspace with many requests would delay all other
// workspaces.
func TestOrderIsByClassThenWeight(t *testing.T) {
	servers := oneServer(1)
	c := &Controller{}
	c.Offer(request(servers, Batch, "a"), start)
	for range 4 {
		c.Offer(request(servers, Standard, "a"), start)
	}
	heavy := request(servers, Standard, "b")
	heavy.Weight = 2
	for range 4 {
		copied := *heavy
		c.Offer(&copied, start)
	}
	c.Offer(request(servers, Interactive, "c"), start)
	order := ""
	for c.Waiting() > 0 {
		c.Finish(servers[0], "w", time.Second, start)
		r, _ := c.Next(start)
		order += r.Workspace
	}
	if order != "cabbabbaa" {
		t.Errorf("workspaces served in the order %s, want cabbabbaa", order)
	}
}

// A request whose expected wait exceeds its deadline is refused at once instead
// of timing out in the queue. A more urgent one with the same deadline is
// queued.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	servers := oneServer(1)
	c := &Controller{}
	c.Offer(request(servers, Standard, "a"), start)
	c.Finish(servers[0], "w", 10*time.Second, start)
	c.Offer(request(servers, Standard, "a"), start)
	for range 4 {
		c.Offer(request(servers, Standard, "a"), start)
	}
	late := request(servers, Standard, "a")
	late.Deadline = start.Add(30 * time.Second)
	decision, _ := c.Offer(late, start)
	refused, ok := decision.(Refused)
	if !ok || refused.RetryAfter < 20*time.Second || refused.RetryAfter > time.Minute {
		t.Errorf("decision %+v for the late request, want Refused with a retry delay of 20 s to 1 min", decision)
	}
	urgent := request(servers, Interactive, "a")
	urgent.Deadline = start.Add(30 * time.Second)
	decision, _ = c.Offer(urgent, start)
	if _, ok := decision.(Queued); !ok {
		t.Errorf("decision %+v for the interactive request, want Queued", decision)
	}
}

// Batch requests must not fill a server to its limit, or an interactive request
// would have to wait for one of them to end.
func TestBatchLeavesHeadroomForUrgentRequests(t *testing.T) {
	servers := oneServer(48)
	c := &Controller{}
	batch := 0
	for range 60 {
		decision, _ := c.Offer(request(servers, Batch, "a"), start)
		if _, placed := decision.(Placed); placed {
			batch++
		}
	}
	decision, _ := c.Offer(request(servers, Interactive, "a"), start)
	if _, placed := decision.(Placed); !placed || batch < 40 {
		t.Errorf("%d batch requests placed, want at least 40; decision %+v for the interactive request, want Placed", batch, decision)
	}
}

// A full queue refuses its queued batch request in favour of an interactive one.
// A new batch request is refused rather than any more urgent queued request.
func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	servers := oneServer(1)
	c := &Controller{QueueLimit: 2}
	c.Offer(request(servers, Standard, "a"), start)
	batch := request(servers, Batch, "a")
	c.Offer(batch, start)
	c.Offer(request(servers, Standard, "a"), start)
	_, victim := c.Offer(request(servers, Interactive, "a"), start)
	if victim != batch {
		t.Errorf("victim %+v, want the batch request", victim)
	}
	decision, victim := c.Offer(request(servers, Batch, "b"), start)
	if _, ok := decision.(Refused); !ok || victim != nil {
		t.Errorf("decision %+v and victim %+v, want Refused and no victim", decision, victim)
	}
}

// For random sequences of requests, the controller must respect the queue and
// server limits, keep its counts right and leave no request queued while a
// server has room.
func TestControllerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := oneServer(rapid.IntRange(1, 4).Draw(t, "limit"))
		c := &Controller{QueueLimit: 5, Query: route.Query{Random: rand.New(rand.NewPCG(1, 1))}}
		running, waiting := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "finish") && running > 0 {
				c.Finish(servers[0], "w", time.Second, start)
				running--
				r, _ := c.Next(start)
				if r != nil {
					running++
					waiting--
				}
				if r == nil && waiting > 0 {
					t.Fatal("a request stays queued although the server has room")
				}
				continue
			}
			class := Class(rapid.IntRange(0, 2).Draw(t, "class"))
			decision, victim := c.Offer(request(servers, class, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")), start)
			if victim != nil {
				waiting--
			}
			switch decision.(type) {
			case Placed:
				running++
			case Queued:
				waiting++
			}
			if waiting != c.Waiting() || waiting > 5 || running != servers[0].Running() || running > servers[0].Limit(start) {
				t.Fatalf("queued %d, want %d and at most 5; running %d, want %d and at most the limit", c.Waiting(), waiting, servers[0].Running(), running)
			}
		}
	})
}

func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{75, 750} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var servers []*route.Server
			for i := range n {
				servers = append(servers, route.NewServer(fmt.Sprintf("engine-%d", i), string(rune('a'+i%3))))
			}
			c := &Controller{FailureDomain: "a", Query: route.Query{Random: rand.New(rand.NewPCG(1, 1))}}
			r := request(servers, Standard, "a")
			b.ReportAllocs()
			for i := range b.N {
				r.Prompt = &place.Prompt{Tokens: 300, Prefix: []place.PrefixSegment{{ID: uint64(i), Tokens: 200}}}
				now := start.Add(time.Duration(i) * time.Millisecond)
				r.Deadline = now.Add(time.Minute)
				decision, _ := c.Offer(r, now)
				c.Finish(decision.(Placed).Server, "w", time.Second, now)
			}
		})
	}
}
