package transport

import (
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
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && reusable
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
