package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
)

// connUse counts the requests that servers received on each connection.
type connUse struct {
	mu    sync.Mutex
	count map[net.Conn]int
}

// next counts a request on conn and returns how many came before it.
func (u *connUse) next(conn net.Conn) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.count == nil {
		u.count = make(map[net.Conn]int)
	}
	u.count[conn]++
	return u.count[conn] - 1
}

// repeated returns n times the same responder.
func repeated(n int, r responder) []responder {
	list := make([]responder, n)
	for i := range list {
		list[i] = r
	}
	return list
}

// respondUnidentified writes a response that names no attempt.
func respondUnidentified(conn net.Conn, status int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, notRunHeader)
}

// TestUnidentifiedRefusalOnReusedConnectionIsNoPromise guards against a copy of an earlier
// refusal, or one written while the connection was idle, being taken for the refusal of a
// request that the server runs.
func TestUnidentifiedRefusalOnReusedConnectionIsNoPromise(t *testing.T) {
	const sent = 8
	for _, refusal := range []int{400, 408, 421, 429, 503} {
		t.Run(http.StatusText(refusal), func(t *testing.T) {
			use := &connUse{}
			f := newFixture(t, onceRoute, repeated(2*sent, func(conn net.Conn, request *http.Request) {
				if use.next(conn) > 0 {
					respondUnidentified(conn, refusal)
					return
				}
				respond(200, signatureHeader, "done")(conn, request)
			})...)
			unclear := 0
			for range sent {
				status, body, _, _ := f.send("/a/x", "secret")
				if status == http.StatusBadGateway {
					unclear++
				} else if status != http.StatusOK {
					t.Errorf("status %d, body %q; want 200 or 502", status, body)
				}
			}
			if f.attempts() != sent {
				t.Errorf("%d attempts for %d requests that may run once", f.attempts(), sent)
			}
			if unclear == 0 {
				t.Error("no request met a refusal on a reused connection")
			}
		})
	}
}

// TestUnidentifiedRefusalOnNewConnectionIsBelieved guards against failures of requests whose
// refusal, the first response on its connection, can't belong to another request.
func TestUnidentifiedRefusalOnNewConnectionIsBelieved(t *testing.T) {
	f := newFixture(t, onceRoute,
		func(conn net.Conn, _ *http.Request) { respondUnidentified(conn, 503) },
		respond(200, signatureHeader, "done"))
	status, body, _, _ := f.send("/a/x", "secret")
	if status != http.StatusOK || f.attempts() != 2 {
		t.Errorf("status %d, body %q, %d attempts; want 200 in the second attempt", status, body, f.attempts())
	}
}
