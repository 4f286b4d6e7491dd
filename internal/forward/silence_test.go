package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/cactusbay/cactusbay/internal/check"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	entryAddress = "10.0.0.9:80"
	// eventCount is the number of events of each stream.
	eventCount = 4
	// modelPrompt makes a request one to a model engine.
	modelPrompt = "prompt"
)

// pausingServer is a backend server that falls silent once and goes on.
type pausingServer struct {
	// pauseAt is the number of the event before which the server is silent; 1 is
	// before the response header.
	pauseAt int
	// pause is how long the server is silent.
	pause time.Duration
	// declines is set if the server declines every request.
	declines bool
	// unreachable is set if the server accepts no connection.
	unreachable bool
}

// ServeHTTP streams eventCount events, or the rest of them to a request that resumes
// a stream.
func (s pausingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	if s.declines {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Stamp", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	_, _ = fmt.Sscan(r.Header.Get("Last"), &first)
	if r.Header.Get("Last") != "" {
		first++
	}
	for number := first; number <= eventCount; number++ {
		if number == s.pauseAt {
			time.Sleep(s.pause)
		}
		_, _ = io.WriteString(w, eventText(number, number))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// promptTranslator is a testTranslator that marks requests with the header Prompt as
// requests to a model engine.
type promptTranslator struct{ testTranslator }

func (promptTranslator) Request(r *http.Request) (*forward.Request, error) {
	request, err := testTranslator{}.Request(r)
	if r.Header.Get("Prompt") != "" {
		request.Prompt = &place.Prompt{Tokens: 100, Output: 100}
	}
	return request, err
}

// startPausingSite starts an entry and its backend servers in the current bubble, of
// which the first is preferred. It returns the network, the entry and a function that ends
// them and waits for their handlers.
func startPausingSite(t *testing.T, limits retry.Limits, servers []pausingServer) (network *fake.Network, entry *forward.Server, stop func()) {
	t.Helper()
	timeout := check.Duration(10 * time.Second)
	route := resumableRoute
	route.Timeout = &timeout
	network = &fake.Network{}
	var running []*http.Server
	serve := func(host, address string, handler http.Handler) {
		listener, err := network.Host(host).Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		running = append(running, server)
		go func() { _ = server.Serve(listener) }()
	}
	var list []instances.Instance
	for i, server := range servers {
		host := fmt.Sprintf("s%d", i)
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		serve(host, address, server)
		if server.unreachable {
			network.Cut("entry", host)
		}
		domain := "b"
		if i == 0 {
			domain = "a"
		}
		list = append(list, instances.Instance{ID: host, Upstream: "pool", Address: address, FailureDomain: domain, Slots: 8})
	}
	client := &upstream.Client{Network: network.Host("entry")}
	entry = &forward.Server{
		Translator:    promptTranslator{},
		Upstream:      client,
		Fleet:         &place.Fleet{},
		Holder:        &escrow.Holder{},
		Retries:       &retry.Budget{Limits: limits},
		Entries:       func() int { return 1 },
		FailureDomain: "a",
		Log:           log.New(io.Discard),
		Scope:         tally.NoopScope,
		Tracer:        noop.NewTracerProvider().Tracer("test"),
	}
	entry.Fleet.Update(list, time.Now())
	entry.Install(1, document(t, route))
	serve("entry", entryAddress, entry)
	return network, entry, func() {
		for _, server := range running {
			_ = server.Close()
		}
		client.CloseIdleExcept(func(string) bool { return false })
		time.Sleep(time.Minute)
	}
}

// callPausingSite sends one request to the entry and returns the status, the body and
// whether the response is complete.
func callPausingSite(t *testing.T, network *fake.Network) (status int, body string, complete bool) {
	t.Helper()
	transport := &http.Transport{DialContext: network.Host("caller").DialContext}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/a/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "one.example"
	request.Header = http.Header{"Id": {"a1"}, "Key": {"secret"}, "Prompt": {modelPrompt}}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil
}

// TestSilentServerKeepsItsRequestWithoutSuccessor guards against cutting a response
// because its server is silent for a while and no other server can take the request.
func TestSilentServerKeepsItsRequestWithoutSuccessor(t *testing.T) {
	const pause = 1400 * time.Millisecond
	plenty := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
	for _, c := range []struct {
		name    string
		limits  retry.Limits
		servers []pausingServer
	}{
		{"within the stream, no retry budget", retry.Limits{}, []pausingServer{{pauseAt: 3, pause: pause}, {}}},
		{"within the stream, no other server", plenty, []pausingServer{{pauseAt: 3, pause: pause}}},
		{"within the stream, others unreachable", plenty, []pausingServer{{pauseAt: 3, pause: pause}, {unreachable: true}, {unreachable: true}, {unreachable: true}, {unreachable: true}, {unreachable: true}}},
		{"before the stream, no retry budget", retry.Limits{}, []pausingServer{{pauseAt: 1, pause: pause}, {}}},
		{"before the stream, no other server", plenty, []pausingServer{{pauseAt: 1, pause: pause}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, _, stop := startPausingSite(t, c.limits, c.servers)
				defer stop()
				status, body, complete := callPausingSite(t, network)
				if status != http.StatusOK || !complete || body != eventText(1, eventCount) {
					t.Errorf("status %d, body %q, complete %v; want all %d events", status, body, complete, eventCount)
				}
			})
		})
	}
}

// TestServerThatStaysSilentIsReplaced checks that another server resumes or takes over
// the request of a server that sends nothing more, well before the deadline.
func TestServerThatStaysSilentIsReplaced(t *testing.T) {
	for _, pauseAt := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
			network, _, stop := startPausingSite(t, limits, []pausingServer{{pauseAt: pauseAt, pause: time.Minute}, {unreachable: true}, {}})
			defer stop()
			start := time.Now()
			status, body, complete := callPausingSite(t, network)
			if status != http.StatusOK || !complete || body != eventText(1, eventCount) {
				t.Errorf("silent from event %d: status %d, body %q, complete %v; want all %d events", pauseAt, status, body, complete, eventCount)
			}
			if time.Since(start) > 3*time.Second {
				t.Errorf("silent from event %d: the response took %s, want at most 3 s", pauseAt, time.Since(start))
			}
		})
	}
}

