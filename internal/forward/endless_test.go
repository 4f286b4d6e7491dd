package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// sendWithoutEnd returns a responder that sends the header of a stream and then filler
// until the entry closes the connection.
func sendWithoutEnd(filler string) responder {
	return func(conn net.Conn, request *http.Request) {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n", request.Header.Get("Id"))
		block := strings.Repeat(filler, 1+4096/len(filler))
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
	}
}

// TestStreamWithoutEndIsBrokenOff guards against a server whose event, or whose stream,
// does not end, and against the memory that it takes.
func TestStreamWithoutEndIsBrokenOff(t *testing.T) {
	for _, c := range []struct {
		name, filler string
		// status is that of a complete refusal, or of the stream that is cut.
		status   int
		complete bool
	}{
		{"one event", "x", 502, true},
		{"lines of one event", "data: x\n", 502, true},
		{"events", "id: 1\ndata: x\n\n", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, streamRoute, sendWithoutEnd(c.filler))
			f.server.Translator = segmentTranslator{}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			status, _, complete, _ := f.send("/a/x", "secret")
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			if status != c.status || complete != c.complete || took > time.Second {
				t.Errorf("status %d, complete %v after %s, want %d and %v before the timeout", status, complete, took, c.status, c.complete)
			}
			if taken := after.TotalAlloc - before.TotalAlloc; taken > 64<<20 {
				t.Errorf("%d bytes were allocated", taken)
			}
		})
	}
}

// TestDeclinedRequestDoesNotWaitForAnEndlessBody guards against a retry that waits for the
// end of the response before it.
func TestDeclinedRequestDoesNotWaitForAnEndlessBody(t *testing.T) {
	endless := func(conn net.Conn, request *http.Request) {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\n\r\n", request.Header.Get("Id"))
		for err == nil {
			_, err = io.WriteString(conn, "x")
			time.Sleep(time.Millisecond)
		}
	}
	f := newFixture(t, onceRoute, endless, respond(200, signatureHeader, "done"))
	start := time.Now()
	_, body, _, _ := f.send("/a/x", "secret")
	if took := time.Since(start); body != "done" || took > 700*time.Millisecond {
		t.Errorf("body %q after %s, want the second response soon", body, took)
	}
}
