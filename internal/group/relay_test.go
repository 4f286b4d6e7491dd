package group

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// countingLister counts how often it is read.
type countingLister struct {
	reads int
	list  []instances.Instance
}

func (c *countingLister) List(context.Context) (instances.Reading, error) {
	c.reads++
	return instances.Reading{Instances: c.list}, nil
}

// TestRelayReadsSourceOnlyWithoutLeader guards against a relay that reads the
// source although the leader has a fresh list, that has no list when the leader
// has none or does not respond, or that reads the source again at once.
func TestRelayReadsSourceOnlyWithoutLeader(t *testing.T) {
	leaderSource := &countingLister{list: []instances.Instance{{ID: "from the leader"}}}
	leader := New(nil)
	leader.Listings = &instances.Poller{Lister: leaderSource, Interval: time.Hour, Log: log.New(io.Discard)}
	leader.Listings.Start()
	defer leader.Listings.Close()
	for {
		_, age, changed := leader.Listings.Current()
		if age >= 0 {
			break
		}
		<-changed
	}
	address := serveGroup(t, leader)
	empty := serveGroup(t, New(nil))
	ownSource := &countingLister{list: []instances.Instance{{ID: "from the source"}}}
	leaderAddress := ""
	relay := &Relay{Client: &peer.Client{HTTP: http.DefaultClient}, Leader: func() string { return leaderAddress }, Source: ownSource}
	for _, c := range []struct {
		leader, want string
		reads        int
	}{
		{address, "from the leader", 0},
		{"", "from the source", 1},
		{empty, "from the source", 2},
		{"127.0.0.1:1", "from the source", 3},
	} {
		leaderAddress = c.leader
		relay.lastRead = time.Time{}
		reading, err := relay.List(t.Context())
		if err != nil || len(reading.Instances) != 1 || reading.Instances[0].ID != c.want || ownSource.reads != c.reads {
			t.Errorf("leader %q: got list %+v, error %v and %d reads of the source, want the list and the reads of the case", c.leader, reading, err, ownSource.reads)
		}
		if leaderAddress == "" {
			again, err := relay.List(t.Context())
			if err != nil || ownSource.reads != c.reads || again.Age <= 0 {
				t.Errorf("the source was read again at once: got %d reads and error %v, want no further read", ownSource.reads, err)
			}
		}
	}
}

func serveGroup(t *testing.T, g *Group) string {
	t.Helper()
	mux := http.NewServeMux()
	g.Handle(mux, "", nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}
