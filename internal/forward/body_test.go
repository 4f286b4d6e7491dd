package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/memory"
)

// endlessBody is a request body without a length that doesn't end.
type endlessBody struct{}

// Read fills p.
func (endlessBody) Read(p []byte) (int, error) {
	return len(p), nil
}

// TestLongRequestBodyIsNotCopied guards against a body without a length that takes several
// times its length of memory while it grows, as copies that are not collected yet.
func TestLongRequestBodyIsNotCopied(t *testing.T) {
	// limit is the default one of the length of a body.
	const limit = 4 << 20
	f := newFixture(t, onceRoute)
	request := httptest.NewRequest(http.MethodPost, "http://one.example/a/x", endlessBody{})
	request.Header.Set("Key", "secret")
	request.ContentLength = -1
	response := httptest.NewRecorder()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f.server.ServeHTTP(response, request)
	runtime.ReadMemStats(&after)
	if response.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", response.Code)
	}
	if taken := after.TotalAlloc - before.TotalAlloc; taken > limit+limit/4 {
		t.Errorf("%d bytes were allocated for a body that was read up to %d", taken, limit)
	}
}

// sendSlowly sends a chunked body of four chunks with a pause before each, then its end if whole
// is set, and returns the response.
func sendSlowly(t *testing.T, f *fixture, pause time.Duration, whole bool) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.entry.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, "POST /a/x HTTP/1.1\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 4 {
		time.Sleep(pause)
		_, _ = io.WriteString(conn, "4\r\nwork\r\n")
	}
	if whole {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// TestSlowBodyIsServed guards against a deadline that cuts a body which is slow but whole in
// time, or that ends the request once the body is there.
func TestSlowBodyIsServed(t *testing.T) {
	f := newFixture(t, onceRoute, respond(200, signatureHeader, "done"))
	response := sendSlowly(t, f, 50*time.Millisecond, true)
	if response.StatusCode != http.StatusOK || f.attempts() != 1 {
		t.Errorf("status %d after %d attempts, want 200 after one", response.StatusCode, f.attempts())
	}
}

// TestUnfinishedBodyEndsWithTheRequest guards against a body that keeps its connection and its
// memory beyond the deadline of its request, and against a refusal that isn't true: the request
// has not run.
func TestUnfinishedBodyEndsWithTheRequest(t *testing.T) {
	f := newFixture(t, onceRoute)
	f.server.Memory = &memory.Account{Bounds: memory.Bounds{Total: 200 << 10, Requests: 100 << 10}}
	response := sendSlowly(t, f, time.Millisecond, false)
	if response.StatusCode != http.StatusRequestTimeout || !response.Close || f.attempts() != 0 {
		t.Errorf("status %d, closes the connection %t, %d attempts; want 408, true and none", response.StatusCode, response.Close, f.attempts())
	}
	waitHeld(t, f, 0)
}
