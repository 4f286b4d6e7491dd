package process

import (
	"context"
	"math"
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

	// group holds the connections of this listener and of others that share it.
	group *connectionGroup

	mu    sync.Mutex
	conns map[*connection]struct{}
}

// listen starts serving handler on address.
func listen(network transport.Network, address string, handler http.Handler, options listenOptions) (*listener, error) {
	socket, err := network.Listen(address)
	if err != nil {
		return nil, errors.Newf("start listener: %w", err)
	}
	return serveOn(socket, handler, options), nil
}

// serveOn starts serving handler on a socket.
func serveOn(socket net.Listener, handler http.Handler, options listenOptions) *listener {
	l := &listener{
		socket: newConnectionListener(socket, options.limits),
		done:   make(chan struct{}),
		group:  options.group,
		conns:  make(map[*connection]struct{}),
	}
	if l.group == nil {
		l.group = &connectionGroup{}
	}
	l.server = &http.Server{
		Handler: l.serveRequests(options.bodies.guard(handler)),
		// The connections bound the header and the time without a request.
		MaxHeaderBytes: math.MaxInt32,
		ConnState:      l.trackState,
		ConnContext:    transport.WithConn,
	}
	go l.run()
	return l
}

func (l *listener) run() {
	defer close(l.done)
	_ = l.server.Serve(l.socket)
}

// serveRequests tells connections that the header of a request is complete, and makes the
// responses of a draining listener close their connections.
func (l *listener) serveRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := transport.ConnOf(r.Context()).(*connection); ok {
			c.beginRequest(r.ContentLength != 0)
			if l.group.isOverHeads() && c.heldHead() > smallHeadBytes {
				c.recordExcess(bodyRefused)
				refuseForRoom(w)
				return
			}
		}
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// refuseForRoom refuses a request, which has not run, for want of memory.
func refuseForRoom(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "0.05")
	http.Error(w, "no_memory", http.StatusServiceUnavailable)
}

// trackState records the state of a connection. The HTTP server calls it at each
// change.
func (l *listener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.group = l.group
		l.setOpen(c, true)
		l.group.add(c)
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		l.setOpen(c, false)
		l.group.remove(c)
	}
}

// setOpen records whether a connection is open.
func (l *listener) setOpen(c *connection, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = struct{}{}
	} else {
		delete(l.conns, c)
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
