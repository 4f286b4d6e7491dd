package forward_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestInvalidStatusIsNoResponse guards against a spoiled status that is passed on: after a
// 101 a caller waits for a final response that never comes, and a status above 599 is
// none. The attempt has failed, and is repeated where that is allowed.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []int{99, 101, 600, 999} {
		spoiled := sendRaw(fmt.Sprintf("HTTP/1.1 %03d x\r\nId: %%ID%%\r\nStamp: s\r\nContent-Length: 4\r\n\r\ndone", status))
		for name, route := range cutRoutes {
			f := newFixture(t, route, spoiled)
			got, body, complete, _ := f.send("/a/x", "secret")
			if got != http.StatusBadGateway || body != "outcome_unclear\n" || !complete {
				t.Errorf("%s: status %d, body %q, complete %v after status %d; want 502", name, got, body, complete, status)
			}
			f.close()
		}
		f := newFixture(t, idempotentRoute, spoiled, respond(200, signatureHeader, "done"))
		got, body, complete, _ := f.send("/a/x", "secret")
		if got != http.StatusOK || body != "done" || !complete {
			t.Errorf("status %d, body %q, complete %v after status %d; want the second response", got, body, complete, status)
		}
		f.close()
	}
}
