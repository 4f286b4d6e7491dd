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
	// draining asks callers to use another connection after each answer.
	draining atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]*connection
}

// connection is the state of an accepted connection, guarded by its listener.
type connection struct {
	state      http.ConnState
	stateSince time.Time
	// closedAsIdle is set when the listener closedAsIdle the connection as idle. A request
	// that had been read by then must not be served: its answer would be lost.
	closedAsIdle bool
}

// connectionKey is where the context of a request holds its connection.
type connectionKey struct{}

// listen starts to serve handler on address.
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

// closeWhenDraining makes the answers of a draining listener close their connections.
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

// connection returns the state of a connection; it is called with mu held.
func (l *listener) connection(conn net.Conn) *connection {
	c := l.conns[conn]
	if c == nil {
		c = &connection{stateSince: time.Now()}
		l.conns[conn] = c
	}
	return c
}

// withConnection puts a connection's state into the context of its requests.
func (l *listener) withConnection(ctx context.Context, conn net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, l.connection(conn))
}

// isClosedAsIdle tells whether the connection of a request was closed as idle.
func (l *listener) isClosedAsIdle(r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && c.closedAsIdle
}

// closeIdle closes the connections on which no request is in progress and none
// is likely to come; it tells whether none are left.
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

// address returns the address that the listener has.
func (l *listener) address() string {
	return l.socket.Addr().String()
}

// shutdown serves on for lag, takes no new connections from then on, closes
// those that are idle and waits until the requests in progress have ended. It
// cuts what is left when ctx ends.
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

// close cuts all connections.
func (l *listener) close() {
	_ = l.server.Close()
	<-l.done
}
