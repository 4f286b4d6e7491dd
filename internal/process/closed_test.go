package process

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestHandlerCanSeeThatItsCallerHasGone guards against a listener whose handlers cannot tell
// that the end of the connection has arrived, because the connection is wrapped or not in the
// context. The connection is accepted once its caller has closed it.
func TestHandlerCanSeeThatItsCallerHasGone(t *testing.T) {
	for _, closed := range []bool{true, false} {
		ready := make(chan struct{})
		network := &hookedNetwork{beforeAccept: func() { <-ready }}
		seen := make(chan bool, 1)
		l := listenForTest(t, network, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			seen <- transport.IsClosedByPeer(r.Context())
		}))
		conn, err := net.Dial("tcp", l.socket.Addr().String())
		if err == nil {
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n\r\n")
		}
		if err == nil && closed {
			err = conn.Close()
		}
		if err != nil {
			t.Fatal(err)
		}
		close(ready)
		if got := <-seen; got != closed {
			t.Errorf("closed by the peer is %t, want %t", got, closed)
		}
		if !closed {
			_ = conn.Close()
		}
	}
}
