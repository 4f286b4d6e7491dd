package upstream_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

// slowNetwork is a pipeNetwork on which opening a connection takes roundTrip.
type slowNetwork struct {
	pipeNetwork
	roundTrip time.Duration
}

func (n *slowNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	time.Sleep(n.roundTrip)
	return n.pipeNetwork.DialContext(ctx, network, address)
}

// TestConnectTime guards against a choice of servers that takes connections for open which
// can't carry the request: expired, too old for one that must not run twice, in use, closed,
// or to another server.
func TestConnectTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &upstream.Client{Network: &slowNetwork{roundTrip: 3 * time.Millisecond}}
		check := func(when, server string, once bool, want time.Duration) {
			t.Helper()
			if got := client.ConnectTime(server, once); got != want {
				t.Errorf("%s: %s until a request can be sent, want %s", when, got, want)
			}
		}
		const opening = 4 * time.Millisecond
		check("before the first connection", "server", false, 2*time.Millisecond)
		working := request("a")
		working.Header.Set("Work", "1s")
		done := make(chan error)
		go func() { done <- exchange(client, "server", working) }()
		time.Sleep(500 * time.Millisecond)
		check("in use", "server", false, opening)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		check("idle", "server", false, 0)
		check("idle", "server", true, 0)
		check("idle", "other", false, opening)
		time.Sleep(1600 * time.Millisecond)
		check("idle for 1.6 s", "server", false, 0)
		check("idle for 1.6 s", "server", true, opening)
		time.Sleep(2500 * time.Millisecond)
		check("expired", "server", false, opening)
		if err := exchange(client, "server", request("b")); err != nil {
			t.Fatal(err)
		}
		check("idle again", "server", false, 0)
		closeIdle(client)
		check("closed", "server", false, opening)
	})
}

// TestConnectTimeUnderPoolLock guards against a deadlock between the pool, which calls the fleet
// under its lock to learn which servers are listed, and the fleet, which calls ConnectTime under
// its own lock.
func TestConnectTimeUnderPoolLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &upstream.Client{Network: &pipeNetwork{}}
		if err := exchange(client, "server", request("a")); err != nil {
			t.Fatal(err)
		}
		client.CloseIdleExcept(func(id string) bool { return client.ConnectTime(id, false) > 0 })
		if _, idle := client.Open(); idle != 0 {
			t.Errorf("%d connections are idle, want none", idle)
		}
	})
}
