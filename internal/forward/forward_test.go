package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// words is a small dialect: Id names an attempt, Stamp is a server's word,
// Not-Run its refusal.
type testTranslator struct{}

func (testTranslator) Request(r *http.Request) (*forward.Request, error) {
	timeout, _ := time.ParseDuration(r.Header.Get("Patience"))
	return &forward.Request{
		AttemptID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Method: r.Method, Host: r.Host,
		Path: r.URL.EscapedPath(), Target: r.RequestURI, CallerTimeout: timeout, Header: r.Header,
	}, nil
}

func (testTranslator) Header(attempt *forward.Attempt) http.Header {
	header := http.Header{"Id": {attempt.Request.AttemptID}, "Server": {attempt.Server}, "Workspace": {attempt.Workspace}}
	if attempt.LastEventID != "" {
		header.Set("Last", attempt.LastEventID)
	}
	return header
}

func (testTranslator) IsResponseTo(header http.Header, request *forward.Request) bool {
	return header.Get("Id") == request.AttemptID
}

func (testTranslator) ResponseInfo(status int, header http.Header) forward.ResponseInfo {
	return forward.ResponseInfo{
		NotRun:      header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		OtherServer: status == http.StatusMisdirectedRequest,
		Genuine:     header.Get("Stamp") != "",
	}
}

func (testTranslator) EventID(event []byte) string {
	_, after, _ := strings.Cut(string(event), "id: ")
	id, _, _ := strings.Cut(after, "\n")
	return id
}

// site is an entry in front of scripted backend servers.
type fixture struct {
	t          testing.TB
	server     *forward.Server
	entry      *httptest.Server
	mu         sync.Mutex
	receivedBy []string
}

// reply plays one request at a backend server.
type reply func(conn net.Conn, request *http.Request)

func newFixture(t testing.TB, route config.HostRoute, replies ...reply) *fixture {
	t.Helper()
	s := &fixture{t: t}
	var list []instances.Instance
	for i := range 3 {
		id := "s" + strconv.Itoa(i)
		list = append(list, instances.Instance{ID: id, Upstream: "pool", Address: s.startBackend(id, replies), Slots: 8})
	}
	s.server = &forward.Server{
		Translator: testTranslator{},
		Upstream:   &upstream.Client{},
		Fleet:      &place.Fleet{},
		Holder:     &escrow.Holder{},
		Retries:    &retry.Budget{Limits: retry.Limits{Ratio: 10, Slack: 100, Window: time.Second}},
		Entries:    func() int { return 1 },
		Log:        log.New(io.Discard),
		Scope:      tally.NoopScope,
		Tracer:     noop.NewTracerProvider().Tracer("test"),
	}
	s.server.Fleet.Update(list)
	s.server.Install(1, document(t, route))
	s.entry = httptest.NewServer(s.server)
	t.Cleanup(s.entry.Close)
	return s
}

func document(t testing.TB, route config.HostRoute) *config.Document {
	t.Helper()
	route.Host = "one.example"
	route.PathPrefix = "/a/"
	route.Upstreams = []config.WeightedUpstream{{Upstream: "pool", Weight: 1}}
	key := config.HostRouteKey(route.Host, route.PathPrefix)
	text := fmt.Sprintf(`{"host_routes":{%q:{"host":"one.example","path_prefix":"/a/","repetition":%q,"timeout":"1500ms","max_attempts":%d,"resumable":%v,
		"upstreams":[{"upstream":"pool","weight":1}]}},"upstreams":{"pool":{}},"workspaces":{"north":{"key_hashes":[%q]}}}`,
		key, route.Repetition, route.MaxAttempts, route.Resumable, config.HashKey("secret"))
	parsed, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// backend starts a server that plays the replies in the order in which
// requests reach any of them.
func (s *fixture) startBackend(id string, replies []reply) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(id, conn, replies)
		}
	}()
	return listener.Addr().String()
}

