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
)

// listener is an HTTP server on one address.
type listener struct {
	server *http.Server
	socket net.Listener
	done   chan struct{}
	// draining adds "Connection: close" to each response, so that callers open
	// their next connection elsewhere.
	draining atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]*connection
}

// connection is the state of an accepted connection, guarded by the listener's mu.
type connection struct {
	state      http.ConnState
	stateSince time.Time
	// closedAsIdle is set when the listener closes the connection as idle. A
	// request that was read before that must not be served, because its response
	// would be lost.
	closedAsIdle bool
}

// connectionKey is the context key of the *connection of a request.
type connectionKey struct{}

// listen starts serving handler on address.
func listen(network transport.Network, address string, handler http.Handler) (*listener, error) {
	socket, err := network.Listen(address)
	if err != nil {
		return nil, errors.Newf("start listener: %w", err)
	}
	l := &listener{
		socket: socket,
		done:   make(chan struct{}),
		conns:  make(map[net.Conn]*connection),
	}
	l.server = &http.Server{
		Handler:           l.closeWhenDraining(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         l.trackState,
		ConnContext:       l.withConnection,
	}
	go l.run()
	return l, nil
}

func (l *listener) run() {
	defer close(l.done)
	_ = l.server.Serve(l.socket)
}

// closeWhenDraining makes the responses of a draining listener close their
// connections. It aborts requests whose connection was closed as idle.
func (l *listener) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
			if l.isClosedAsIdle(r) {
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// trackState records the state of a connection. The HTTP server calls it at each
// change.
func (l *listener) trackState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, conn)
		return
	}
	c := l.connection(conn)
	c.state = state
	c.stateSince = time.Now()
}

// connection returns the state of conn and creates it if needed. The caller holds
// mu.
func (l *listener) connection(conn net.Conn) *connection {
	c := l.conns[conn]
	if c == nil {
		c = &connection{stateSince: time.Now()}
		l.conns[conn] = c
	}
	return c
}

// withConnection adds the state of conn to the context of its requests.
func (l *listener) withConnection(ctx context.Context, conn net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, l.connection(conn))
}

// isClosedAsIdle reports whether the connection of r was closed as idle.
func (l *listener) isClosedAsIdle(r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && c.closedAsIdle
}

// closeIdle closes the connections that have no request in progress and have
// been idle for minIdleTime, so that a new request on them is unlikely. It
// reports whether all connections are closed.
func (l *listener) closeIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, c := range l.conns {
		if c.state == http.StateActive || time.Since(c.stateSince) < minIdleTime {
			continue
		}
		c.closedAsIdle = true
		_ = conn.Close()
		delete(l.conns, conn)
	}
	return len(l.conns) == 0
}

// address returns the address that the listener is bound to.
func (l *listener) address() string {
	return l.socket.Addr().String()
}

// shutdown keeps serving for lag. Then it accepts no new connections, closes idle
// ones and waits until the requests in progress have ended. When ctx ends, it
// closes the remaining connections.
func (l *listener) shutdown(ctx context.Context, lag time.Duration) {
	l.draining.Store(true)
	sleep.For(ctx, lag)
	_ = l.socket.Close()
	for ctx.Err() == nil && !l.closeIdle() {
		sleep.For(ctx, drainPollInterval)
	}
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	<-l.done
}

// close stops the server and closes all connections.
func (l *listener) close() {
	_ = l.server.Close()
	<-l.done
}
