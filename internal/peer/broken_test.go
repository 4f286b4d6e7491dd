package peer

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/rawserver"
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
		text := fmt.Sprintf("%s\r\nContent-Type: application/cbor\r\n%s\r\n%s", c.statusLine, c.fields, message)
		address := rawserver.Start(t, rawserver.Loopback, answerEarly(text, c.resets))
		client := &Client{HTTP: transport.Client(transport.TCP{})}
		request := make([]byte, MaxMessageBytes)
		result, err := Call[[]byte, string](t.Context(), client, address, "/x", &request)
		if (err == nil) != c.taken || c.taken && *result != "result" {
			t.Errorf("%q, %q, resets %v: error %v, want the result: %v", c.statusLine, c.fields, c.resets, err, c.taken)
		}
		client.HTTP.CloseIdleConnections()
	}
}

// answerEarly returns an answer that sends text before the body of the request has been read, and
// then resets the connection or ends its own direction in order.
func answerEarly(text string, resets bool) rawserver.Answer {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = conn.Write([]byte(text))
		time.Sleep(20 * time.Millisecond)
		if resets {
			rawserver.Reset(conn)
			return
		}
		_ = conn.CloseWrite()
		time.Sleep(100 * time.Millisecond)
	}
}
