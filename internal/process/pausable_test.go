package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// startPausable serves the text "ok" on a pausable listener.
func startPausable(t *testing.T, network transport.Network) (*pausableListener, *listener) {
	t.Helper()
	socket, err := listenPausable(network, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := serveOn(socket, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}), listenOptions{})
	t.Cleanup(l.close)
	return socket, l
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func dials(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// TestPausedListenerRefuses guards against callers that wait instead of being refused while the
// listener is paused, against kept connections that a pause ends, and against a listener that
// does not come back at its address.
func TestPausedListenerRefuses(t *testing.T) {
	socket, l := startPausable(t, transport.TCP{})
	kept, err := net.Dial("tcp", l.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = kept.Close() }()
	reader := bufio.NewReader(kept)
	ask := func() {
		t.Helper()
		_, _ = io.WriteString(kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request on a kept connection: %v", err)
		}
		_, _ = io.ReadAll(response.Body)
	}
	ask()
	for range 3 {
		socket.pause()
		await(t, "connections are refused", func() bool { return !dials(l.address()) })
		ask()
		err := socket.resume()
		if err != nil {
			t.Fatal(err)
		}
		if !dials(l.address()) {
			t.Fatal("a connection was refused after the end of the pause")
		}
	}
}

// TestPauseServesTheQueue guards against connections that are reset although they waited in the
// queue when the pause began.
func TestPauseServesTheQueue(t *testing.T) {
	socket, err := listenPausable(transport.TCP{}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	const waiting = 20
	for range waiting {
		conn, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	socket.pause()
	accepted := make(chan net.Conn, waiting)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	await(t, "the socket is closed", func() bool {
		socket.mu.Lock()
		defer socket.mu.Unlock()
		return socket.socket == nil
	})
	if got := len(accepted); got != waiting {
		t.Errorf("%d of %d waiting connections were accepted", got, waiting)
	}
	_ = socket.Close()
	await(t, "Accept returns after Close", func() bool {
		select {
		case _, open := <-accepted:
			return !open
		default:
			return false
		}
	})
}

// TestResumeBeforeTheSocketIsClosed guards against a pause that takes effect after its end.
func TestResumeBeforeTheSocketIsClosed(t *testing.T) {
	socket, l := startPausable(t, transport.TCP{})
	for range 200 {
		socket.pause()
		err := socket.resume()
		if err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * maxPauseQueueTime)
	if !dials(l.address()) {
		t.Error("a connection was refused after the end of the last pause")
	}
}

// TestDeadlineOfAnEndedPause guards against a listener that stops for good because an accept
// failed by the deadline of a pause and the pause ended before that was evaluated. A deadline of a
// shutdown must stop it.
func TestDeadlineOfAnEndedPause(t *testing.T) {
	socket, err := listenPausable(transport.TCP{}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	socket.pause()
	err = socket.resume()
	if err != nil {
		t.Fatal(err)
	}
	if !socket.endAccept(socket.socket, os.ErrDeadlineExceeded) {
		t.Error("the listener stops after a pause")
	}
	err = socket.SetDeadline(pastDeadline)
	if err != nil {
		t.Fatal(err)
	}
	socket.pause()
	if socket.endAccept(socket.socket, os.ErrDeadlineExceeded) {
		t.Error("the listener does not stop for a shutdown")
	}
}

// failingNetwork fails to listen while fails is set.
type failingNetwork struct {
	transport.TCP
	fails *atomic.Bool
}

func (n failingNetwork) Listen(address string) (net.Listener, error) {
	if n.fails.Load() {
		return nil, errors.New("address already in use")
	}
	return n.TCP.Listen(address)
}

// TestResumeIsRepeated guards against an entry that refuses connections for ever because its
// address was in use when a pause ended.
func TestResumeIsRepeated(t *testing.T) {
	var fails atomic.Bool
	socket, l := startPausable(t, failingNetwork{fails: &fails})
	socket.pause()
	await(t, "connections are refused", func() bool { return !dials(l.address()) })
	fails.Store(true)
	if socket.resume() == nil {
		t.Fatal("resume reports no error")
	}
	fails.Store(false)
	err := socket.resume()
	if err != nil || !dials(l.address()) {
		t.Errorf("resume after the address is free: %v", err)
	}
}

// TestShutdownOfAPausableListener guards against a graceful shutdown that does not end, or that
// resets connections in the queue, because its deadline belongs to a pause.
func TestShutdownOfAPausableListener(t *testing.T) {
	for _, paused := range []bool{false, true} {
		socket, l := startPausable(t, transport.TCP{})
		if paused {
			socket.pause()
			await(t, "connections are refused", func() bool { return !dials(l.address()) })
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.shutdown(t.Context(), 10*time.Millisecond)
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatalf("paused %t: the shutdown does not end", paused)
		}
	}
}

// TestQueueIsSeenThroughWrappers guards against a shutdown that cannot see the connections that
// wait at a listener whose bytes are counted or whose socket may be closed for a time.
func TestQueueIsSeenThroughWrappers(t *testing.T) {
	socket, err := listenPausable(countedNetwork{Network: transport.TCP{}, counter: &linkCounter{}}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	if transport.HasQueued(socket) {
		t.Error("connections are queued before any was opened")
	}
	conn, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	await(t, "the connection is queued", func() bool { return transport.HasQueued(socket) })
}
