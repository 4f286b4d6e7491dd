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
type words struct{}

func (words) Request(r *http.Request) (*forward.Request, error) {
	patience, _ := time.ParseDuration(r.Header.Get("Patience"))
	return &forward.Request{
		AttemptID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Method: r.Method, Host: r.Host,
		Path: r.URL.EscapedPath(), Target: r.RequestURI, Patience: patience, Header: r.Header,
	}, nil
}

func (words) Header(attempt *forward.Attempt) http.Header {
	header := http.Header{"Id": {attempt.Request.AttemptID}, "Server": {attempt.Server}, "Workspace": {attempt.Workspace}}
	if attempt.LastEvent != "" {
		header.Set("Last", attempt.LastEvent)
	}
	return header
}

func (words) Answers(header http.Header, request *forward.Request) bool {
	return header.Get("Id") == request.AttemptID
}

func (words) Verdict(status int, header http.Header) forward.Verdict {
	return forward.Verdict{
		NotRun:      header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		OtherServer: status == http.StatusMisdirectedRequest,
		Genuine:     header.Get("Stamp") != "",
	}
}

func (words) EventID(event []byte) string {
	_, after, _ := strings.Cut(string(event), "id: ")
	id, _, _ := strings.Cut(after, "\n")
	return id
}

// site is an entry in front of scripted backend servers.
type site struct {
	t       testing.TB
	server  *forward.Server
	front   *httptest.Server
	mu      sync.Mutex
	reached []string
}

// reply plays one request at a backend server.
type reply func(conn net.Conn, request *http.Request)

func newSite(t testing.TB, route config.HostRoute, replies ...reply) *site {
	t.Helper()
	s := &site{t: t}
	var list []instances.Instance
	for i := range 3 {
		id := "s" + strconv.Itoa(i)
		list = append(list, instances.Instance{ID: id, Upstream: "pool", Address: s.backend(id, replies), Slots: 8})
	}
	s.server = &forward.Server{
		Translator: words{},
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
	s.front = httptest.NewServer(s.server)
	t.Cleanup(s.front.Close)
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
func (s *site) backend(id string, replies []reply) string {
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

func (s *site) serve(id string, conn net.Conn, replies []reply) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		number := len(s.reached)
		s.reached = append(s.reached, id)
		s.mu.Unlock()
		if number >= len(replies) {
			return
		}
		replies[number](conn, request)
	}
}

func (s *site) sends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reached)
}

// ask sends one request and returns the status, the body and whether it came
// whole.
func (s *site) ask(path, key string) (status int, body string, whole bool, header http.Header) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, s.front.URL+path, strings.NewReader("work"))
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

func say(status int, extra, body string) reply {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, request.Header.Get("Id"), extra, len(body), body)
	}
}

func reset(conn net.Conn, _ *http.Request) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func hang(net.Conn, *http.Request) {
	time.Sleep(3 * time.Second)
}

