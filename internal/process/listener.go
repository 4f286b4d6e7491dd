package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/sleep"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// minIdleTime is how long a connection must have been idle before a graceful
	// shutdown closes it.
	minIdleTime       = time.Second
	drainPollInterval = 50 * time.Millisecond
	// maxQueueDuration bounds the time in which a graceful shutdown serves the
	// connections that wait to be accepted.
	maxQueueDuration = 500 * time.Millisecond
)

// listener is an HTTP server on one address.
type listener struct {
	server *http.Server
	socket connectionListener
	done   chan struct{}
	// draining adds "Connection: close" to each response, so that callers open
	// their next connection elsewhere.
	draining atomic.Bool

	// open counts the connections of this listener and others that share the counter.
	open *atomic.Int64

	mu    sync.Mutex
	conns map[*connection]struct{}
}

// listen starts serving handler on address.
func listen(network transport.Network, address string, handler http.Handler) (*listener, error) {
	return listenCounted(network, address, handler, new(atomic.Int64))
}

// listenCounted starts serving handler on address and counts the open connections in open.
func listenCounted(network transport.Network, address string, handler http.Handler, open *atomic.Int64) (*listener, error) {
	socket, err := network.Listen(address)
	if err != nil {
		return nil, errors.Newf("start listener: %w", err)
	}
	return serveOn(socket, handler, open), nil
}

// serveOn starts serving handler on a socket and counts the open connections in open.
func serveOn(socket net.Listener, handler http.Handler, open *atomic.Int64) *listener {
	l := &listener{
		socket: newConnectionListener(socket),
		done:   make(chan struct{}),
		open:   open,
		conns:  make(map[*connection]struct{}),
	}
	l.server = &http.Server{
		Handler:           l.closeWhenDraining(guardBodies(handler)),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         l.trackState,
		ConnContext:       transport.WithConn,
	}
	go l.run()
	return l
}

func (l *listener) run() {
	defer close(l.done)
	_ = l.server.Serve(l.socket)
}

// closeWhenDraining makes the responses of a draining listener close their
// connections.
func (l *listener) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// trackState records the state of a connection. The HTTP server calls it at each
// change.
func (l *listener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns[c] = struct{}{}
		l.open.Add(1)
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
		l.open.Add(-1)
	}
}

// closeIdle starts to close the connections that have been idle for minIdleTime, so
// that a new request on them is unlikely. It reports whether all connections are
// closed.
func (l *listener) closeIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeAfter(minIdleTime)
	}
	return len(l.conns) == 0
}

// address returns the address that the listener is bound to.
func (l *listener) address() string {
	return l.socket.Addr().String()
}

// shutdown keeps serving for lag. Then it accepts no connections beyond those that wait
// in the queue, closes idle ones and waits until the requests in progress have ended.
// When ctx ends, it closes the remaining connections. The HTTP server is only told to
// shut down after that, because it doesn't serve a request that it reads later.
func (l *listener) shutdown(ctx context.Context, lag time.Duration) {
	l.draining.Store(true)
	sleep.For(ctx, lag)
	l.stopAccepting(ctx)
	for ctx.Err() == nil && !l.closeIdle() {
		sleep.For(ctx, drainPollInterval)
	}
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
}

// stopAccepting serves the connections that are established and wait to be accepted,
// which the close of the socket would reset, and closes the socket. When connections keep
// arriving for maxQueueDuration, it closes the socket as soon as none waits: the process
// may not have been scheduled for that long, so that many wait. It closes the socket in any
// case when ctx ends or after maxQueueDuration more.
func (l *listener) stopAccepting(ctx context.Context) {
	if l.socket.stop() && !l.awaitAccepted(ctx) {
		l.socket.stopWaiting()
		l.awaitAccepted(ctx)
	}
	_ = l.socket.Close()
	<-l.done
}

// awaitAccepted waits until the server accepts no more connections, or for
// maxQueueDuration, or until ctx ends. It reports whether none is accepted.
func (l *listener) awaitAccepted(ctx context.Context) bool {
	limit := time.NewTimer(maxQueueDuration)
	defer limit.Stop()
	select {
	case <-l.done:
		return true
	case <-limit.C:
	case <-ctx.Done():
	}
	return false
}

// close stops the server and closes all connections.
func (l *listener) close() {
	_ = l.server.Close()
	<-l.done
}
