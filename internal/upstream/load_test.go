package upstream_test

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

// pipeNetwork connects clients in memory to servers that answer each request after the time in
// its Work header. It counts the connections.
type pipeNetwork struct {
	// fail returns the error of a dial, or nil; nil stands for no failing dials.
	fail func(address string) error
	// maxRequests is the number of requests after which a server closes a connection
	// without saying so; 0 means no limit.
	maxRequests int

	open   atomic.Int64
	dialed atomic.Int64
}

// Listen implements transport.Network; the tests don't use it.
func (n *pipeNetwork) Listen(string) (net.Listener, error) {
	panic("not used")
}

// DialContext implements transport.Network.
func (n *pipeNetwork) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	if n.fail != nil {
		err := n.fail(address)
		if err != nil {
			return nil, err
		}
	}
	near, far := net.Pipe()
	n.dialed.Add(1)
	n.open.Add(1)
	go n.serve(far)
	return &pipeConn{Conn: near, open: &n.open}, nil
}

func (n *pipeNetwork) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for served := 0; n.maxRequests == 0 || served < n.maxRequests; served++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		work, _ := time.ParseDuration(r.Header.Get("Work"))
		time.Sleep(work)
		_, err = io.WriteString(conn, responseText(r.Header.Get("Id"), "ok"))
		if err != nil {
			return
		}
	}
}

// pipeConn is the client's end of a connection of a pipeNetwork.
type pipeConn struct {
	net.Conn
	open   *atomic.Int64
	closed sync.Once
}

// Close implements net.Conn.
func (c *pipeConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// load is a stream of requests to many servers, with a uniform choice of servers and
// exponential gaps.
type load struct {
	servers  int
	rate     float64
	duration time.Duration
	// once is the share of requests that must not run twice.
	once float64
	seed uint64
}

// loadResult is what a load brought about.
type loadResult struct {
	requests int
	unsent   int64
	failed   int64
	maxOpen  int64
}

// run sends the requests and waits for their responses.
func (l load) run(client *upstream.Client, network *pipeNetwork) loadResult {
	random := rand.New(rand.NewPCG(l.seed, 1))
	var result loadResult
	var unsent, failed atomic.Int64
	var pending sync.WaitGroup
	for start := time.Now(); time.Since(start) < l.duration; result.requests++ {
		time.Sleep(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		result.maxOpen = max(result.maxOpen, network.open.Load())
		server := "server-" + strconv.Itoa(random.IntN(l.servers))
		r := request(strconv.Itoa(result.requests))
		r.Header.Set("Work", time.Duration(float64(time.Second)*min(3, 0.1+random.ExpFloat64()*0.5)).String())
		r.Once = random.Float64() < l.once
		pending.Go(func() {
			err := exchange(client, server, r)
			switch {
			case upstream.IsNotSent(err):
				unsent.Add(1)
			case err != nil:
				failed.Add(1)
			}
		})
	}
	pending.Wait()
	result.unsent, result.failed = unsent.Load(), failed.Load()
	return result
}

// exchange sends a request and reads its response.
func exchange(client *upstream.Client, server string, r *upstream.Request) error {
	response, err := client.Do(context.Background(), server, server, r)
	if err != nil {
		return err
	}
	_, err = response.ReadAll()
	if err != nil {
		response.Abandon()
		return err
	}
	response.Finish()
	return nil
}

// TestConnectionsPerRequest guards against an entry that opens a connection for most
// requests. The rates are those of a usual entry, a busy one and one with half of the
// requests of a failure domain. A fifth of the requests must not run twice.
func TestConnectionsPerRequest(t *testing.T) {
	for _, c := range []struct {
		rate       float64
		maxPerSent float64
	}{{10, 0.38}, {30, 0.20}, {110, 0.08}} {
		for seed := range uint64(3) {
			synctest.Test(t, func(t *testing.T) {
				network := &pipeNetwork{}
				client := &upstream.Client{Network: network, IdleTimeout: 12 * time.Second, OldestFirst: true}
				result := load{servers: 60, rate: c.rate, duration: time.Minute, once: 0.2, seed: seed}.run(client, network)
				perRequest := float64(client.Dials()) / float64(result.requests)
				t.Logf("%.0f requests a second, seed %d: %.3f connections a request, %d open at most", c.rate, seed, perRequest, result.maxOpen)
				if perRequest > c.maxPerSent || result.unsent > 0 || result.failed > 0 {
					t.Errorf("%.3f connections a request, want at most %.3f; %d requests unsent, %d failed", perRequest, c.maxPerSent, result.unsent, result.failed)
				}
				closeIdle(client)
			})
		}
	}
}

// closeIdle closes all idle connections, which ends the servers of a pipeNetwork.
func closeIdle(client *upstream.Client) {
	client.CloseIdleExcept(func(string) bool { return false })
}

// TestExpiredConnectionsAreClosed guards against descriptors that connections occupy which
// carry no further request. Nothing is sent for some seconds after a load.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipeNetwork{}
		client := &upstream.Client{Network: network}
		load{servers: 60, rate: 110, duration: 5 * time.Second}.run(client, network)
		time.Sleep(6 * time.Second)
		open, idle := client.Open()
		if network.open.Load() != 0 || open != 0 || idle != 0 {
			t.Errorf("%d connections are open 6 s after the last response; the client counts %d, and %d idle", network.open.Load(), open, idle)
		}
	})
}

