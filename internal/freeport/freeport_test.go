package freeport

import (
	"net"
	"testing"
)

// TestBlockSkipsTakenPorts guards against a block with a port that another
// process listens on.
func TestBlockSkipsTakenPorts(t *testing.T) {
	for range 50 {
		base, err := Block(1, 2, 13)
		if err != nil {
			t.Fatal(err)
		}
		if base.Port() < lowestPort || base.Port() >= highestPort {
			t.Fatalf("port %d is not between %d and %d", base.Port(), lowestPort, highestPort)
		}
		taken, err := net.Listen("tcp", Above(base, 13).String())
		if err != nil {
			t.Fatalf("a chosen port is not free: %v", err)
		}
		if allFree(base, []uint16{0, 1, 2, 13}) {
			t.Errorf("port %d counts as free although a listener is open", Above(base, 13).Port())
		}
		_ = taken.Close()
	}
}
