package forward_test

import (
	"net/http"
	"testing"
)

// TestInvalidStatusIsNoResponse guards against a spoiled status that is passed on: after a
// 101 a caller waits for a final response that never comes, and a status above 599 is
// none. The attempt has failed, and is repeated where that is allowed.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "-00", "+20", "2x0", " 20", "20"} {
		text := "HTTP/1.1 " + status + " x\r\nId: %ID%\r\nStamp: s\r\nContent-Length: 4\r\n\r\ndone"
		spoiled := sendRaw(text)
		for name, route := range cutRoutes {
			f := newFixture(t, route, spoiled)
			got, body, complete, _ := f.send("/a/x", "secret")
			if got != http.StatusBadGateway || body != "outcome_unclear\n" || !complete {
				t.Errorf("%s: status %d, body %q, complete %v after status %q; want 502", name, got, body, complete, status)
			}
			f.close()
		}
		f := newFixture(t, idempotentRoute, spoiled, respond(200, signatureHeader, "done"))
		got, body, complete, _ := f.send("/a/x", "secret")
		if got != http.StatusOK || body != "done" || !complete {
			t.Errorf("status %d, body %q, complete %v after status %q; want the second response", got, body, complete, status)
		}
		f.close()
		f = newFixture(t, resumableRoute, streamEvents(1, 2, "", false), spoiled)
		_, body, complete, _ = f.send("/a/x", "secret")
		if body != eventText(1, 2) || complete {
			t.Errorf("stream %q, complete %v after status %q; want two events of a cut stream", body, complete, status)
		}
		f.close()
		expectNoResponse(t, onceRoute, []string{text})
	}
}
