package transport_test

import (
	"net"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestEndOfAConnectionIsSeen guards against a connection that its peer has closed or reset, and
// that counts as open.
func TestEndOfAConnectionIsSeen(t *testing.T) {
	for _, linger := range []int{-1, 0} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peer, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		ctx := transport.WithConn(t.Context(), conn)
		if transport.IsClosedByPeer(ctx) {
			t.Errorf("linger %d: an open connection counts as closed", linger)
		}
		_ = peer.(*net.TCPConn).SetLinger(linger)
		_ = peer.Close()
		// A look takes the error of a reset from the socket, so that the first one must see it.
		time.Sleep(100 * time.Millisecond)
		if !transport.IsClosedByPeer(ctx) {
			t.Errorf("linger %d: a closed connection counts as open", linger)
		}
		_ = conn.Close()
		_ = listener.Close()
	}
}
