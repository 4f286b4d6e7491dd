// Package freeport chooses listen addresses for tests that start processes.
package freeport

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

const (
	// lowestPort and highestPort bound the chosen ports. They are below the
	// ephemeral ports of common systems, so that no outgoing connection takes a
	// chosen port before its process listens on it.
	lowestPort  = 10_000
	highestPort = 32_000
	maxTries    = 1000
)

// ErrNone reports that no block of free ports was found.
var ErrNone = errors.New("no free ports")

// Block returns a loopback address whose port is free, as are the ports at the
// given offsets above it.
func Block(offsets ...uint16) (netip.AddrPort, error) {
	for range maxTries {
		base := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), lowestPort+rand.N[uint16](highestPort-lowestPort))
		if allFree(base, append([]uint16{0}, offsets...)) {
			return base, nil
		}
	}
	return netip.AddrPort{}, errors.Newf("%d random ports between %d and %d with offsets %v: %w", maxTries, lowestPort, highestPort, offsets, ErrNone)
}

// Above returns base with offset added to its port.
func Above(base netip.AddrPort, offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(base.Addr(), base.Port()+offset)
}

// allFree reports whether a listener can be opened on each port.
func allFree(base netip.AddrPort, offsets []uint16) bool {
	for _, offset := range offsets {
		listener, err := net.Listen("tcp", Above(base, offset).String())
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