// stallingNetwork opens connections on which the reader is suspended once, past its
// read deadline, as in a process that gets no processor time.
type stallingNetwork struct{ *fake.Host }

// DialContext implements transport.Network.
func (n stallingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Host.DialContext(ctx, network, address)
	return &stallingConn{Conn: conn}, err
}

// stallingConn is a connection of a stallingNetwork.
type stallingConn struct {
	net.Conn
	stalled  bool
	deadline time.Time
}

// SetReadDeadline implements net.Conn.
func (c *stallingConn) SetReadDeadline(at time.Time) error {
	c.deadline = at
	return c.Conn.SetReadDeadline(at)
}

// Read implements net.Conn. The first read with a deadline ends after it, although
// the server may have sent bytes.
func (c *stallingConn) Read(p []byte) (int, error) {
	if c.stalled || c.deadline.IsZero() {
		return c.Conn.Read(p)
	}
	c.stalled = true
	time.Sleep(time.Until(c.deadline))
	return 0, os.ErrDeadlineExceeded
}

// TestEntryThatStoodStillKeepsItsStreams guards against taking the servers for silent
// when the entry itself did not read what they sent.
func TestEntryThatStoodStillKeepsItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, entry, stop := startPausingSite(t, retry.Limits{}, []pausingServer{{}, {}})
		defer stop()
		entry.Upstream.Network = stallingNetwork{network.Host("entry")}
		status, body, complete := callPausingSite(t, network)
		if status != http.StatusOK || !complete || body != eventText(1, eventCount) {
			t.Errorf("status %d, body %q, complete %v; want all %d events", status, body, complete, eventCount)
		}
	})
}
