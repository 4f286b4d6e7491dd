package reach_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/reach"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// pipeNetwork connects to a server in the test's process that answers health checks.
type pipeNetwork struct {
	transport.Network
	// probed gets the time of each health check.
	probed chan time.Time
	// answerTime is how long the server takes to answer.
	answerTime time.Duration
}

// DialContext implements transport.Network.
func (n *pipeNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go n.serve(server)
	return client, nil
}

// serve answers one request.
func (n *pipeNetwork) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	n.probed <- time.Now()
	time.Sleep(n.answerTime)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// TestServerOfTheFirstListIsProbedAtOnce guards against a probe that waits for the next pass
// of the monitor, during which the server takes no requests, and against servers that are
// probed although no request was placed at them.
func TestServerOfTheFirstListIsProbedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipeNetwork{probed: make(chan time.Time, 10), answerTime: 5 * time.Millisecond}
		fleet := &place.Fleet{}
		fleet.SetUpstreams(map[string]place.UpstreamPolicy{"app": {ColdStart: 3 * time.Second, ColdRequestsPerSecond: 14}})
		m := &reach.Monitor{
			Fleet:      fleet,
			Client:     &upstream.Client{Network: network},
			Peers:      &peers{},
			HealthPath: func(string) string { return "/healthz" },
			Log:        log.New(io.Discard),
		}
		m.Start()
		defer m.Close()
		time.Sleep(time.Second + time.Millisecond)
		fleet.Update([]instances.Instance{
			{ID: "i-0", Upstream: "app", Address: "10.0.0.1:80", Slots: 8, ColdStated: true},
			{ID: "i-1", Upstream: "app", Address: "10.0.0.2:80", Slots: 8, ColdStated: true},
		}, time.Now())
		time.Sleep(500 * time.Millisecond)
		if len(network.probed) != 0 {
			t.Fatal("a server was probed before a request was placed")
		}
		q := place.Query{Now: time.Now(), Upstream: "app", Tried: []string{"i-1"}}
		request, ok := fleet.Pick(q).(place.Chosen)
		if !ok {
			t.Fatal("no server is available")
		}
		synctest.Wait()
		if len(network.probed) != 1 || !(<-network.probed).Equal(q.Now) {
			t.Fatal("the server was not probed at once")
		}
		if _, ok := fleet.Pick(q).(place.Full); !ok {
			t.Error("a second request was placed before the probe was answered")
		}
		time.Sleep(network.answerTime)
		synctest.Wait()
		q.Now = time.Now()
		next, ok := fleet.Pick(q).(place.Chosen)
		if !ok {
			t.Fatal("no request was placed once the probe was answered")
		}
		for _, p := range []*place.Placement{request.Placement, next.Placement} {
			p.RecordAnswer(time.Now())
			p.Done(place.Served{}, time.Now())
		}
		time.Sleep(time.Second)
		if len(network.probed) != 0 {
			t.Errorf("%d more probes were sent", len(network.probed))
		}
	})
}