func (s *fixture) serve(id string, conn net.Conn, replies []reply) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		number := len(s.receivedBy)
		s.receivedBy = append(s.receivedBy, id)
		s.mu.Unlock()
		if number >= len(replies) {
			return
		}
		replies[number](conn, request)
	}
}

func (s *fixture) attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.receivedBy)
}

// ask sends one request and returns the status, the body and whether it came
// whole.
func (s *fixture) send(path, key string) (status int, body string, complete bool, header http.Header) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, s.entry.URL+path, strings.NewReader("work"))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "one.example"
	request.Header.Set("Id", "a1")
	request.Header.Set("Key", key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", false, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil, response.Header
}

func respond(status int, extraHeader, body string) reply {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, request.Header.Get("Id"), extraHeader, len(body), body)
	}
}

func resetConn(conn net.Conn, _ *http.Request) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func hang(net.Conn, *http.Request) {
	time.Sleep(3 * time.Second)
}

// events streams events from one id to another; whole says whether the stream
// ends as it should.
func streamEvents(from, to int, tail string, complete bool) reply {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		if last, err := strconv.Atoi(request.Header.Get("Last")); err == nil && last+1 != from {
			return
		}
		for id := from; id <= to; id++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if tail != "" {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(tail), tail)
		}
		if complete {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return
		}
		_ = conn.Close()
	}
}

func eventText(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", id)
	}
	return text
}

const (
	signatureHeader = "Stamp: s\r\n"
	notRunHeader    = "Not-Run: 1\r\n"
)

var (
	onceRoute       = config.HostRoute{Repetition: config.RepeatOnce, MaxAttempts: 1}
	idempotentRoute = config.HostRoute{Repetition: config.RepeatIdempotent, MaxAttempts: 2}
	streamRoute     = config.HostRoute{Repetition: config.RepeatStream, MaxAttempts: 1}
	resumableRoute  = config.HostRoute{Repetition: config.RepeatStream, MaxAttempts: 2, Resumable: true}
)

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		route    config.HostRoute
		replies  []reply
		status   int
		body     string
		complete bool
		attempts int
	}{
		{"whole answer", onceRoute, []reply{respond(200, signatureHeader, "done")}, 200, "done", true, 1},
		{"the server's own failure", onceRoute, []reply{respond(500, signatureHeader, "bad")}, 500, "bad", true, 1},
		{"refused, then served", onceRoute, []reply{respond(503, notRunHeader, ""), respond(200, signatureHeader, "done")}, 200, "done", true, 2},
		{"another server at the address", onceRoute, []reply{respond(421, "", ""), respond(200, signatureHeader, "done")}, 200, "done", true, 2},
		{"refused by all", onceRoute, []reply{respond(503, notRunHeader, ""), respond(503, notRunHeader, ""), respond(503, notRunHeader, "")}, 503, "declined_by_servers\n", true, 3},
		{"once, reset after the send", onceRoute, []reply{resetConn}, 502, "outcome_unclear\n", true, 1},
		{"once, no answer", onceRoute, []reply{hang}, 504, "timeout\n", true, 1},
		{"once, not a server's answer", onceRoute, []reply{respond(200, "", "forged")}, 502, "bad_answer\n", true, 1},
		{"idempotent, reset after the send", idempotentRoute, []reply{resetConn, respond(200, signatureHeader, "done")}, 200, "done", true, 2},
		{"idempotent, failure", idempotentRoute, []reply{respond(500, signatureHeader, "bad"), respond(200, signatureHeader, "done")}, 200, "done", true, 2},
		{"idempotent, two failures", idempotentRoute, []reply{respond(500, signatureHeader, "bad"), respond(500, signatureHeader, "bad"), respond(200, signatureHeader, "done")}, 500, "bad", true, 2},
		{"idempotent, silent server", idempotentRoute, []reply{hang, respond(200, signatureHeader, "done")}, 200, "done", true, 2},
		{"idempotent, reset and then refused", idempotentRoute, []reply{resetConn, respond(503, notRunHeader, ""), respond(503, notRunHeader, ""), respond(503, notRunHeader, "")}, 502, "", true, 3},
		{"whole stream", streamRoute, []reply{streamEvents(1, 3, "", true)}, 200, eventText(1, 3), true, 1},
		{"broken stream", streamRoute, []reply{streamEvents(1, 2, "", false)}, 200, eventText(1, 2), false, 1},
		{"stream that ends within an event", streamRoute, []reply{streamEvents(1, 2, "id: 3\nda", true)}, 200, eventText(1, 2), false, 1},
		{"stream resumed", resumableRoute, []reply{streamEvents(1, 2, "id: 3\nda", false), streamEvents(3, 5, "", true)}, 200, eventText(1, 5), true, 2},
		{"stream broken twice", resumableRoute, []reply{streamEvents(1, 2, "", false), streamEvents(3, 4, "", false), streamEvents(5, 6, "", true)}, 200, eventText(1, 4), false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t, c.route, c.replies...)
			status, body, complete, _ := s.send("/a/x", "secret")
			if status != c.status || c.body != "" && body != c.body || complete != c.complete {
				t.Errorf("status %d, body %q, whole %v", status, body, complete)
			}
			if s.attempts() != c.attempts {
				t.Errorf("%d sends instead of %d", s.attempts(), c.attempts)
			}
		})
	}
}

