package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// errorText is text of an error response that no caller may find in its stream.
const errorText = "Internal Server Error"

// sendRaw returns a responder that sends text, in which %ID% stands for the id of the
// request, and closes the connection.
func sendRaw(text string) responder {
	return func(conn net.Conn, request *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%ID%", request.Header.Get("Id")))
		_ = conn.Close()
	}
}

// chunk returns text as one chunk of a chunked body.
func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

const (
	signedHead  = "Id: %ID%\r\nStamp: s\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	finalChunk  = "0\r\n\r\n"
	streamHead  = "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: text/event-stream\r\n"
)

// unusableContinuations are responses that can't continue a stream that has begun.
func unusableContinuations() map[string]string {
	plain := func(status int, header string) string {
		return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, header, len(errorText)+2, errorText+"\n\n")
	}
	json := "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Type: application/json\r\n" + chunkedHead
	return map[string]string{
		"500":                         plain(500, signedHead),
		"500 without a signature":     plain(500, "Id: %ID%\r\n"),
		"500 without an id":           plain(500, ""),
		"503":                         plain(503, signedHead),
		"404":                         plain(404, signedHead),
		"404 without a signature":     plain(404, "Id: %ID%\r\n"),
		"206":                         plain(206, signedHead),
		"204":                         "HTTP/1.1 204 x\r\n" + signedHead + "\r\n",
		"101":                         "HTTP/1.1 101 x\r\n" + signedHead + "\r\n" + errorText + "\n\n",
		"200 without a signature":     plain(200, "Id: %ID%\r\n"),
		"text":                        plain(200, signedHead),
		"JSON like an event":          json + chunk("{\"error\":\""+errorText+"\"}\n\n") + finalChunk,
		"JSON":                        json + chunk("{\"error\":\""+errorText+"\"}") + finalChunk,
		"no content type":             "HTTP/1.1 200 OK\r\n" + signedHead + chunkedHead + chunk(errorText+"\n\n") + finalChunk,
		"interim response, then none": "HTTP/1.1 100 Continue\r\n\r\n",
	}
}

// TestBrokenStreamGoesOnOnlyAsAStream guards against an error response in the middle of a
// caller's stream, and against a stream that ends with one as if it were complete.
func TestBrokenStreamGoesOnOnlyAsAStream(t *testing.T) {
	for name, text := range unusableContinuations() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, resumableRoute, streamEvents(1, 2, "", false), sendRaw(text))
			status, body, complete, _ := f.send("/a/x", "secret")
			if status != http.StatusOK || body != eventText(1, 2) || complete {
				t.Errorf("status %d, body %q, complete %v; want two events of a cut stream", status, body, complete)
			}
		})
	}
}

// TestUnusableContinuationIsAFailedAttempt guards against a stream that ends with a response
// that can't continue it, although the route allows an attempt at another server.
func TestUnusableContinuationIsAFailedAttempt(t *testing.T) {
	route := resumableRoute
	route.MaxAttempts = 3
	for name, text := range unusableContinuations() {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route, streamEvents(1, 2, "", false), sendRaw(text), streamEvents(3, 5, "", true))
			status, body, complete, _ := f.send("/a/x", "secret")
			if status != http.StatusOK || body != eventText(1, 5) || !complete {
				t.Errorf("status %d, body %q, complete %v; want five events of a complete stream", status, body, complete)
			}
		})
	}
}
