package transport

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// conn is a TCP connection whose reads tell a reset, or another loss of the connection, from an
// end in order.
//
// The kernel reports the error that ended a connection once, to the first read or write that
// comes. All later reads see the same as after an end in order. A conn keeps that error, so
// that it doesn't matter which of them came first.
type conn struct {
	net.Conn
	raw syscall.RawConn

	// writing is held during each write.
	writing sync.Mutex

	mu sync.Mutex
	// loss is the error that ended the connection, if a read or a write has taken it.
	loss error
}

// newConn returns a conn over a TCP connection.
func newConn(tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Newf("access descriptor: %w", err)
	}
	return &conn{Conn: tcp, raw: raw}, nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.raw, nil
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended the connection in order.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, c.endOfReads()
	default:
		c.recordLoss(err)
		return n, err
	}
}

// endOfReads returns io.EOF, or the error that ended the connection if it was not the peer's end.
func (c *conn) endOfReads() error {
	if c.isDead() {
		// A write in progress, which may have taken the error, returns at once.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loss != nil {
		return c.loss
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.recordLoss(err)
	}
	return n, err
}

// recordLoss records err if it ended the connection. The kernel reports EPIPE for a reset that
// comes after the peer's end in order: what the peer sent before has all arrived.
func (c *conn) recordLoss(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loss == nil {
		c.loss = err
	}
}

// isDead reports whether the kernel has closed the connection, so that no operation on it waits.
// After an end in order that is so only once the peer has refused bytes sent to it.
func (c *conn) isDead() bool {
	dead := false
	err := c.raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		dead = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && dead
}
