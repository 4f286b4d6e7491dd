package admit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusbay/cactusbay/internal/route"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func oneServer(limit int) []*route.Server {
	s := route.NewServer("engine", "a")
	s.Concurrency = limit
	return []*route.Server{s}
}

func request(servers []*route.Server, class Class, workspace string) *Request {
	return &Request{Class: class, Workspace: workspace, Work: "w", Servers: servers, Cost: 1, Deadline: start.Add(time.Minute)}
}

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
		t.Errorf("served in the order %s", order)
	}
}

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
		t.Errorf("decision %+v", decision)
	}
	urgent := request(servers, Interactive, "a")
	urgent.Deadline = start.Add(30 * time.Second)
	decision, _ = c.Offer(urgent, start)
	if _, ok := decision.(Queued); !ok {
		t.Errorf("urgent decision %+v", decision)
	}
}

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
		t.Errorf("%d drafts run, urgent decision %+v", batch, decision)
	}
}

func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	servers := oneServer(1)
	c := &Controller{QueueLimit: 2}
	c.Offer(request(servers, Standard, "a"), start)
	batch := request(servers, Batch, "a")
	c.Offer(batch, start)
	c.Offer(request(servers, Standard, "a"), start)
	_, victim := c.Offer(request(servers, Interactive, "a"), start)
	if victim != batch {
		t.Errorf("refused %+v", victim)
	}
	decision, victim := c.Offer(request(servers, Batch, "b"), start)
	if _, ok := decision.(Refused); !ok || victim != nil {
		t.Errorf("decision %+v, victim %+v", decision, victim)
	}
}

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
					t.Fatal("a request waits although there is room")
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
				t.Fatalf("waiting %d of %d, running %d of %d", c.Waiting(), waiting, servers[0].Running(), running)
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
				r.Prefix = uint64(i)
				decision, _ := c.Offer(r, start)
				c.Finish(decision.(Placed).Server, "w", time.Second, start)
			}
		})
	}
}
