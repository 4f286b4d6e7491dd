package forward

import (
	"testing"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

// TestDigestTellsRequestsApart guards against the refusal of requests that differ in their
// workspace, target or body from one that crashes servers.
func TestDigestTellsRequestsApart(t *testing.T) {
	base := Request{AttemptID: "1", Method: "POST", Host: "h", Target: "/a/x", Body: upstream.NewBody([]byte("work"))}
	same := base
	same.AttemptID = "2"
	same.LastEventID = "7"
	if digestOf(&base, "north") != digestOf(&same, "north") {
		t.Error("a repeat has another digest")
	}
	for name, change := range map[string]func(*Request){
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host = "i" },
		"target": func(r *Request) { r.Target = "/a/x?y" },
		"body":   func(r *Request) { r.Body = upstream.NewBody([]byte("other")) },
		"parts":  func(r *Request) { r.Target, r.Body = "/a/xw", upstream.NewBody([]byte("ork")) },
	} {
		other := base
		change(&other)
		if digestOf(&base, "north") == digestOf(&other, "north") {
			t.Errorf("a request with another %s has the same digest", name)
		}
	}
	if digestOf(&base, "north") == digestOf(&base, "south") {
		t.Error("a request of another workspace has the same digest")
	}
}
