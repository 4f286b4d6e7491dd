package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// hookedNetwork accepts connections over TCP that count the bytes read from them. It
// calls beforeAccept, if set, before a connection is taken from the queue, and afterRead
// between a read and its return.
type hookedNetwork struct {
	transport.TCP
	beforeAccept func()
	afterRead    func(c *hookedConn, n int)

	mu    sync.Mutex
	conns map[string]*hookedConn
}

// Listen implements transport.Network.
func (h *hookedNetwork) Listen(address string) (net.Listener, error) {
	inner, err := h.TCP.Listen(address)
	if err != nil {
		return nil, err
	}
	return &hookedListener{TCPListener: inner.(*net.TCPListener), network: h}, nil
}

// received returns the bytes read from the connection whose caller has the address.
func (h *hookedNetwork) received(caller net.Addr) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.conns[caller.String()]
	if c == nil {
		return 0
	}
	return c.received.Load()
}

type hookedListener struct {
	*net.TCPListener
	network *hookedNetwork
}

// Accept implements net.Listener.
func (l *hookedListener) Accept() (net.Conn, error) {
	if l.network.beforeAccept != nil {
		l.network.beforeAccept()
	}
	inner, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &hookedConn{TCPConn: inner, network: l.network}
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.conns == nil {
		l.network.conns = make(map[string]*hookedConn)
	}
	l.network.conns[inner.RemoteAddr().String()] = c
	return c, nil
}

type hookedConn struct {
	*net.TCPConn
	network  *hookedNetwork
	received atomic.Int64
}

// Read implements net.Conn.
func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.received.Add(int64(n))
	if c.network.afterRead != nil {
		c.network.afterRead(c, n)
	}
	return n, err
}

