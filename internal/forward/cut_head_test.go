package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

// cutHeads returns every beginning of a response whose head ends before the blank line, with
// each framing and after an interim response.
func cutHeads() []string {
	var heads []string
	for _, framing := range []string{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		whole := streamHead + framing + "\r\n"
		for end := range len(whole) {
			heads = append(heads, whole[:end])
		}
	}
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	for end := range len(interim) + 1 {
		heads = append(heads, interim[:end])
	}
	for _, cut := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nId: %ID%\r\nStamp: s\r\n"} {
		heads = append(heads, interim+cut)
	}
	return heads
}

// cutRoutes are the kinds of routes, each with one attempt.
var cutRoutes = map[string]config.HostRoute{
	"once":       onceRoute,
	"idempotent": {Repetition: config.RepeatIdempotent, MaxAttempts: 1},
	"stream":     streamRoute,
}

// TestCutHeadIsNoResponse guards against an empty or short success, framed as whole, for a
// server that stops in the middle of the head of its response.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, route := range cutRoutes {
		t.Run(name, func(t *testing.T) {
			for _, head := range cutHeads() {
				f := newFixture(t, route, sendRaw(head))
				status, body, _, _ := f.send("/a/x", "secret")
				if status != http.StatusBadGateway || body != "outcome_unclear\n" {
					t.Errorf("status %d, body %q after %q; want 502", status, body, head)
				}
				f.close()
			}
		})
	}
}

// TestCutHeadIsRetried guards against a cut head that is taken for the response, or for the
// rest of a stream, although another attempt is allowed.
func TestCutHeadIsRetried(t *testing.T) {
	resumableTwice := resumableRoute
	resumableTwice.MaxAttempts = 3
	for _, head := range cutHeads() {
		f := newFixture(t, idempotentRoute, sendRaw(head), respond(200, signatureHeader, "done"))
		status, body, complete, _ := f.send("/a/x", "secret")
		if status != http.StatusOK || body != "done" || !complete {
			t.Errorf("status %d, body %q, complete %v after %q; want the second response", status, body, complete, head)
		}
		f.close()
		f = newFixture(t, resumableTwice, streamEvents(1, 2, "", false), sendRaw(head), streamEvents(3, 4, "", true))
		_, body, complete, _ = f.send("/a/x", "secret")
		if body != eventText(1, 4) || !complete {
			t.Errorf("stream %q, complete %v after %q; want four events", body, complete, head)
		}
		f.close()
	}
}

// TestCutHeadEndsAStreamVisibly guards against a stream that ends as complete because the
// head of the response that should continue it is cut.
func TestCutHeadEndsAStreamVisibly(t *testing.T) {
	for _, head := range cutHeads() {
		f := newFixture(t, resumableRoute, streamEvents(1, 2, "", false), sendRaw(head))
		_, body, complete, _ := f.send("/a/x", "secret")
		if body != eventText(1, 2) || complete {
			t.Errorf("stream %q, complete %v after %q; want two events of a cut stream", body, complete, head)
		}
		f.close()
	}
}

// TestCutHeadOfAPeerIsNoResponse guards against a success made of the cut head of another
// entry's response.
func TestCutHeadOfAPeerIsNoResponse(t *testing.T) {
	for _, head := range cutHeads() {
		peer := newFixture(t, onceRoute, sendRaw(head))
		f := newFixture(t, onceRoute, hang)
		var address string
		for address = range peer.listeners {
			break
		}
		f.server.Peers = stubPeers{address}
		f.server.Fleet.CutOff("pool", time.Now())
		status, body, _, _ := f.send("/a/x", "secret")
		if status != http.StatusBadGateway || body != "outcome_unclear\n" {
			t.Errorf("status %d, body %q after %q; want 502", status, body, head)
		}
		f.close()
		peer.close()
	}
}

// TestCutBodyIsNoWholeResponse guards against a short success, framed as whole, for a body
// that ends before its length, its last chunk or the end of its trailer.
func TestCutBodyIsNoWholeResponse(t *testing.T) {
	for framing, body := range map[string]string{
		"Content-Length: 18\r\n\r\n": eventText(1, 1),
		chunkedHead:                  chunk(eventText(1, 1)) + "0\r\nEnd: x\r\n\r\n",
	} {
		for name, route := range cutRoutes {
			t.Run(name, func(t *testing.T) {
				for end := range len(body) {
					f := newFixture(t, route, sendRaw(streamHead+framing+body[:end]))
					status, _, complete, _ := f.send("/a/x", "secret")
					if status == http.StatusOK && complete {
						t.Errorf("a complete response after %q", framing+body[:end])
					}
					f.close()
				}
			})
		}
	}
}
