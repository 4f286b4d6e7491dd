package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendOld sends a request in HTTP/1.0, in whose responses only the end of the connection
// ends a stream, and returns the bytes of the response and how the connection ended.
func (f *fixture) sendOld() (response string, err error) {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.entry.URL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(conn, "GET /a/x HTTP/1.0\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\n\r\n")
	data, err := io.ReadAll(conn)
	return string(data), err
}

// bodyOf returns the body of a response that only the end of the connection ends.
func bodyOf(t *testing.T, response string) string {
	t.Helper()
	parsed, err := http.ReadResponse(bufio.NewReader(strings.NewReader(response)), nil)
	if err != nil {
		t.Fatalf("%q: %v", response, err)
	}
	body, err := io.ReadAll(parsed.Body)
	if err != nil {
		t.Fatalf("%q: %v", response, err)
	}
	return string(body)
}

// TestCutStreamLooksCutToAnOldCaller guards against a broken stream that looks complete to a
// caller to which only the end of the connection tells the end.
func TestCutStreamLooksCutToAnOldCaller(t *testing.T) {
	f := newFixture(t, streamRoute, streamEvents(1, 2, "", false))
	response, err := f.sendOld()
	if err == nil {
		t.Errorf("response %q ended with a closed connection, want a reset one", response)
	}
}

// TestOldCallerGetsTheWholeStream checks that a complete stream ends with a closed
// connection.
func TestOldCallerGetsTheWholeStream(t *testing.T) {
	f := newFixture(t, streamRoute, streamEvents(1, 3, "", true))
	response, err := f.sendOld()
	if err != nil || bodyOf(t, response) != eventText(1, 3) {
		t.Errorf("response %q with error %v, want three events", response, err)
	}
}
