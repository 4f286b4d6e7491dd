package transport

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeoutMillis is how long sent bytes may stay unacknowledged before the
// kernel closes the connection, in milliseconds.
const userTimeoutMillis = 2500

// IsReusable reports whether an idle connection is open and has no unread bytes.
// It does not block. A connection without a file descriptor, such as one of a
// simulated network, always counts as reusable.
func IsReusable(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(descriptor uintptr) bool {
		_, err := peek(descriptor)
		reusable = isEmpty(err)
		return true
	})
	return err == nil && reusable
}

// peek returns the number of unread bytes at a socket, at most one, without reading them. It
// does not block. 0 without an error means that the peer has closed the connection.
func peek(descriptor uintptr) (int, error) {
	var buffer [1]byte
	n, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// isEmpty reports whether peek has found an open connection without unread bytes.
func isEmpty(err error) bool {
	return err == unix.EAGAIN || err == unix.EINTR
}

// HasQueued reports whether connections wait to be accepted by a listener. It does not block.
// It returns false for a listener without a file descriptor, such as one of a simulated
// network.
func HasQueued(listener net.Listener) bool {
	syscallListener, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallListener.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		_, err := unix.Poll(polled, 0)
		queued = err == nil && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && queued
}

// connKey is the context key under which WithConn stores the connection.
type connKey struct{}

// WithConn returns a context that holds the connection on which a request arrived, for
// ConnOf and IsClosedByPeer. It is an http.Server's ConnContext function.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection on which the request of ctx arrived; nil if ctx holds none.
func ConnOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// IsClosedByPeer reports whether the peer has closed the connection on which a request arrived.
// It looks at the socket, because the HTTP server cancels ctx only once its reader has run,
// which may be after the handler has ended if both wait for a processor. It returns false
// if ctx holds no connection, or one without a file descriptor, such as one of a simulated
// network.
func IsClosedByPeer(ctx context.Context) bool {
	conn := ConnOf(ctx)
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Read would block: the HTTP server's reader holds the read lock of the descriptor.
	err = raw.Control(func(descriptor uintptr) {
		n, err := peek(descriptor)
		closed = err == nil && n == 0 || err != nil && !isEmpty(err)
	})
	return err != nil || closed
}

// setUserTimeout makes the kernel close a connection whose peer acknowledges no
// data within userTimeoutMillis. It is a net.Dialer Control function.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(descriptor uintptr) {
		sockoptErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
