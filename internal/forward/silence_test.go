package forward_test

import (
	"bufio"
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
	// resets is set if the server closes the connection of every request.
	resets bool
	// unreachable is set if the server accepts no connection.
	unreachable bool
	// breaksAt is the number of the event before which the server closes the
	// connection of a stream from its start; 0 means that it does not.
	breaksAt int
	// errorType is the content type of an error text with which the server answers
	// requests that resume a stream; empty means that it resumes them.
	errorType string
	// version is the version of the server's software.
	version string
	// domain is the server's failure domain; empty means b. The entry and the first
	// server are in a.
	domain string
	// sent, if not nil, is called for each event that is sent.
	sent func(version string, number int)
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
	if s.resets {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Stamp", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	_, _ = fmt.Sscan(r.Header.Get("Last"), &first)
	if r.Header.Get("Last") != "" {
		first++
		if s.errorType != "" {
			w.Header().Set("Content-Type", s.errorType)
			_, _ = io.WriteString(w, errorText+"\n\n")
			return
		}
	}
	for number := first; number <= eventCount; number++ {
		if number == s.pauseAt {
			time.Sleep(s.pause)
		}
		if number == s.breaksAt && first == 1 {
			panic(http.ErrAbortHandler)
		}
		if s.sent != nil {
			s.sent(s.version, number)
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
		domain := server.domain
		if domain == "" {
			domain = "b"
		}
		if i == 0 {
			domain = "a"
		}
		list = append(list, instances.Instance{ID: host, Upstream: "pool", Address: address, FailureDomain: domain, Slots: 8, Version: server.version})
	}
	client := &upstream.Client{Network: network.Host("entry")}
	entry = &forward.Server{
		Streams:       &streamOrigins{},
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
	return callWithHeader(t, network, http.Header{"Id": {"a1"}})
}

// callWithHeader is callPausingSite with further headers.
func callWithHeader(t *testing.T, network *fake.Network, header http.Header) (status int, body string, complete bool) {
	t.Helper()
	transport := &http.Transport{DialContext: network.Host("caller").DialContext}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/a/x", strings.NewReader("work"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "one.example"
	request.Header = header
	request.Header.Set("Key", "secret")
	request.Header.Set("Prompt", modelPrompt)
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
		{"within the stream, others decline", plenty, []pausingServer{{pauseAt: 3, pause: pause}, {declines: true}, {declines: true}, {declines: true}}},
		{"within the stream, the other resets", plenty, []pausingServer{{pauseAt: 3, pause: pause}, {resets: true}}},
		{"within the stream, the other answers with text", plenty, []pausingServer{{pauseAt: 3, pause: pause}, {errorType: "text/plain"}}},
		{"within the stream, the other is silent too", plenty, []pausingServer{{pauseAt: 3, pause: pause}, {pauseAt: 3, pause: pause}}},
		{"before the stream, others decline", plenty, []pausingServer{{pauseAt: 1, pause: pause}, {declines: true}, {declines: true}, {declines: true}}},
		{"before the stream, the other resets", plenty, []pausingServer{{pauseAt: 1, pause: pause}, {resets: true}}},
		{"before the stream, no retry budget", retry.Limits{}, []pausingServer{{pauseAt: 1, pause: pause}, {}}},
		{"before the stream, no other server", plenty, []pausingServer{{pauseAt: 1, pause: pause}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, entry, stop := startPausingSite(t, c.limits, c.servers)
				defer stop()
				expectWholeStream(t, network)
				expectNothingInFlight(t, entry)
			})
		})
	}
}

// expectWholeStream sends a request and checks that the response has all events.
func expectWholeStream(t *testing.T, network *fake.Network) {
	t.Helper()
	status, body, complete := callPausingSite(t, network)
	if status != http.StatusOK || !complete || body != eventText(1, eventCount) {
		t.Errorf("status %d, body %q, complete %v; want all %d events", status, body, complete, eventCount)
	}
}

// expectNothingInFlight checks that no search and no attempt is left some time after
// the last response.
func expectNothingInFlight(t *testing.T, entry *forward.Server) {
	t.Helper()
	time.Sleep(20 * time.Second)
	counts := entry.Fleet.Counts(time.Now())
	if counts.InFlight != 0 {
		t.Errorf("%d requests in flight, want 0", counts.InFlight)
	}
}

// TestSecondSilenceWithinOneReadEndsTheFirstSearch guards against a search that goes on
// after its stream has: the chunk that ends the first silence completes no read.
func TestSecondSilenceWithinOneReadEndsTheFirstSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
		network, entry, stop := startPausingSite(t, limits, []pausingServer{{}, {resets: true}})
		defer stop()
		entry.Fleet.Update([]instances.Instance{{ID: "raw", Upstream: "pool", Address: "10.0.0.50:80", Slots: 8}}, time.Now())
		listener, err := network.Host("raw").Listen("10.0.0.50:80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go serveInParts(listener)
		time.AfterFunc(3050*time.Millisecond, func() {
			entry.Fleet.Update([]instances.Instance{
				{ID: "raw", Upstream: "pool", Address: "10.0.0.50:80", Slots: 8},
				{ID: "s1", Upstream: "pool", Address: "10.0.0.2:80", Slots: 8},
			}, time.Now())
		})
		expectWholeStream(t, network)
		expectNothingInFlight(t, entry)
	})
}

