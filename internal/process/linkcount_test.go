package process

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// pipeOver returns both ends of a connection over a network whose bytes are counted: the
// dialled end and the accepted one.
func pipeOver(t *testing.T, network transport.Network, address string) (dialled, accepted net.Conn) {
	t.Helper()
	l, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	done := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		done <- conn
	}()
	dialled, err = network.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted = <-done
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return dialled, accepted
}

// TestCountedConnections guards against bytes or packets that are counted in the wrong
// direction, twice or not at all, on accepted and on dialled connections.
func TestCountedConnections(t *testing.T) {
	var server, caller linkCounter
	_, _ = pipeOver(t, countedNetwork{Network: transport.TCP{}, counter: &server}, "127.0.0.1:0")
	dialled, accepted := pipeOver(t, countedNetwork{Network: transport.TCP{}, counter: &caller}, "127.0.0.1:0")
	if server.total() != (overload.Traffic{}) || caller.total() != (overload.Traffic{}) {
		t.Errorf("connections without bytes are counted: %+v, %+v", server.total(), caller.total())
	}
	_, err := io.WriteString(dialled, "0123456789")
	if err != nil {
		t.Fatal(err)
	}
	const sent = 10 + overload.PacketOverhead
	if got, want := caller.total(), (overload.Traffic{Sent: sent, Received: overload.PacketOverhead}); got != want {
		t.Errorf("after a write: got %+v, want %+v", got, want)
	}
	_, err = io.ReadFull(accepted, make([]byte, 10))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := caller.total(), (overload.Traffic{Sent: sent + overload.PacketOverhead, Received: sent + overload.PacketOverhead}); got != want {
		t.Errorf("after the read: got %+v, want %+v", got, want)
	}
	_ = dialled.Close()
	before := caller.total()
	_, err = accepted.Read(make([]byte, 10))
	if err == nil || caller.total() != before {
		t.Errorf("the end of the connection: error %v, counted %+v, want %+v", err, caller.total(), before)
	}
}

// TestCountedConnectionsKeepTheirInterfaces guards against wrappers that hide from IsReusable
// that a server has closed an idle connection, that make a simulated connection look closed, and
// that hide half closes, resets and deadlines.
func TestCountedConnectionsKeepTheirInterfaces(t *testing.T) {
	var counter linkCounter
	dialled, accepted := pipeOver(t, countedNetwork{Network: transport.TCP{}, counter: &counter}, "127.0.0.1:0")
	for _, conn := range []net.Conn{dialled, accepted} {
		_, isSyscall := conn.(syscall.Conn)
		_, halfCloses := conn.(interface{ CloseWrite() error })
		_, resets := conn.(interface{ SetLinger(int) error })
		if !isSyscall || !halfCloses || !resets {
			t.Errorf("over TCP: file descriptor %t, half close %t, reset %t; want all", isSyscall, halfCloses, resets)
		}
		if !transport.IsReusable(conn) {
			t.Error("an idle connection does not count as reusable")
		}
	}
	err := accepted.(interface{ CloseWrite() error }).CloseWrite()
	if err != nil {
		t.Fatal(err)
	}
	await(t, "the half close arrives", func() bool { return !transport.IsReusable(dialled) })
	var simulated fake.Network
	dialled, _ = pipeOver(t, countedNetwork{Network: simulated.Host("entry"), counter: &counter}, "entry:1")
	if !transport.IsReusable(dialled) {
		t.Error("a simulated connection does not count as reusable")
	}
	l, err := countedNetwork{Network: transport.TCP{}, counter: &counter}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if _, ok := l.(deadlineListener); !ok {
		t.Error("the listener has no deadline, which a graceful shutdown needs")
	}
}
