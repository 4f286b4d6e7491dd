package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay unacknowledged before a
// connection is given up, in milliseconds.
const userTimeoutMillis = 2500

// IsQuiet tells whether an idle connection is open and nothing has arrived on
// it. A connection that has no descriptor counts as quiet.
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

// setUserTimeout ends a connection whose peer acknowledges nothing.
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
