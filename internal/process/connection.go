package process

import (
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	// queueTimeout is how long no connection must arrive for the queue of a listener
	// to count as empty.
	queueTimeout = 100 * time.Millisecond
	// acceptRetryInterval is the pause between accepts while no descriptors are free.
	acceptRetryInterval = 10 * time.Millisecond
)

// pastDeadline makes reads and accepts fail at once.
var pastDeadline = time.Unix(1, 0)

// deadlineListener is a listener whose Accept has a deadline, such as one of TCP.
type deadlineListener interface {
	net.Listener
	SetDeadline(at time.Time) error
}

// connectionListener wraps the connections that it accepts.
type connectionListener struct {
	net.Listener
	// noWait is set once Accept must end as soon as no connection is in the queue, without
	// waiting for one.
	noWait *atomic.Bool
}

func newConnectionListener(socket net.Listener) connectionListener {
	return connectionListener{Listener: socket, noWait: &atomic.Bool{}}
}

// Accept implements net.Listener. After stop, it returns the connections that wait in
// the queue, then net.ErrClosed. While no descriptors are free, it tries again at short
// intervals: the HTTP server would double its pause at each failure, and callers would
// wait although descriptors are free again.
func (l connectionListener) Accept() (net.Conn, error) {
	conn, err := l.acceptNext()
	if isExhausted(err) {
		log.Printf("accept connection: %v; retrying every %s", err, acceptRetryInterval)
	}
	for isExhausted(err) {
		time.Sleep(acceptRetryInterval)
		conn, err = l.acceptNext()
	}
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, idleSince: time.Now()}, nil
}

// isExhausted reports whether an accept failed because no descriptors are free.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// acceptNext waits for a connection, or only looks at the queue after stop.
func (l connectionListener) acceptNext() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptQueued()
	}
	return conn, err
}

// acceptQueued accepts a connection that waits in the queue. An accept after its deadline
// doesn't look at the queue. The deadline may also pass while the process is not
// scheduled, so that the queue must be checked when it has passed.
func (l connectionListener) acceptQueued() (net.Conn, error) {
	limited, ok := l.Listener.(deadlineListener)
	if !ok {
		return nil, net.ErrClosed
	}
	for !l.noWait.Load() || transport.HasQueued(l.Listener) {
		_ = limited.SetDeadline(time.Now().Add(queueTimeout))
		conn, err := limited.Accept()
		if l.noWait.Load() {
			l.stop()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if !transport.HasQueued(l.Listener) {
			break
		}
	}
	return nil, net.ErrClosed
}

// stop makes Accept end as soon as the queue is empty. It reports whether it can.
func (l connectionListener) stop() bool {
	limited, ok := l.Listener.(deadlineListener)
	return ok && limited.SetDeadline(pastDeadline) == nil
}

// stopWaiting makes Accept end without waiting for further connections. It is called after
// stop.
func (l connectionListener) stopWaiting() {
	l.noWait.Store(true)
	l.stop()
}

// connection is an accepted connection that can be closed while it is idle without
// losing a request. It isn't closed from outside, because the HTTP server may have
// read a request already. Instead, the read that waits for the next request fails,
// upon which the HTTP server closes the connection. As soon as bytes of a request
// have been read, or are in the socket, reads no longer fail.
type connection struct {
	net.Conn

	mu sync.Mutex
	// inRequest is set from the first byte of a request to the end of its response.
	inRequest bool
	idleSince time.Time
	// closing is set while reads fail so that the HTTP server closes the connection.
	closing bool
	// deadline is the read deadline that the HTTP server has set.
	deadline time.Time
}

// NetConn returns the wrapped connection, whose file descriptor transport.IsClosedByPeer needs.
func (c *connection) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.endRead(n) {
			return n, err
		}
	}
}

// endRead evaluates a read of n bytes and reports whether it must be repeated, because
// bytes arrived after it had failed.
func (c *connection) endRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.setInRequest()
		return false
	}
	if !c.closing || c.isSocketEmpty() {
		return false
	}
	c.setInRequest()
	return true
}

// isSocketEmpty reports whether a closing connection is open and has no unread bytes.
// A read after its deadline doesn't look at the socket. The caller holds mu.
func (c *connection) isSocketEmpty() bool {
	_ = c.Conn.SetReadDeadline(time.Time{})
	empty := transport.IsReusable(c.Conn)
	_ = c.Conn.SetReadDeadline(pastDeadline)
	return empty
}

// setInRequest keeps the connection open for a request. The caller holds mu.
func (c *connection) setInRequest() {
	c.inRequest = true
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite ends the response while the rest of a request is still unread, so that the
// close doesn't reset the connection before the caller has the response. The HTTP server
// calls it.
func (c *connection) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return halfCloser.CloseWrite()
}

// SetLinger makes the close reset the connection if seconds is 0, as that of a TCP
// connection does. It does nothing for other connections.
func (c *connection) SetLinger(seconds int) error {
	lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return lingerer.SetLinger(seconds)
}

// beginRequest records that the HTTP server has read the header of a request.
func (c *connection) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setInRequest()
}

// endRequest records that the response is complete.
func (c *connection) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
	c.idleSince = time.Now()
}

// closeAfter makes the HTTP server close the connection if it has been idle for the
// duration.
func (c *connection) closeAfter(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest || time.Since(c.idleSince) < idle {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}
