package forward_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/overload"
)

// overloadedController returns a controller that sheds as much as it may, for as long as
// its samples count.
func overloadedController() *overload.Controller {
	c := &overload.Controller{Random: rand.New(rand.NewPCG(1, 2))}
	at := time.Now().Add(-5 * time.Second)
	for ; at.Before(time.Now().Add(10 * time.Second)); at = at.Add(overload.ProbeInterval) {
		c.RecordEcho(at, overload.Sample{Delay: 500 * time.Millisecond})
		c.Status(at)
	}
	return c
}

// sendHeader sends only the header of a request with a body of length bytes to the entry, and
// returns the response, or nil if none comes within 0.3 s.
func sendHeader(t *testing.T, f *fixture, length int, further string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.entry.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\n%sContent-Length: %d\r\n\r\n", further, length)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	return response
}

// TestOverloadRefusesBeforeTheBody guards against a refusal that waits for the body, that
// names no time to retry, that reaches a server, or that closes nothing although the body
// would follow.
func TestOverloadRefusesBeforeTheBody(t *testing.T) {
	f := newFixture(t, onceRoute)
	f.server.Overload = overloadedController()
	refused := 0
	for range 20 {
		response := sendHeader(t, f, 100<<10, "")
		if response == nil {
			continue
		}
		refused++
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "0.05" || !response.Close {
			t.Errorf("got status %d, Retry-After %q, close %v; want 503, 0.05 and true", response.StatusCode, response.Header.Get("Retry-After"), response.Close)
		}
	}
	if refused == 0 {
		t.Error("none of 20 requests was refused before its body was sent")
	}
	if f.attempts() != 0 {
		t.Errorf("%d attempts reached servers, want none", f.attempts())
	}
}

// TestOverloadAdmitsSome guards against an entry that refuses all requests of a kind, and
// against refusals that are not counted.
func TestOverloadAdmitsSome(t *testing.T) {
	var responders []responder
	for range 200 {
		responders = append(responders, respond(200, signatureHeader, "done"))
	}
	f := newFixture(t, onceRoute, responders...)
	f.server.Overload = overloadedController()
	scope := tally.NewTestScope("", nil)
	f.server.Scope = scope
	served, refused := 0, 0
	for range 200 {
		switch status, body, _, _ := f.send("/a/x", "secret"); {
		case status == http.StatusOK:
			served++
		case status == http.StatusServiceUnavailable && body == "overloaded\n":
			refused++
		default:
			t.Errorf("status %d, body %q", status, body)
		}
	}
	if served == 0 || refused == 0 {
		t.Errorf("%d served and %d refused, want some of both", served, refused)
	}
	counted := scope.Snapshot().Counters()["requests_shed+priority=0,reason=overloaded"]
	if counted == nil || counted.Value() != int64(refused) {
		t.Errorf("requests_shed counts %v, want %d", counted, refused)
	}
}

// TestOverloadRefusesHopeless guards against holding a request whose caller will have left
// before its response.
func TestOverloadRefusesHopeless(t *testing.T) {
	f := newFixture(t, onceRoute)
	f.server.Overload = overloadedController()
	response := sendHeader(t, f, 100<<10, "Patience: 200ms\r\nLast: 3\r\n")
	if response == nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a request with 0.2 s left behind 0.5 s was not refused: %+v", response)
	}
}

// TestOverloadAdmitsResumedStreams guards against refusing the rest of a response that has
// begun.
func TestOverloadAdmitsResumedStreams(t *testing.T) {
	var responders []responder
	for range 20 {
		responders = append(responders, streamEvents(4, 6, "", true))
	}
	f := newFixture(t, resumableRoute, responders...)
	f.server.Overload = overloadedController()
	for range 20 {
		status, body, _, _ := f.sendWith("/a/x", "secret", http.Header{"Last": {"3"}})
		if body == "overloaded\n" {
			t.Fatalf("a resumed stream was refused: status %d", status)
		}
	}
}
