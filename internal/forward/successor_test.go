package forward_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/check"
	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// firstDialHangs is a network whose first connection is not established before its context
// ends.
type firstDialHangs struct {
	transport.TCP
	dials atomic.Int64
}

func (n *firstDialHangs) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if n.dials.Add(1) == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.TCP.DialContext(ctx, network, address)
}

// TestRequestThatASuccessorHadIsNotRefusedAsNotRun guards against a refusal that says not
// run, for a request that the server of a successor had when it ended.
func TestRequestThatASuccessorHadIsNotRefusedAsNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		drains  bool
	}{
		{"at the end of a drain", time.Second, true},
		{"at the deadline", 400 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := idempotentRoute
			timeout := check.Duration(c.timeout)
			route.Timeout = &timeout
			var f *fixture
			f = newFixture(t, route, func(conn net.Conn, request *http.Request) {
				if c.drains {
					now := time.Now()
					f.server.Drain(drain.Plan{Start: now, NoticedBy: now.Add(time.Minute), End: now.Add(20 * time.Millisecond)})
				}
				hang(conn, request)
			})
			f.server.Upstream = &upstream.Client{Network: &firstDialHangs{}}
			status, body, _, _ := f.send("/a/x", "secret")
			if f.attempts() != 1 || status != http.StatusBadGateway {
				t.Errorf("status %d, body %q after %d requests that servers received, want 502 after 1", status, body, f.attempts())
			}
		})
	}
}
