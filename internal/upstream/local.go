package upstream

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// IsLocal reports whether a connection could not be opened for want of descriptors, memory
// or ports on this host. That says nothing about the server.
func IsLocal(err error) bool {
	return LacksDescriptors(err) || errors.IsAny(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM)
}

// LacksDescriptors reports whether a connection could not be opened because the process or
// the host has no descriptor left.
func LacksDescriptors(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE)
}

// IsTimeout reports whether an operation ended because it took too long.
func IsTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
