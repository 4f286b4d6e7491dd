package process

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	// pauseQueueTimeout is how long a pausing listener waits for another connection before its
	// queue counts as empty. maxPauseQueueTime bounds the time for emptying the queue.
	pauseQueueTimeout = time.Millisecond
	maxPauseQueueTime = 20 * time.Millisecond
)

// pausableListener is a listener whose socket can be closed for a time, so that the operating
// system refuses connections. It accepts the connections that wait in the queue first; one that
// arrives between the last look at the queue and the close is reset, and nothing of it was read.
type pausableListener struct {
	network transport.Network
	// address is the one that the first socket was bound to.
	address net.Addr

	mu sync.Mutex
	// socket is nil while the listener is paused.
	socket deadlineListener
	// closeBy is set while the socket is about to be closed for a pause: the time by which
	// it is closed even if its queue is not empty.
	closeBy time.Time
	// accepted is set if a connection was accepted since an accept last began to empty the
	// queue, so that more may wait.
	accepted bool
	closed   bool
	// deadline is the one that SetDeadline has set. Accept returns an error when it passes, but
	// none for the deadline of a pause, because the HTTP server would stop serving.
	deadline time.Time
	// changed is closed and replaced when the socket is opened or the listener is closed.
	changed chan struct{}
}

// listenPausable listens on address. It fails if the listeners of the network have no
// deadlines.
func listenPausable(network transport.Network, address string) (*pausableListener, error) {
	l := &pausableListener{network: network, changed: make(chan struct{})}
	socket, err := l.open(address)
	if err != nil {
		return nil, errors.Newf("start listener: %w", err)
	}
	l.socket, l.address = socket, socket.Addr()
	return l, nil
}

func (l *pausableListener) open(address string) (deadlineListener, error) {
	socket, err := l.network.Listen(address)
	if err != nil {
		return nil, err
	}
	limited, ok := socket.(deadlineListener)
	if !ok {
		_ = socket.Close()
		return nil, errors.New("listener has no deadline")
	}
	return limited, nil
}

// Accept implements net.Listener. It waits while the listener is paused.
func (l *pausableListener) Accept() (net.Conn, error) {
	for {
		socket, err := l.current()
		if err != nil {
			return nil, err
		}
		conn, err := socket.Accept()
		if !l.endAccept(socket, err) {
			return conn, err
		}
	}
}

// current returns the open socket, and waits for it while the listener is paused.
func (l *pausableListener) current() (deadlineListener, error) {
	for {
		l.mu.Lock()
		socket, closed, changed := l.socket, l.closed, l.changed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case socket != nil:
			return socket, nil
		}
		<-changed
	}
}

// endAccept evaluates an accept that ended with err. It closes the socket for a pause once the
// queue is empty, and reports whether another accept must follow.
func (l *pausableListener) endAccept(socket deadlineListener, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.accepted = true
		return false
	case l.closed:
		return false
	case l.socket != socket:
		return true
	case l.closeBy.IsZero():
		// The deadline of a pause that has ended in the meantime is no error for callers, unlike
		// one of SetDeadline.
		return errors.Is(err, os.ErrDeadlineExceeded) && l.deadline.IsZero()
	}
	now := time.Now()
	// An accept whose deadline has already passed fails without looking at the queue. So
	// another one with a new deadline follows, until one finds no connection.
	if errors.Is(err, os.ErrDeadlineExceeded) && l.accepted && now.Before(l.closeBy) {
		l.accepted = false
		_ = socket.SetDeadline(now.Add(pauseQueueTimeout))
		return true
	}
	_ = socket.Close()
	l.socket, l.closeBy = nil, time.Time{}
	return true
}

// pause makes the operating system refuse connections until resume is called.
func (l *pausableListener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.socket == nil || !l.closeBy.IsZero() || !l.deadline.IsZero() {
		return
	}
	l.closeBy, l.accepted = time.Now().Add(maxPauseQueueTime), true
	_ = l.socket.SetDeadline(pastDeadline)
}

// resume opens the socket again at the same address. After an error it may be called again.
func (l *pausableListener) resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if l.socket != nil {
		if !l.closeBy.IsZero() {
			l.closeBy = time.Time{}
			_ = l.socket.SetDeadline(time.Time{})
		}
		return nil
	}
	socket, err := l.open(l.address.String())
	if err != nil {
		return errors.Newf("listen again: %w", err)
	}
	l.socket = socket
	l.signal()
	return nil
}

// signal wakes the accepts that wait in current; mu is held.
func (l *pausableListener) signal() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Addr implements net.Listener.
func (l *pausableListener) Addr() net.Addr {
	return l.address
}

// SyscallConn implements syscall.Conn for transport.HasQueued. It fails while the listener is
// paused.
func (l *pausableListener) SyscallConn() (syscall.RawConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == nil {
		return nil, net.ErrClosed
	}
	return rawOf(l.socket)
}

// SetDeadline implements deadlineListener. It fails while the listener is paused.
func (l *pausableListener) SetDeadline(at time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == nil {
		return net.ErrClosed
	}
	l.closeBy, l.deadline = time.Time{}, at
	return l.socket.SetDeadline(at)
}

// Close implements net.Listener.
func (l *pausableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.signal()
	if l.socket == nil {
		return nil
	}
	return l.socket.Close()
}
