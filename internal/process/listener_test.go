package process

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestShutdownClosesIdleConnectionsDuringALongResponse guards against idle
// connections that stay open until the longest request ends: requests that
// arrive on them then would be cut off. One response is in progress while another
// connection is idle.
func TestShutdownClosesIdleConnectionsDuringALongResponse(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(started)
			<-release
		}
	})
	l, err := listen(transport.TCP{}, "127.0.0.1:0", handler, listenOptions{})
	if err != nil {
		t.Fatal(err)
	}
	idle := sendRequest(t, l.address(), "/short")
	long := sendRequest(t, l.address(), "/long")
	<-started
	_, err = http.ReadResponse(bufio.NewReader(idle), nil)
	if err != nil {
		t.Fatal(err)
	}
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		l.shutdown(context.Background(), time.Millisecond)
	}()
	_ = idle.SetReadDeadline(time.Now().Add(3 * minIdleTime))
	_, err = idle.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	if err == nil || ok && timeout.Timeout() {
		t.Errorf("the idle connection is still open after %s: %v", 3*minIdleTime, err)
	}
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(long), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the long response was cut off: %v", err)
	}
	<-shutdownDone
}

func sendRequest(t *testing.T, address, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
