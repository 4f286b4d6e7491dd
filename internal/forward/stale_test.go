package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
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

// TestUnidentifiedRefusalAfterAnotherResponseIsNoPromise guards against such a refusal on a
// new connection whose first response belongs to another attempt.
func TestUnidentifiedRefusalAfterAnotherResponseIsNoPromise(t *testing.T) {
	f := newFixture(t, onceRoute, func(conn net.Conn, request *http.Request) {
		request.Header.Set("Id", "another")
		respond(200, signatureHeader, "done")(conn, request)
		respondUnidentified(conn, 503)
	}, respond(200, signatureHeader, "done"))
	status, body, _, _ := f.send("/a/x", "secret")
	if status != http.StatusBadGateway || f.attempts() != 1 {
		t.Errorf("status %d, body %q, %d attempts; want 502 after one", status, body, f.attempts())
	}
}

// TestAttemptIsNotRepeatedOnItsConnection guards against a copy of the refusal of an earlier
// send of the same attempt. A server that has refused to take over from a silent one gets the
// request again once that one has failed.
func TestAttemptIsNotRepeatedOnItsConnection(t *testing.T) {
	const refusals = 4
	refused := make(chan struct{}, refusals)
	silent := func(conn net.Conn, request *http.Request) {
		for range refusals {
			<-refused
		}
		time.Sleep(20 * time.Millisecond)
		resetConn(conn, request)
	}
	use := &connUse{}
	refuse := func(conn net.Conn, request *http.Request) {
		use.next(conn)
		respond(503, notRunHeader, "")(conn, request)
		refused <- struct{}{}
	}
	recovered := func(conn net.Conn, request *http.Request) {
		if use.next(conn) > 0 {
			t.Error("the attempt was sent again on a connection that had carried it")
			respond(503, notRunHeader, "")(conn, request)
			return
		}
		respond(200, signatureHeader, "done")(conn, request)
	}
	responders := append([]responder{silent}, repeated(refusals, refuse)...)
	f := newFixture(t, idempotentRoute, append(responders, repeated(4, recovered)...)...)
	status, body, _, _ := f.send("/a/x", "secret")
	if status != http.StatusOK || body != "done" {
		t.Errorf("status %d, body %q; want the response of a server that has recovered", status, body)
	}
}

// TestDeclinedAttemptReachesEachServerOnce guards against a copy of the first refusal of a
// request that may run once being taken for the refusal of a second send to the same server.
func TestDeclinedAttemptReachesEachServerOnce(t *testing.T) {
	responders := repeated(9, respond(503, notRunHeader, ""))
	f := newFixture(t, onceRoute)
	f.server.Fleet.Update([]instances.Instance{
		{ID: "one", Upstream: "pool", Address: f.startBackend("one", responders), Slots: 8},
		{ID: "two", Upstream: "pool", Address: f.startBackend("two", responders), Slots: 8},
	}, time.Now())
	status, _, _, _ := f.send("/a/x", "secret")
	seen := make(map[string]int)
	for _, id := range f.receivedBy {
		seen[id]++
	}
	if status != http.StatusServiceUnavailable || len(seen) != 2 || f.attempts() != 2 {
		t.Errorf("status %d, requests by server %v; want a refusal after one request at each of the two servers", status, seen)
	}
}

// TestRelayedResponseOfAnotherAttemptIsNotDelivered guards against the response to another
// request that another entry passes on.
func TestRelayedResponseOfAnotherAttemptIsNotDelivered(t *testing.T) {
	f := newFixture(t, onceRoute, hang)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, "not yours")
	}))
	t.Cleanup(peer.Close)
	f.server.Peers = stubPeers{strings.TrimPrefix(peer.URL, "http://")}
	f.server.Fleet.CutOff("pool", time.Now())
	status, body, _, _ := f.send("/a/x", "secret")
	if status == http.StatusOK || body == "not yours" {
		t.Errorf("status %d, body %q; want a failure", status, body)
	}
}