// echo responds with the body of the request and counts the requests served.
type echo struct {
	served atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.served.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func listenForTest(t *testing.T, network transport.Network, handler http.Handler) *listener {
	t.Helper()
	l, err := listen(network, "127.0.0.1:0", handler, listenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	return l
}

// keptConnection is a caller's connection on which a response has been read.
type keptConnection struct {
	net.Conn
	responses *bufio.Reader
}

func openKept(t *testing.T, address string) *keptConnection {
	t.Helper()
	conn := sendRequest(t, address, "/first")
	k := &keptConnection{Conn: conn, responses: bufio.NewReader(conn)}
	_, err := k.readResponse()
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// post returns a request that carries body.
func post(body string) string {
	return "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// readResponse returns the body of a complete response.
func (k *keptConnection) readResponse() (string, error) {
	_ = k.SetReadDeadline(time.Now().Add(8 * time.Second))
	response, err := http.ReadResponse(k.responses, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", response.StatusCode)
	}
	return string(body), err
}

// check fails the test unless the complete response echoes want.
func (k *keptConnection) check(t *testing.T, want string) {
	t.Helper()
	body, err := k.readResponse()
	if err != nil || body != want {
		t.Errorf("the request was not answered in full: body %q, error %v", body, err)
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	if err != nil {
		t.Error(err)
	}
}

// startShutdown shuts l down and waits for its end when the test ends.
func startShutdown(t *testing.T, l *listener, lag time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.shutdown(ctx, lag)
	}()
	t.Cleanup(func() {
		<-done
		cancel()
	})
}

// TestRequestReadWhileItsConnectionIsClosedAsIdleIsAnswered guards against a request
// that has been read and gets no answer: the entry stands still between the read of the
// header and its evaluation, and the connection is closed as idle meanwhile. The body
// arrives later.
func TestRequestReadWhileItsConnectionIsClosedAsIdleIsAnswered(t *testing.T) {
	read, goOn := make(chan struct{}), make(chan struct{})
	var armed atomic.Bool
	network := &hookedNetwork{afterRead: func(_ *hookedConn, n int) {
		if n > 0 && armed.CompareAndSwap(true, false) {
			close(read)
			<-goOn
		}
	}}
	l := listenForTest(t, network, &echo{})
	kept := openKept(t, l.address())
	time.Sleep(minIdleTime)
	armed.Store(true)
	header, _ := strings.CutSuffix(post("hello"), "hello")
	write(t, kept, header)
	<-read
	startShutdown(t, l, time.Millisecond)
	time.Sleep(4 * drainPollInterval)
	close(goOn)
	time.Sleep(4 * drainPollInterval)
	write(t, kept, "hello")
	kept.check(t, "hello")
}

// TestHeaderInTwoPiecesAroundTheIdleCloseIsAnswered guards against a connection that
// counts as idle until the whole header has been read, on a kept connection and on a new
// one.
func TestHeaderInTwoPiecesAroundTheIdleCloseIsAnswered(t *testing.T) {
	l := listenForTest(t, transport.TCP{}, &echo{})
	kept := openKept(t, l.address())
	conn, err := net.Dial("tcp", l.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fresh := &keptConnection{Conn: conn, responses: bufio.NewReader(conn)}
	time.Sleep(minIdleTime)
	request := post("hello")
	write(t, kept, request[:12])
	write(t, fresh, request[:2])
	startShutdown(t, l, 50*time.Millisecond)
	time.Sleep(minIdleTime + 4*drainPollInterval)
	write(t, kept, request[12:])
	write(t, fresh, request[2:])
	kept.check(t, "hello")
	fresh.check(t, "hello")
}

// TestRequestInTheSocketAtTheIdleCloseIsAnswered guards against a close that doesn't look
// at the bytes in the socket: a request arrives after the read of an idle connection has
// been given up and before the connection is closed.
func TestRequestInTheSocketAtTheIdleCloseIsAnswered(t *testing.T) {
	gaveUp, goOn := make(chan struct{}), make(chan struct{})
	var armed atomic.Bool
	network := &hookedNetwork{afterRead: func(_ *hookedConn, n int) {
		if n == 0 && armed.CompareAndSwap(true, false) {
			close(gaveUp)
			<-goOn
		}
	}}
	l := listenForTest(t, network, &echo{})
	kept := openKept(t, l.address())
	time.Sleep(minIdleTime)
	armed.Store(true)
	startShutdown(t, l, time.Millisecond)
	<-gaveUp
	write(t, kept, post("hello"))
	time.Sleep(4 * drainPollInterval)
	close(goOn)
	kept.check(t, "hello")
}

// TestIdleCloseAnswersEveryRequestThatWasRead guards against requests that are read, or
// served, and get no complete answer when many callers send at the moment of the idle
// close, in one piece or in two.
func TestIdleCloseAnswersEveryRequestThatWasRead(t *testing.T) {
	const callers = 400
	network := &hookedNetwork{}
	handler := &echo{}
	l := listenForTest(t, network, handler)
	kept := make([]*keptConnection, callers)
	for i := range kept {
		kept[i] = openKept(t, l.address())
	}
	time.Sleep(minIdleTime)
	start := time.Now()
	l.draining.Store(true)
	var closing sync.WaitGroup
	defer closing.Wait()
	closing.Go(func() {
		time.Sleep(20 * time.Millisecond)
		for !l.closeIdle() {
			time.Sleep(drainPollInterval)
		}
	})
	var answered, unread atomic.Int64
	var callersDone sync.WaitGroup
	for i, k := range kept {
		callersDone.Go(func() {
			time.Sleep(time.Until(start.Add(10*time.Millisecond + time.Duration(i)*50*time.Microsecond)))
			before := network.received(k.LocalAddr())
			request := post("body " + strconv.Itoa(i))
			err := sendInPieces(k, request, i%3)
			body, readErr := k.readResponse()
			if readErr == nil && body == "body "+strconv.Itoa(i) {
				answered.Add(1)
				return
			}
			unread.Add(1)
			if network.received(k.LocalAddr()) > before {
				t.Errorf("caller %d: bytes of the request were read and it wasn't answered: %v, %v", i, err, readErr)
			}
		})
	}
	callersDone.Wait()
	if served := handler.served.Load() - callers; served != answered.Load() {
		t.Errorf("%d requests were served, %d of them answered", served, answered.Load())
	}
	t.Logf("%d requests answered, %d not read", answered.Load(), unread.Load())
}

// sendInPieces sends the request in one piece, or in two with a pause in its header or
// before its body.
func sendInPieces(conn net.Conn, request string, manner int) error {
	at := []int{0, 10, strings.Index(request, "body ")}[manner]
	if at > 0 {
		_, err := io.WriteString(conn, request[:at])
		if err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	_, err := io.WriteString(conn, request[at:])
	return err
}

// TestConnectionsQueuedAtTheEndOfAcceptingAreServed guards against resets of connections
// that are established and wait to be accepted when the listening socket is closed.
func TestConnectionsQueuedAtTheEndOfAcceptingAreServed(t *testing.T) {
	const callers = 50
	goOn := make(chan struct{})
	network := &hookedNetwork{beforeAccept: func() { <-goOn }}
	l := listenForTest(t, network, &echo{})
	queued := make([]*keptConnection, callers)
	for i := range queued {
		conn := sendRequest(t, l.address(), "/")
		queued[i] = &keptConnection{Conn: conn, responses: bufio.NewReader(conn)}
	}
	startShutdown(t, l, time.Millisecond)
	time.Sleep(4 * drainPollInterval)
	close(goOn)
	for _, k := range queued {
		k.check(t, "")
	}
	conn, err := net.Dial("tcp", l.address())
	for deadline := time.Now().Add(5 * time.Second); err == nil && time.Now().Before(deadline); {
		_ = conn.Close()
		time.Sleep(2 * queueTimeout)
		conn, err = net.Dial("tcp", l.address())
	}
	if err == nil {
		t.Error("new connections are still accepted after the queue was served")
	}
}

// TestConnectionsQueuedDuringAPauseAreServed guards against resets of connections that wait to
// be accepted when a shutdown closes the socket, because the process got no processor: for
// longer than the queue must be empty, and for longer than connections may keep arriving.
func TestConnectionsQueuedDuringAPauseAreServed(t *testing.T) {
	for _, pause := range []time.Duration{2 * queueTimeout, maxQueueDuration * 3 / 2} {
		var armed atomic.Bool
		paused := make(chan struct{})
		network := &hookedNetwork{beforeAccept: func() {
			if armed.CompareAndSwap(true, false) {
				close(paused)
				time.Sleep(pause)
			}
		}}
		l := listenForTest(t, network, &echo{})
		openKept(t, l.address())
		armed.Store(true)
		startShutdown(t, l, time.Millisecond)
		<-paused
		conn := sendRequest(t, l.address(), "/")
		queued := &keptConnection{Conn: conn, responses: bufio.NewReader(conn)}
		queued.check(t, "")
	}
}

// TestAcceptingEndsUnderASteadyStreamOfConnections guards against a listener that is
// never closed because a connection always waits in its queue.
func TestAcceptingEndsUnderASteadyStreamOfConnections(t *testing.T) {
	l := listenForTest(t, transport.TCP{}, &echo{})
	startShutdown(t, l, time.Millisecond)
	deadline := time.Now().Add(maxQueueDuration + 5*time.Second)
	for time.Now().Before(deadline) {
		conn, err := net.Dial("tcp", l.address())
		if err != nil {
			return
		}
		_ = conn.Close()
		time.Sleep(queueTimeout / 10)
	}
	t.Error("new connections are still accepted")
}

// acceptOne returns both ends of a connection that a connectionListener has accepted.
func acceptOne(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	socket, err := transport.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	caller, err = net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	accepted, err = newConnectionListener(socket, nil).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return caller, accepted
}

// TestAcceptedConnectionCanBeReset guards against a cut stream that looks complete to a
// caller to which only a reset tells the difference.
func TestAcceptedConnectionCanBeReset(t *testing.T) {
	caller, accepted := acceptOne(t)
	lingerer, ok := accepted.(interface{ SetLinger(seconds int) error })
	if !ok {
		t.Fatal("the connection can't be reset")
	}
	err := lingerer.SetLinger(0)
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = caller.Read(make([]byte, 1))
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the caller sees %v in place of a reset", err)
	}
}

// TestAcceptedConnectionCanBeHalfClosed guards against a response that is lost because
// its connection is reset: the HTTP server half-closes a connection whose request it
// hasn't read to the end.
func TestAcceptedConnectionCanBeHalfClosed(t *testing.T) {
	caller, accepted := acceptOne(t)
	halfCloser, ok := accepted.(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("the HTTP server can't half-close the connection")
	}
	err := halfCloser.CloseWrite()
	if err != nil {
		t.Fatal(err)
	}
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = caller.Read(make([]byte, 1))
	if err != io.EOF {
		t.Errorf("the caller sees %v in place of the end of the response", err)
	}
	write(t, caller, "x")
	_ = accepted.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.ReadFull(accepted, make([]byte, 1))
	if err != nil {
		t.Errorf("the half-closed connection can't be read: %v", err)
	}
}
