package process

import (
	"log"
	"net"
	"os"
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
	// limits returns the limits of requests; nil stands for the default ones.
	limits func() requestLimits
}

func newConnectionListener(socket net.Listener, limits func() requestLimits) connectionListener {
	return connectionListener{Listener: socket, noWait: &atomic.Bool{}, limits: limits}
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
	return newConnection(conn, l.limits), nil
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