// acceptRequest accepts a connection and reads a request from it.
func acceptRequest(listener net.Listener) (net.Conn, *http.Request, error) {
	conn, err := listener.Accept()
	if err != nil {
		return nil, nil, err
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, request, nil
}

// serveInParts answers one request with a stream that is silent between an event and
// the end of its chunk, and again after that.
func serveInParts(listener net.Listener) {
	const silence = 1500 * time.Millisecond
	conn, request, err := acceptRequest(listener)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	chunk := func(number int) string {
		text := eventText(number, number)
		return fmt.Sprintf("%x\r\n%s", len(text), text)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n%s", request.Header.Get("Id"), chunk(1))
	time.Sleep(silence)
	_, _ = io.WriteString(conn, "\r\n")
	time.Sleep(silence)
	_, _ = io.WriteString(conn, chunk(2)+"\r\n")
	time.Sleep(300 * time.Millisecond)
	_, _ = io.WriteString(conn, chunk(3)+"\r\n"+chunk(4)+"\r\n0\r\n\r\n")
	time.Sleep(time.Second)
}

// TestNoEventComesTwiceAtTheTakeOver guards against forwarding what a silent server sends
// in the instant in which its successor takes over from an earlier event.
func TestNoEventComesTwiceAtTheTakeOver(t *testing.T) {
	const (
		rounds = 500
		// found is when the overlap ends and the successor takes over, from the start of
		// the silence.
		found = 1510 * time.Millisecond
	)
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
			network, _, stop := startPausingSite(t, limits, []pausingServer{{pauseAt: 3, pause: found}, {pauseAt: 3, pause: time.Second}})
			defer stop()
			expectWholeStream(t, network)
		})
	}
}

// serveHalfAChunk answers one request with an event, then with another one that is followed
// by the begin of a chunk, and then is silent.
func serveHalfAChunk(listener net.Listener) {
	conn, request, err := acceptRequest(listener)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%s", request.Header.Get("Id"), chunk(eventText(1, 1)))
	time.Sleep(300 * time.Millisecond)
	_, _ = io.WriteString(conn, chunk(eventText(2, 2))+"1")
	time.Sleep(5 * time.Second)
}

// TestEventHeldBackAtTheTakeOverComesOnce guards against an event that the entry has read but
// not forwarded when a successor takes over, and that the successor sends again.
func TestEventHeldBackAtTheTakeOverComesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
		network, entry, stop := startPausingSite(t, limits, []pausingServer{{}, {}})
		defer stop()
		silent := instances.Instance{ID: "silent", Upstream: "pool", Address: "10.0.0.50:80", Slots: 8, FailureDomain: "a"}
		sound := instances.Instance{ID: "s1", Upstream: "pool", Address: "10.0.0.2:80", Slots: 8, FailureDomain: "b"}
		entry.Fleet.Update([]instances.Instance{silent}, time.Now())
		listener, err := network.Host("silent").Listen(silent.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go serveHalfAChunk(listener)
		time.AfterFunc(700*time.Millisecond, func() {
			entry.Fleet.Update([]instances.Instance{silent, sound}, time.Now())
		})
		expectWholeStream(t, network)
	})
}

// TestStreamIsResumedOnceAnotherServerIsReachable guards against a search that gives up
// on servers which were unreachable for a while.
func TestStreamIsResumedOnceAnotherServerIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}
		network, entry, stop := startPausingSite(t, limits, []pausingServer{{pauseAt: 3, pause: time.Minute}, {unreachable: true}, {unreachable: true}})
		defer stop()
		time.AfterFunc(4*time.Second, func() {
			network.Heal("entry", "s1")
			network.Heal("entry", "s2")
		})
		expectWholeStream(t, network)
		expectNothingInFlight(t, entry)
	})
}

// TestSearchLeavesTheRetryBudgetToOthers guards against searches that hold retries while
// they try to reach a server.
func TestSearchLeavesTheRetryBudgetToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := retry.Limits{PerEntry: true, Slack: 1, Window: time.Minute}
		network, entry, stop := startPausingSite(t, limits, []pausingServer{{pauseAt: 3, pause: 4 * time.Second}, {unreachable: true}, {unreachable: true}})
		defer stop()
		denied := 0
		for at := 1500 * time.Millisecond; at < 4*time.Second; at += 50 * time.Millisecond {
			time.AfterFunc(at, func() {
				if !entry.Retries.Allows("pool", 1, time.Now()) {
					denied++
				}
			})
		}
		expectWholeStream(t, network)
		if denied > 0 {
			t.Errorf("the retry was denied to others at %d moments, want none", denied)
		}
	})
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
			expectWholeStream(t, network)
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
		expectWholeStream(t, network)
	})
}