// TestIdleConnectionsAreBounded guards against idle connections that leave callers no
// descriptors, and checks that the least recently used are closed first.
func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 20
		network := &pipeNetwork{}
		client := &upstream.Client{Network: network, MaxIdle: func() int { return limit }}
		load{servers: 60, rate: 110, duration: 3 * time.Second}.run(client, network)
		_, idle := client.Open()
		if idle > limit {
			t.Errorf("%d connections are idle, want at most %d", idle, limit)
		}
		// The last connection of the load became idle at this instant; it must be older.
		time.Sleep(time.Millisecond)
		for i := range limit {
			err := exchange(client, "other-"+strconv.Itoa(i), request("a"))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		before := client.Dials()
		for i := range limit {
			_ = exchange(client, "other-"+strconv.Itoa(i), request("b"))
		}
		if client.Dials() != before {
			t.Errorf("%d of the %d most recently used connections were closed", client.Dials()-before, limit)
		}
		closeIdle(client)
	})
}

// TestRequestThatRunsOnceKeepsOtherConnections guards against the close of connections that
// are too old for a request that must not run twice, and of use to others.
func TestRequestThatRunsOnceKeepsOtherConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &upstream.Client{Network: &pipeNetwork{}}
		once := request("b")
		once.Once = true
		working := request("c")
		working.Header.Set("Work", "1s")
		_ = exchange(client, "server", request("a"))
		time.Sleep(2 * time.Second)
		_ = exchange(client, "server", once)
		var pending sync.WaitGroup
		for range 2 {
			pending.Go(func() { _ = exchange(client, "server", working) })
		}
		pending.Wait()
		if client.Dials() != 2 {
			t.Errorf("%d connections opened, want 2: the request that runs once needs a new one, and the first is kept", client.Dials())
		}
		closeIdle(client)
	})
}

// TestOnceNeedsFreshConnection guards against a request that must not run twice on a
// connection that its server may be about to close: idle for over 1.5 s, or for longer than
// the stated Keep-Alive allows.
func TestOnceNeedsFreshConnection(t *testing.T) {
	for idle, want := range map[time.Duration]int64{1400 * time.Millisecond: 1, 1600 * time.Millisecond: 2} {
		synctest.Test(t, func(t *testing.T) {
			client := &upstream.Client{Network: &pipeNetwork{}, IdleTimeout: time.Minute, OldestFirst: true}
			once := request("b")
			once.Once = true
			_ = exchange(client, "server", request("a"))
			time.Sleep(idle)
			_ = exchange(client, "server", once)
			if client.Dials() != want {
				t.Errorf("after %s idle: %d connections opened, want %d", idle, client.Dials(), want)
			}
			closeIdle(client)
		})
	}
}

// TestStaleConnectionIsReplaced guards against requests that fail, or are tried at another
// server, because a server has closed one idle connection.
func TestStaleConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipeNetwork{maxRequests: 8}
		client := &upstream.Client{Network: network}
		result := load{servers: 60, rate: 110, duration: time.Minute, seed: 1}.run(client, network)
		if result.unsent > 0 || result.failed > 0 {
			t.Errorf("%d requests unsent, %d failed, want none of %d", result.unsent, result.failed, result.requests)
		}
		closeIdle(client)
	})
}

// TestIdleConnectionsMakeRoom guards against requests that can't be sent because idle
// connections to other servers occupy the last descriptors.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipeNetwork{}
		network.fail = func(string) error {
			if network.open.Load() >= 10 {
				return errors.Wrap(syscall.EMFILE, "socket")
			}
			return nil
		}
		client := &upstream.Client{Network: network}
		for i := range 30 {
			err := exchange(client, "server-"+strconv.Itoa(i), request("a"))
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
		}
		closeIdle(client)
	})
}

// TestLocalFailureIsTold checks which failures to connect say nothing about the server.
func TestLocalFailureIsTold(t *testing.T) {
	for cause, want := range map[syscall.Errno]bool{
		syscall.EMFILE:        true,
		syscall.EADDRINUSE:    true,
		syscall.EADDRNOTAVAIL: true,
		syscall.ECONNREFUSED:  false,
		syscall.EHOSTUNREACH:  false,
	} {
		network := &pipeNetwork{fail: func(string) error {
			return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", cause)}
		}}
		err := exchange(&upstream.Client{Network: network}, "server", request("a"))
		if !upstream.IsNotSent(err) || upstream.IsLocal(err) != want {
			t.Errorf("%s: not sent %t, local %t, want true and %t", cause, upstream.IsNotSent(err), upstream.IsLocal(err), want)
		}
	}
}
