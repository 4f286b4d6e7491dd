// Package rawserver runs backend servers of tests that answer with bytes which no HTTP server
// sends, and before they have read the body of a request.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Answer writes the response to one request to conn, which is closed when it returns. The body of
// the request has not been read yet, but for what came with its head.
type Answer func(conn *net.TCPConn, request *http.Request)

// Loopback is the address of a free port on loopback.
const Loopback = "127.0.0.1:0"

// Start starts a server at address, an IP address and a port, until the test ends. It answers one
// request on each connection, and returns the address with its port.
func Start(t testing.TB, address string, answer Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go run(listener, answer)
	return listener.Addr().String()
}

// run accepts connections until the listener is closed.
func run(listener net.Listener, answer Answer) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn.(*net.TCPConn), answer)
	}
}

// serve answers one request.
func serve(conn *net.TCPConn, answer Answer) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		answer(conn, request)
	}
}

// Text returns an Answer with the given text.
func Text(text string) Answer {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = conn.Write([]byte(text))
	}
}

// Reset resets a connection, as the kernel does when a process ends with bytes unread.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