// events streams events from one id to another; whole says whether the stream
// ends as it should.
func events(from, to int, tail string, whole bool) reply {
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
		if whole {
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
	stamped = "Stamp: s\r\n"
	notRun  = "Not-Run: 1\r\n"
)

var (
	once       = config.HostRoute{Repetition: config.RepeatOnce, MaxAttempts: 1}
	idempotent = config.HostRoute{Repetition: config.RepeatIdempotent, MaxAttempts: 2}
	stream     = config.HostRoute{Repetition: config.RepeatStream, MaxAttempts: 1}
	resumable  = config.HostRoute{Repetition: config.RepeatStream, MaxAttempts: 2, Resumable: true}
)

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		route   config.HostRoute
		replies []reply
		status  int
		body    string
		whole   bool
		sends   int
	}{
		{"whole answer", once, []reply{say(200, stamped, "done")}, 200, "done", true, 1},
		{"the server's own failure", once, []reply{say(500, stamped, "bad")}, 500, "bad", true, 1},
		{"refused, then served", once, []reply{say(503, notRun, ""), say(200, stamped, "done")}, 200, "done", true, 2},
		{"another server at the address", once, []reply{say(421, "", ""), say(200, stamped, "done")}, 200, "done", true, 2},
		{"refused by all", once, []reply{say(503, notRun, ""), say(503, notRun, ""), say(503, notRun, "")}, 503, "declined_by_servers\n", true, 3},
		{"once, reset after the send", once, []reply{reset}, 502, "outcome_unclear\n", true, 1},
		{"once, no answer", once, []reply{hang}, 504, "timeout\n", true, 1},
		{"once, not a server's answer", once, []reply{say(200, "", "forged")}, 502, "bad_answer\n", true, 1},
		{"idempotent, reset after the send", idempotent, []reply{reset, say(200, stamped, "done")}, 200, "done", true, 2},
		{"idempotent, failure", idempotent, []reply{say(500, stamped, "bad"), say(200, stamped, "done")}, 200, "done", true, 2},
		{"idempotent, two failures", idempotent, []reply{say(500, stamped, "bad"), say(500, stamped, "bad"), say(200, stamped, "done")}, 500, "bad", true, 2},
		{"idempotent, silent server", idempotent, []reply{hang, say(200, stamped, "done")}, 200, "done", true, 2},
		{"idempotent, reset and then refused", idempotent, []reply{reset, say(503, notRun, ""), say(503, notRun, ""), say(503, notRun, "")}, 502, "", true, 3},
		{"whole stream", stream, []reply{events(1, 3, "", true)}, 200, eventText(1, 3), true, 1},
		{"broken stream", stream, []reply{events(1, 2, "", false)}, 200, eventText(1, 2), false, 1},
		{"stream that ends within an event", stream, []reply{events(1, 2, "id: 3\nda", true)}, 200, eventText(1, 2), false, 1},
		{"stream resumed", resumable, []reply{events(1, 2, "id: 3\nda", false), events(3, 5, "", true)}, 200, eventText(1, 5), true, 2},
		{"stream broken twice", resumable, []reply{events(1, 2, "", false), events(3, 4, "", false), events(5, 6, "", true)}, 200, eventText(1, 4), false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, c.route, c.replies...)
			status, body, whole, _ := s.ask("/a/x", "secret")
			if status != c.status || c.body != "" && body != c.body || whole != c.whole {
				t.Errorf("status %d, body %q, whole %v", status, body, whole)
			}
			if s.sends() != c.sends {
				t.Errorf("%d sends instead of %d", s.sends(), c.sends)
			}
		})
	}
}

func TestRefusalsBeforeAnySend(t *testing.T) {
	s := newSite(t, once)
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/b/x", "secret", 404},
		{"/a", "secret", 404},
		{"/a/x", "wrong", 401},
		{"/a/x", "", 401},
	} {
		status, _, _, _ := s.ask(c.path, c.key)
		if status != c.status {
			t.Errorf("%s with key %q: %d instead of %d", c.path, c.key, status, c.status)
		}
	}
	s.server.Fleet.Update(nil)
	status, body, _, header := s.ask("/a/x", "secret")
	if status != 503 || body != "no_server\n" || header.Get("Retry-After") == "" {
		t.Errorf("without servers: %d, %q, retry after %q", status, body, header.Get("Retry-After"))
	}
	if s.sends() != 0 {
		t.Errorf("%d sends", s.sends())
	}
}

// TestServerIsFreedWhenTheCallerLeaves cuts the caller's connection while the
// server works.
func TestServerIsFreedWhenTheCallerLeaves(t *testing.T) {
	freed := make(chan struct{})
	s := newSite(t, stream, func(conn net.Conn, request *http.Request) {
		events(1, 1, "", true)(discardEnd{conn}, request)
		_, _ = conn.Read(make([]byte, 1))
		close(freed)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.front.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /a/x HTTP/1.1\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\n\r\n")
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	select {
	case <-freed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server still works half a second later")
	}
}

// discardEnd leaves out the end of a stream.
type discardEnd struct{ net.Conn }

func (d discardEnd) Write(p []byte) (int, error) {
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
