package peer

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestBrokenResponseIsNoResult guards against a result that is taken from a response with a broken
// head, or from a part of one whose connection was reset while the request was being written.
func TestBrokenResponseIsNoResult(t *testing.T) {
	message, err := Encode("result")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		statusLine, fields string
		// resets is set if the connection is reset after the response.
		resets bool
		taken  bool
	}{
		{"HTTP/1.1 200 OK", "", false, true},
		{"HTTP/1.1 000 OK", "", false, false},
		{"HTTP/1.1 101 OK", "", false, false},
		{"HTTP/1.1 200 OK", "X Y: 1\r\n", false, false},
		{"HTTP/1.1 200 OK", fmt.Sprintf("Content-Length : %d\r\n", len(message)), false, false},
		{"HTTP/1.1 200 OK", "X\x01: 1\r\n", false, false},
		{"HTTP/1.1 200 OK", "", true, false},
	} {
		address := answerEarly(t, fmt.Sprintf("%s\r\nContent-Type: application/cbor\r\n%s\r\n%s", c.statusLine, c.fields, message), c.resets)
		client := &Client{HTTP: transport.Client(transport.TCP{})}
		request := make([]byte, MaxMessageBytes)
		result, err := Call[[]byte, string](t.Context(), client, address, "/x", &request)
		if (err == nil) != c.taken || c.taken && *result != "result" {
			t.Errorf("%q, %q, resets %v: error %v, want the result: %v", c.statusLine, c.fields, c.resets, err, c.taken)
		}
		client.HTTP.CloseIdleConnections()
	}
}

// answerEarly starts a server that answers one request with text before it has read its body, and
// then resets the connection or ends its own direction in order. It returns the server's address.
func answerEarly(t *testing.T, text string, resets bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte(text))
		time.Sleep(20 * time.Millisecond)
		if resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(100 * time.Millisecond)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}
