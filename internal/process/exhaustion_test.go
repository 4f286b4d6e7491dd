package process

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// exhaustedNetwork accepts no connections while the process has no free descriptors.
type exhaustedNetwork struct {
	transport.Network
	exhausted atomic.Bool
}

// Listen implements transport.Network.
func (e *exhaustedNetwork) Listen(address string) (net.Listener, error) {
	inner, err := e.Network.Listen(address)
	return &exhaustedListener{Listener: inner, network: e}, err
}

type exhaustedListener struct {
	net.Listener
	network *exhaustedNetwork
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.network.exhausted.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestCallersAreAcceptedAsSoonAsADescriptorIsFree guards against callers that wait
// without an answer for up to a second after descriptors are free again, because the
// HTTP server doubles its pause at each failed accept.
func TestCallersAreAcceptedAsSoonAsADescriptorIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network fake.Network
		limited := &exhaustedNetwork{Network: network.Host("entry")}
		limited.exhausted.Store(true)
		l, err := listen(limited, "entry:1", &echo{}, listenOptions{})
		if err != nil {
			t.Fatal(err)
		}
		defer l.close()
		conn, err := network.Host("caller").DialContext(context.Background(), "tcp", "entry:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		go func() { _, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: test\r\n\r\n")) }()
		time.Sleep(700 * time.Millisecond)
		limited.exhausted.Store(false)
		free := time.Now()
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		waited := time.Since(free)
		if err != nil || waited > 50*time.Millisecond {
			t.Errorf("the caller was answered %s after a descriptor was free: %v", waited, err)
		}
	})
}
