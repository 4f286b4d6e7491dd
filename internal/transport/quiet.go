package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// userTimeout is how long sent bytes may stay unacknowledged before a
// connection is given up, in milliseconds.
const userTimeout = 2500

// IsQuiet tells whether an idle connection is open and nothing has arrived on
// it. A connection that has no descriptor counts as quiet.
func IsQuiet(conn net.Conn) bool {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && quiet
}

// setUserTimeout ends a connection whose peer acknowledges nothing.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	})
	if err != nil {
		return err
	}
	return failed
}
