package process

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// linkCounter counts the bytes that connections have received and sent, with the overhead of
// their packets.
type linkCounter struct {
	received, sent atomic.Int64
}

// countRead counts a read of n bytes and the acknowledgement that it causes.
func (c *linkCounter) countRead(n int) {
	if n > 0 {
		c.received.Add(int64(n) + overload.PacketOverhead)
		c.sent.Add(overload.PacketOverhead)
	}
}

// countWrite counts a write of n bytes and its acknowledgement.
func (c *linkCounter) countWrite(n int) {
	if n > 0 {
		c.sent.Add(int64(n) + overload.PacketOverhead)
		c.received.Add(overload.PacketOverhead)
	}
}

// total returns the bytes counted since the start.
func (c *linkCounter) total() overload.Traffic {
	return overload.Traffic{Received: c.received.Load(), Sent: c.sent.Load()}
}

// countedNetwork counts what the connections of a network receive and send.
type countedNetwork struct {
	transport.Network
	counter *linkCounter
}

// Listen implements transport.Network.
func (n countedNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	counted := countedListener{Listener: l, counter: n.counter}
	limited, ok := l.(deadlineListener)
	if !ok {
		return counted, nil
	}
	return countedDeadlineListener{countedListener: counted, limited: limited}, nil
}

// DialContext implements transport.Network.
func (n countedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.counter.wrap(conn), nil
}

// countedListener counts what the connections that it accepts receive and send.
type countedListener struct {
	net.Listener
	counter *linkCounter
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.wrap(conn), nil
}

// countedDeadlineListener is a countedListener that is also a deadlineListener, which a
// graceful shutdown needs.
type countedDeadlineListener struct {
	countedListener
	limited deadlineListener
}

// SetDeadline implements deadlineListener.
func (l countedDeadlineListener) SetDeadline(at time.Time) error {
	return l.limited.SetDeadline(at)
}

// SyscallConn implements syscall.Conn for transport.HasQueued. It fails if the listener has no
// file descriptor.
func (l countedDeadlineListener) SyscallConn() (syscall.RawConn, error) {
	return rawOf(l.Listener)
}

// rawOf returns access to the file descriptor of a listener.
func rawOf(listener net.Listener) (syscall.RawConn, error) {
	raw, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("listener has no file descriptor")
	}
	return raw.SyscallConn()
}

// wrap returns a connection that counts. It is a syscall.Conn if conn is one, because
// transport.IsReusable treats others as those of a simulated network.
func (c *linkCounter) wrap(conn net.Conn) net.Conn {
	counted := countedConn{Conn: conn, counter: c}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return counted
	}
	return countedSyscallConn{countedConn: counted, raw: raw}
}

// countedConn counts what a connection receives and sends.
type countedConn struct {
	net.Conn
	counter *linkCounter
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.countRead(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.countWrite(n)
	return n, err
}

// CloseWrite closes the sending direction. It does nothing if the connection can't do that.
func (c countedConn) CloseWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return halfCloser.CloseWrite()
}

// SetLinger sets what a close does with bytes that were not sent. It does nothing if the
// connection can't do that.
func (c countedConn) SetLinger(seconds int) error {
	lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	return lingerer.SetLinger(seconds)
}

// countedSyscallConn is a countedConn with a file descriptor.
type countedSyscallConn struct {
	countedConn
	raw syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c countedSyscallConn) SyscallConn() (syscall.RawConn, error) {
	return c.raw.SyscallConn()
}