func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	s := newFixture(t, onceRoute)
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/b/x", "secret", 404},
		{"/a", "secret", 404},
		{"/a/x", "wrong", 401},
		{"/a/x", "", 401},
	} {
		status, _, _, _ := s.send(c.path, c.key)
		if status != c.status {
			t.Errorf("%s with key %q: %d instead of %d", c.path, c.key, status, c.status)
		}
	}
	s.server.Fleet.Update(nil)
	status, body, _, header := s.send("/a/x", "secret")
	if status != 503 || body != "no_server\n" || header.Get("Retry-After") == "" {
		t.Errorf("without servers: %d, %q, retry after %q", status, body, header.Get("Retry-After"))
	}
	if s.attempts() != 0 {
		t.Errorf("%d sends", s.attempts())
	}
}

// TestServerIsFreedWhenTheCallerLeaves cuts the caller's connection while the
// server works.
func TestCallerDisconnectCancelsTheServersWork(t *testing.T) {
	disconnected := make(chan struct{})
	s := newFixture(t, streamRoute, func(conn net.Conn, request *http.Request) {
		streamEvents(1, 1, "", true)(dropFinalChunk{conn}, request)
		_, _ = conn.Read(make([]byte, 1))
		close(disconnected)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.entry.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /a/x HTTP/1.1\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\n\r\n")
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	select {
	case <-disconnected:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server still works half a second later")
	}
}

// discardEnd leaves out the end of a stream.
type dropFinalChunk struct{ net.Conn }

func (d dropFinalChunk) Write(p []byte) (int, error) {
	if string(p) == "0\r\n\r\n" {
		return len(p), nil
	}
	return d.Conn.Write(p)
}

func TestLongestPrefixWins(t *testing.T) {
	text := `{"upstreams":{"pool":{}},"host_routes":{`
	for i, prefix := range []string{"/", "/a/", "/a/b/"} {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`"h%s":{"name":%q,"host":"h","path_prefix":%q,"repetition":"once","timeout":"1s","upstreams":[{"upstream":"pool","weight":1}]}`, prefix, prefix, prefix)
	}
	parsed, err := config.Parse([]byte(text + `}}`))
	if err != nil {
		t.Fatal(err)
	}
	table := forward.NewTable(1, parsed)
	for path, want := range map[string]string{"/": "/", "/a": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/c": "/a/b/", "/a/%62/": "/a/"} {
		route := table.Route("H:80", path)
		if route == nil || route.Name != want {
			t.Errorf("%s: %+v instead of %s", path, route, want)
		}
	}
	if table.Route("other", "/") != nil {
		t.Error("another host has a route")
	}
}
