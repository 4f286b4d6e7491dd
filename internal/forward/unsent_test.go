package forward_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/transport"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// failingNetwork is a TCP network whose dials fail with an error, if one is set.
type failingNetwork struct {
	transport.TCP
	err   atomic.Pointer[net.OpError]
	dials atomic.Int64
}

// DialContext implements transport.Network.
func (n *failingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n.dials.Add(1)
	err := n.err.Load()
	if err != nil {
		return nil, err
	}
	return n.TCP.DialContext(ctx, network, address)
}

// delayedController returns a controller that has just measured a long delay.
func delayedController() *overload.Controller {
	c := &overload.Controller{Random: rand.New(rand.NewPCG(1, 2))}
	for range 8 {
		c.RecordEcho(time.Now(), overload.Sample{Delay: 500 * time.Millisecond})
	}
	return c
}

// TestLocalFailureBlamesNoServer guards against an entry without free ports or descriptors, or
// with a queue at its own link, that ejects sound servers and closes its connections to them.
func TestLocalFailureBlamesNoServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		delayed bool
		blamed  bool
	}{
		{"no ports", os.NewSyscallError("bind", syscall.EADDRINUSE), false, false},
		{"refused", os.NewSyscallError("connect", syscall.ECONNREFUSED), false, true},
		{"timed out", os.ErrDeadlineExceeded, false, true},
		{"timed out behind a queue", os.ErrDeadlineExceeded, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, network := newIdleFixture(t)
			// Requests that run once need newer connections than these.
			time.Sleep(1600 * time.Millisecond)
			network.err.Store(&net.OpError{Op: "dial", Net: "tcp", Err: c.err})
			if c.delayed {
				f.server.Overload = delayedController()
			}
			status, _, _, _ := f.send("/a/x", "secret")
			if status != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503", status)
			}
			ejected := f.server.Fleet.Counts(time.Now()).Ejected
			_, idle := f.server.Upstream.Open()
			if (ejected > 0) != c.blamed || (idle < len(f.listeners)) != c.blamed {
				t.Errorf("%d of 3 servers ejected, %d connections idle, want servers to be blamed: %v", ejected, idle, c.blamed)
			}
		})
	}
}

// TestNoDescriptorsRefuseAtOnce guards against more attempts, which need descriptors too, and
// against blame for the server.
func TestNoDescriptorsRefuseAtOnce(t *testing.T) {
	f := newFixture(t, onceRoute)
	network := &failingNetwork{}
	network.err.Store(&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	f.server.Upstream = &upstream.Client{Network: network}
	status, body, _, header := f.send("/a/x", "secret")
	if status != http.StatusServiceUnavailable || body != "not_sent\n" || header.Get("Retry-After") != "0.05" || network.dials.Load() != 1 {
		t.Errorf("status %d, body %q, Retry-After %q after %d dials, want 503, not_sent and 0.05 after 1", status, body, header.Get("Retry-After"), network.dials.Load())
	}
	if ejected := f.server.Fleet.Counts(time.Now()).Ejected; ejected > 0 {
		t.Errorf("%d servers ejected, want none", ejected)
	}
}

// newIdleFixture returns an entry with an idle connection to each of its servers, and its
// network.
func newIdleFixture(t *testing.T) (*fixture, *failingNetwork) {
	t.Helper()
	f := newFixture(t, onceRoute)
	network := &failingNetwork{}
	f.server.Upstream = &upstream.Client{Network: network}
	for i, address := range f.addresses {
		connection, err := f.server.Upstream.Dial(context.Background(), "s"+strconv.Itoa(i), address)
		if err != nil || !connection.Release() {
			t.Fatalf("no idle connection: %v", err)
		}
	}
	return f, network
}

// TestFewDescriptorsRefuse guards against requests that fail for want of descriptors after
// their bodies were read, and against a connection to the caller that stays open.
func TestFewDescriptorsRefuse(t *testing.T) {
	f := newFixture(t, onceRoute)
	f.server.HasDescriptors = func() bool { return false }
	response := sendHeader(t, f, 100, "")
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "0.05" || !response.Close {
		t.Errorf("response %+v, want 503 with Retry-After 0.05 that closes the connection", response)
	}
}
