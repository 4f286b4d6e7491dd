package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/rawserver"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	cutAttempt = "attempt-1"
	// errorText is text of an error response that no caller may take for an event.
	errorText = "Internal Server Error"
	okHead    = "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": " + cutAttempt + "\r\n"
)

// rawServer starts a server that answers one request with text and closes the connection.
func rawServer(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = listener.Close() }()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	}()
	return listener.Addr().String()
}

// TestCutHeadIsNoResponse guards against an empty or short success for a server that stops in
// the middle of the head of its response.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		whole := okHead + "Content-Type: text/event-stream\r\n" + framing + "\r\n"
		for end := range len(whole) {
			client := &Client{}
			_, err := client.Do(t.Context(), Call{Address: rawServer(t, whole[:end]), Attempt: cutAttempt, Method: http.MethodGet, Path: "/x"})
			if !errors.Is(err, ErrUnclear) {
				t.Errorf("call: error %v after %q, want ErrUnclear", err, whole[:end])
			}
			_, err = client.Open(t.Context(), Chat{Address: rawServer(t, whole[:end]), Attempt: cutAttempt})
			if !errors.Is(err, ErrUnclear) {
				t.Errorf("stream: error %v after %q, want ErrUnclear", err, whole[:end])
			}
			_, err = client.Resume(t.Context(), Chat{Address: rawServer(t, whole[:end]), Attempt: cutAttempt})
			if !errors.Is(err, ErrUnclear) {
				t.Errorf("resumed stream: error %v after %q, want ErrUnclear", err, whole[:end])
			}
		}
	}
}

// TestErrorIsNoEvent guards against an error response that is taken for events, or for the
// end, of a resumed stream.
func TestErrorIsNoEvent(t *testing.T) {
	head := okHead + "Content-Type: text/event-stream\r\n\r\n"
	for name, text := range map[string]string{
		"500":              strings.Replace(okHead, "200", "500", 1) + "\r\n" + errorText + "\n\n",
		"404":              strings.Replace(okHead, "200", "404", 1) + "\r\n" + errorText + "\n\n",
		"204":              strings.Replace(okHead, "200", "204", 1) + "\r\n",
		"206":              strings.Replace(okHead, "200", "206", 1) + "\r\ndata: [DONE]\n\n",
		"text":             head + errorText + "\n\n",
		"JSON":             head + "{\"error\":\"" + errorText + "\"}\n\n",
		"JSON as data":     head + "data: {\"error\":\"" + errorText + "\"}\n\n",
		"text as data":     head + "data: " + errorText + "\n\n",
		"head in the body": head + "HTTP/1.1 500 " + errorText + "\r\nContent-Length: 0\r\n\r\n",
		"nothing":          head,
		"nothing, length":  okHead + "Content-Length: 0\r\n\r\n",
		"nothing, chunked": okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"end mark cut":     head + "data: [DON",
	} {
		t.Run(name, func(t *testing.T) {
			client := &Client{}
			stream, err := client.Resume(t.Context(), Chat{Address: rawServer(t, text), Attempt: cutAttempt})
			if err != nil {
				var status *StatusError
				if !errors.As(err, &status) {
					t.Errorf("error %v, want the status", err)
				}
				return
			}
			defer stream.Close()
			event, err := stream.Next()
			if !errors.Is(err, upstream.ErrTruncated) && !errors.Is(err, upstream.ErrResponseMismatch) {
				t.Errorf("event %q with error %v, want a broken stream", event.Data, err)
			}
		})
	}
}

// TestResetUnderAnUploadIsNoEnd guards against a part of a response without a length that passes
// for the whole, because the write of the request's body took the error of the reset.
func TestResetUnderAnUploadIsNoEnd(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for range 20 {
			address := rawserver.Start(t, rawserver.Loopback, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, okHead+"\r\npart")
				time.Sleep(pause)
				rawserver.Reset(conn)
			})
			response, err := (&Client{}).Do(t.Context(), Call{Address: address, Attempt: cutAttempt, Method: http.MethodPost, Path: "/x", Body: make([]byte, 8<<20)})
			if !errors.Is(err, upstream.ErrTruncated) {
				t.Errorf("reset after %s: body %q, error %v; want ErrTruncated", pause, response.Body, err)
			}
		}
	}
}
