package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/drain"
)

// TestDrainRefusesRequestsThatMayOutlastIt guards against requests that are
// accepted during a drain and then interrupted by its end. Callers can still send
// requests after they could have noticed the drain.
func TestDrainRefusesRequestsThatMayOutlastIt(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name           string
		noticedBy, end time.Time
		status         int
		attempts       int
	}{
		{"callers can't have noticed yet", now.Add(time.Minute), now.Add(time.Second), 200, 1},
		{"request may outlast the drain", now, now.Add(time.Second), 503, 0},
		{"request ends before the drain", now, now.Add(time.Minute), 200, 1},
		{"drain has no end", now, time.Time{}, 200, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, streamRoute, streamEvents(1, 3, "", true))
			f.server.Drain(drain.Plan{NoticedBy: c.noticedBy, End: c.end})
			status, body, complete, header := f.send("/a/x", "secret")
			if status != c.status || !complete || f.attempts() != c.attempts {
				t.Errorf("unexpected response: status %d, body %q, complete %v, %d attempts", status, body, complete, f.attempts())
			}
			if status == 503 && (body != "leaving\n" || header.Get("Retry-After") == "") {
				t.Errorf("refusal has body %q and header %v; want body \"leaving\" and a Retry-After header", body, header)
			}
		})
	}
}

// TestRequestWhoseBodyEndsLateInADrainIsRefused guards against requests that are taken
// because their header came in time, although their body came too late.
func TestRequestWhoseBodyEndsLateInADrainIsRefused(t *testing.T) {
	f := newFixture(t, streamRoute, streamEvents(1, 3, "", true))
	const notice = 100 * time.Millisecond
	now := time.Now()
	f.server.Drain(drain.Plan{Start: now, NoticedBy: now.Add(notice), End: now.Add(time.Second)})
	conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /a/x HTTP/1.1\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\nContent-Length: 4\r\n\r\nwo")
	time.Sleep(2 * notice)
	_, _ = io.WriteString(conn, "rk")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || f.attempts() != 0 {
		t.Errorf("status %d after %d attempts, want 503 and none", response.StatusCode, f.attempts())
	}
}

// TestEndOfDrainAnswersRequestsWithoutResponse guards against requests that are cut without
// an answer at the end of a drain, and against a stream that it cuts and that looks complete.
func TestEndOfDrainAnswersRequestsWithoutResponse(t *testing.T) {
	stalledHeader := func(conn net.Conn, request *http.Request) {
		streamEvents(1, 0, "", true)(&unfinishedConn{Conn: conn}, request)
		hang(conn, request)
	}
	stalledStream := func(conn net.Conn, request *http.Request) {
		streamEvents(1, 2, "", true)(&unfinishedConn{Conn: conn}, request)
		hang(conn, request)
	}
	for _, c := range []struct {
		name      string
		route     config.HostRoute
		responder responder
		status    int
		body      string
		complete  bool
	}{
		{"once", onceRoute, hang, 502, "interrupted_by_shutdown\n", true},
		{"idempotent", idempotentRoute, hang, 502, "interrupted_by_shutdown\n", true},
		{"stream without an event", streamRoute, stalledHeader, 502, "interrupted_by_shutdown\n", true},
		{"stream that has begun", streamRoute, stalledStream, 200, eventText(1, 2), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.route, c.responder, c.responder)
			now := time.Now()
			f.server.Drain(drain.Plan{Start: now, NoticedBy: now.Add(time.Minute), End: now.Add(300 * time.Millisecond)})
			status, body, complete, _ := f.send("/a/x", "secret")
			if status != c.status || body != c.body || complete != c.complete {
				t.Errorf("unexpected response: status %d, body %q, complete %v", status, body, complete)
			}
			if took := time.Since(now); took > time.Second {
				t.Errorf("the response ended %s after the begin of the drain, want 300 ms", took)
			}
		})
	}
}

// unfinishedConn drops the last chunk of a chunked body.
type unfinishedConn struct {
	net.Conn
}

func (c *unfinishedConn) Write(p []byte) (int, error) {
	if string(p) == "0\r\n\r\n" {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
