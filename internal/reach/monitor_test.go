package reach_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/reach"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// waitLimit bounds the time until the monitor has noticed a change.
const waitLimit = 5 * time.Second

// peers says whether other entries reach the servers.
type peers struct {
	reaching atomic.Bool
}

// AskReach implements reach.Peers.
func (*peers) AskReach(string) {}

// Reaching implements reach.Peers.
func (p *peers) Reaching(string, time.Time) []string {
	if p.reaching.Load() {
		return []string{"127.0.0.1:1"}
	}
	return nil
}

// startMonitor starts a monitor of an entry with two servers of the upstream app at an
// address.
func startMonitor(t *testing.T, address string, p *peers) *place.Fleet {
	t.Helper()
	fleet := &place.Fleet{}
	fleet.Update([]instances.Instance{
		{ID: "i-0", Upstream: "app", Address: address, Slots: 8},
		{ID: "i-1", Upstream: "app", Address: address, Slots: 8},
	}, time.Now())
	m := &reach.Monitor{
		Fleet:      fleet,
		Client:     &upstream.Client{},
		Peers:      p,
		HealthPath: func(string) string { return "/healthz" },
		Log:        log.New(io.Discard),
	}
	m.Start()
	t.Cleanup(m.Close)
	return fleet
}

// failRequests lets requests to both servers fail.
func failRequests(t *testing.T, fleet *place.Fleet) {
	t.Helper()
	var tried []string
	for range 2 {
		chosen, ok := fleet.Pick(place.Query{Now: time.Now(), Upstream: "app", Tried: tried}).(place.Chosen)
		if !ok {
			t.Fatal("no server is available")
		}
		tried = append(tried, chosen.Placement.ID)
		chosen.Placement.Done(place.Unreachable{}, time.Now())
	}
}

// waitFor waits until the entry is cut off, or no longer, and keeps requests failing.
func waitFor(t *testing.T, fleet *place.Fleet, cutOff bool, during func()) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for fleet.IsCutOff("app") != cutOff {
		if time.Now().After(deadline) {
			t.Fatalf("cut off %v, want %v", !cutOff, cutOff)
		}
		during()
		time.Sleep(20 * time.Millisecond)
	}
}

// closedAddress returns a loopback address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestEntryIsCutOffOnlyIfOthersReachTheServers guards against requests that are passed on
// while no entry reaches the servers, and against an entry that does not notice the end of
// a cut.
func TestEntryIsCutOffOnlyIfOthersReachTheServers(t *testing.T) {
	address := closedAddress(t)
	p := &peers{}
	fleet := startMonitor(t, address, p)
	for range 20 {
		failRequests(t, fleet)
		time.Sleep(50 * time.Millisecond)
	}
	if fleet.IsCutOff("app") {
		t.Error("the entry counts as cut off although no entry reaches the servers")
	}
	p.reaching.Store(true)
	waitFor(t, fleet, true, func() { failRequests(t, fleet) })
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	waitFor(t, fleet, false, func() {})
	if counts := fleet.Counts(time.Now()); counts.Ejected != 0 {
		t.Errorf("%d servers are still ejected after the cut", counts.Ejected)
	}
}

// TestServersThatAnswerProbesAreInReach guards against an entry that passes requests on
// because a few of them wait for long.
func TestServersThatAnswerProbesAreInReach(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	p := &peers{}
	p.reaching.Store(true)
	fleet := startMonitor(t, server.Listener.Addr().String(), p)
	fleet.Pick(place.Query{Now: time.Now(), Upstream: "app"})
	end := time.Now().Add(2 * time.Second)
	for time.Now().Before(end) {
		if fleet.IsCutOff("app") {
			t.Fatal("the entry counts as cut off")
		}
		time.Sleep(20 * time.Millisecond)
	}
}
