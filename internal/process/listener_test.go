package process

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
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
	l, err := listen(transport.TCP{}, "127.0.0.1:0", handler)
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

// TestRequestOnConnectionClosedAsIdleIsNotServed guards against serving a request
// whose response would be lost: the connection is closed as idle after the
// request was read and before its handler starts.
func TestRequestOnConnectionClosedAsIdleIsNotServed(t *testing.T) {
	served := false
	l := &listener{conns: make(map[net.Conn]*connection)}
	handler := l.closeWhenDraining(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
	conn, _ := net.Pipe()
	ctx := l.withConnection(context.Background(), conn)
	l.trackState(conn, http.StateIdle)
	l.conns[conn].stateSince = time.Now().Add(-2 * minIdleTime)
	l.draining.Store(true)
	if !l.closeIdle() {
		t.Fatal("closeIdle left the idle connection open")
	}
	l.trackState(conn, http.StateActive)
	defer func() {
		if recover() != http.ErrAbortHandler || served {
			t.Error("a request on a closed connection was served or not aborted with http.ErrAbortHandler")
		}
	}()
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
}
