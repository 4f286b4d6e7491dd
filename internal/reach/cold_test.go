package reach_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/reach"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// TestServerThatIsBackIsAskedWhetherItIsCold guards against a server that counts as not cold,
// or as unreachable, because nobody asks it once it is back.
func TestServerThatIsBackIsAskedWhetherItIsCold(t *testing.T) {
	address := closedAddress(t)
	fleet := &place.Fleet{}
	fleet.SetUpstreams(map[string]place.UpstreamPolicy{"app": {ColdStart: time.Hour, ColdRequestsPerSecond: 14}})
	fleet.Update([]instances.Instance{{ID: "i-0", Upstream: "app", Address: address, Slots: 8, ColdStated: true}}, time.Now())
	var statement atomic.Value
	m := &reach.Monitor{
		Fleet:      fleet,
		Client:     &upstream.Client{},
		Peers:      &peers{},
		HealthPath: func(string) string { return "/healthz" },
		Log:        log.New(io.Discard),
		Answered: func(_ place.Endpoint, _ time.Time, response *upstream.Response) {
			statement.Store(response.Header.Get("Cold"))
		},
	}
	m.Start()
	t.Cleanup(m.Close)
	chosen, ok := fleet.Pick(place.Query{Now: time.Now(), Upstream: "app"}).(place.Chosen)
	if !ok {
		t.Fatal("no server is available")
	}
	chosen.Placement.Done(place.Unreachable{}, time.Now())
	time.Sleep(time.Second)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var probes atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		probes.Add(1)
		w.Header().Set("Cold", "yes")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	deadline := time.Now().Add(waitLimit)
	for statement.Load() == nil {
		if time.Now().After(deadline) {
			t.Fatal("the server was not asked")
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if statement.Load() != "yes" || probes.Load() > 3 {
		t.Errorf("the server has stated %v to %d probes, want yes, and no more probes once it has answered", statement.Load(), probes.Load())
	}
	if fleet.Counts(time.Now()).Cold != 1 {
		t.Error("the server does not count as cold")
	}
}
