package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/config"
)

// invalidFieldNames returns names of fields that are no token: a blank, or a control byte
// other than those that end or fold a line, within the name or after it.
func invalidFieldNames() []string {
	names := []string{"", "X Y", "Content-Length ", "Transfer-Encoding ", "Con tent-Length", "X  ", "X\t", "X\r", "X\nY", "X(Y)", "X\x80"}
	for control := range 0x20 {
		if strings.IndexByte("\t\n\r", byte(control)) < 0 {
			names = append(names, "X"+string(rune(control))+"Y", string(rune(control))+"X", "X"+string(rune(control)))
		}
	}
	return append(names, "X\x7fY", "\rX")
}

// responsesWithInvalidName returns responses with the given field name in their head, first
// or last, beside each framing, and in an interim response.
func responsesWithInvalidName(name string) []string {
	line := name + ": 4\r\n"
	body := eventText(1, 2)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunked := chunk(body) + finalChunk
	head := "HTTP/1.1 200 OK\r\n"
	fields := signedHead + "Content-Type: text/event-stream\r\n"
	whole := head + fields + chunkedHead + chunked
	return []string{
		head + line + fields + length + body,
		head + fields + strings.TrimSuffix(length, "\r\n") + line + "\r\n" + body,
		head + line + fields + chunkedHead + chunked,
		head + line + fields + "\r\n" + body,
		head + fields + line + "\r\n" + body,
		"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + whole,
	}
}

// brokenHeads are the heads that no recipient may take for those of a response.
func brokenHeads() []string {
	var heads []string
	// A line feed before a name is no end of the head where lines end with CRLF.
	for _, name := range append(invalidFieldNames(), "\nX", "\nContent-Length", "\n Y") {
		heads = append(heads, responsesWithInvalidName(name)...)
	}
	return append(heads, streamHead+"Transfer-Encoding : chunked\r\n\r\n"+chunk(eventText(1, 2))+finalChunk)
}

// TestInvalidFieldNameIsNoResponse guards against a response with a broken head that is passed
// on: without the broken field, or with a body of other bytes if that field framed it.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for name, route := range cutRoutes {
		t.Run(name, func(t *testing.T) {
			expectNoResponse(t, route, brokenHeads())
		})
	}
}

// expectNoResponse checks that a caller of a route with one attempt gets status 502 in place of
// each response, and that the log names the request, its server and the cause.
func expectNoResponse(t *testing.T, route config.HostRoute, responses []string) {
	t.Helper()
	for _, text := range responses {
		f := newFixture(t, route, sendRaw(text))
		logged := f.keepLog()
		status, body, complete, _ := f.send("/a/x", "secret")
		if status != http.StatusBadGateway || body != "outcome_unclear\n" || !complete {
			t.Errorf("status %d, body %q, complete %v after %q; want 502", status, body, complete, text)
		}
		f.close()
		if !logged.hasFailedAttempt(f.receivedBy[0]) {
			t.Errorf("after %q the log names no server and cause:\n%s", text, logged)
		}
	}
}

// keptLog keeps the log of an entry.
type keptLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// keepLog makes the entry write its log to the returned one.
func (f *fixture) keepLog() *keptLog {
	kept := &keptLog{}
	f.server.Log = log.NewWithOptions(kept, log.Options{Formatter: log.LogfmtFormatter})
	return kept
}

// Write implements io.Writer.
func (l *keptLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns the log.
func (l *keptLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// hasFailedAttempt reports whether a line of the log names the failed attempt, its server and the
// cause.
func (l *keptLog) hasFailedAttempt(server string) bool {
	for line := range strings.Lines(l.String()) {
		named := strings.Contains(line, "request=a1") && strings.Contains(line, "server="+server)
		if named && strings.Contains(line, `"attempt failed"`) && strings.Contains(line, "cause=") {
			return true
		}
	}
	return false
}

// TestTransferEncodingOfOldHTTPIsNoResponse guards against a body that holds the lines of the
// chunks: HTTP/1.0 has no transfer encodings, and net/http overlooks them there.
func TestTransferEncodingOfOldHTTPIsNoResponse(t *testing.T) {
	head := strings.Replace(streamHead, "1.1", "1.0", 1)
	chunked := chunk(eventText(1, 2)) + finalChunk
	responses := []string{
		head + chunkedHead + chunked,
		head + "transfer-encoding:chunked\r\n\r\n" + chunked,
		head + "TRANSFER-ENCODING:\r\n chunked\r\n\r\n" + chunked,
		head + fmt.Sprintf("Content-Length: %d\r\n", len(chunked)) + chunkedHead + chunked,
		head + "Transfer-Encoding: gzip\r\n\r\n" + chunked,
		strings.ReplaceAll(head+chunkedHead, "\r", "") + chunked,
	}
	for name, route := range cutRoutes {
		t.Run(name, func(t *testing.T) {
			expectNoResponse(t, route, responses)
		})
	}
}

// TestInvalidFieldNameIsRetried guards against a broken head that ends a request, or a stream,
// although another attempt is allowed.
func TestInvalidFieldNameIsRetried(t *testing.T) {
	resumableTwice := resumableRoute
	resumableTwice.MaxAttempts = 3
	for _, text := range brokenHeads() {
		f := newFixture(t, idempotentRoute, sendRaw(text), respond(200, signatureHeader, "done"))
		status, body, complete, _ := f.send("/a/x", "secret")
		if status != http.StatusOK || body != "done" || !complete {
			t.Errorf("status %d, body %q, complete %v after %q; want the second response", status, body, complete, text)
		}
		f.close()
		f = newFixture(t, resumableTwice, streamEvents(1, 2, "", false), sendRaw(text), streamEvents(3, 4, "", true))
		_, body, complete, _ = f.send("/a/x", "secret")
		if body != eventText(1, 4) || !complete {
			t.Errorf("stream %q, complete %v after %q; want four events", body, complete, text)
		}
		f.close()
		f = newFixture(t, resumableRoute, streamEvents(1, 2, "", false), sendRaw(text))
		_, body, complete, _ = f.send("/a/x", "secret")
		if body != eventText(1, 2) || complete {
			t.Errorf("stream %q, complete %v after %q; want two events of a cut stream", body, complete, text)
		}
		f.close()
	}
}

// TestInvalidFieldNameOfAPeerIsNoResponse guards against a success made of the broken head of
// another entry's response.
func TestInvalidFieldNameOfAPeerIsNoResponse(t *testing.T) {
	for _, text := range brokenHeads() {
		peer := newFixture(t, onceRoute, sendRaw(text))
		f := newFixture(t, onceRoute, hang)
		f.server.Peers = stubPeers{peer.addresses[0]}
		f.server.Fleet.CutOff("pool", time.Now())
		status, body, _, _ := f.send("/a/x", "secret")
		if status != http.StatusBadGateway || body != "outcome_unclear\n" {
			t.Errorf("status %d, body %q after %q; want 502", status, body, text)
		}
		f.close()
		peer.close()
	}
}

// TestInvalidTrailerIsNoEnd guards against a chunked response that passes for complete although
// a field after its last chunk has an invalid name.
func TestInvalidTrailerIsNoEnd(t *testing.T) {
	for _, name := range invalidFieldNames() {
		trailer := chunk(eventText(1, 2)) + "0\r\n" + name + ": 4\r\n\r\n"
		f := newFixture(t, onceRoute, sendRaw(streamHead+chunkedHead+trailer))
		status, body, complete, _ := f.send("/a/x", "secret")
		if status != http.StatusBadGateway || body != "bad_answer\n" || !complete {
			t.Errorf("status %d, body %q, complete %v after the trailer %q; want 502", status, body, complete, trailer)
		}
		f.close()
		f = newFixture(t, streamRoute, sendRaw(streamHead+chunkedHead+trailer))
		status, body, complete, _ = f.send("/a/x", "secret")
		if status != http.StatusOK || body != eventText(1, 2) || complete {
			t.Errorf("status %d, stream %q, complete %v after the trailer %q; want a cut stream", status, body, complete, trailer)
		}
		f.close()
	}
}

// TestSoundHeadsStayResponses guards against a check that is stricter than HTTP: folded lines,
// empty values, unusual but valid names, trailers and interim responses.
func TestSoundHeadsStayResponses(t *testing.T) {
	body := eventText(1, 1)
	head := "HTTP/1.1 200 OK\r\n" + signedHead
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for name, text := range map[string]string{
		"folded line":      head + "X: a\r\n b: c\r\n\td\r\n" + framed,
		"empty fold":       head + "X: a\r\n \r\n" + framed,
		"folded, unframed": head + "X: a\r\n b\r\n\r\n" + body,
		"names":            head + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + framed,
		"values":           head + "X:\r\nY: a  b\tc: \x80\xff\r\nZ:z \t\r\n" + framed,
		"line feeds":       strings.ReplaceAll(head+framed, "\r", ""),
		"trailer":          head + "Trailer: X, Z, a b\r\n" + chunkedHead + chunk(body) + "0\r\nX: a\r\n b\r\nY:\r\n\r\n",
		"interim":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n y\r\n\r\n" + head + framed,
		"HTTP/1.0":         strings.Replace(head, "1.1", "1.0", 1) + "\r\n" + body,
		"HTTP/1.0, length": strings.Replace(head, "1.1", "1.0", 1) + "X-Transfer-Encoding: a\r\nTransfer-Encodings: b\r\n" + framed,
		"unframed":         head + "\r\n" + body,
		"no reason":        strings.Replace(head, "OK", "", 1) + framed,
	} {
		for kind, route := range cutRoutes {
			t.Run(name+", "+kind, func(t *testing.T) {
				f := newFixture(t, route, sendRaw(text))
				status, got, complete, _ := f.send("/a/x", "secret")
				if status != http.StatusOK || got != body || !complete {
					t.Errorf("status %d, body %q, complete %v; want the whole response", status, got, complete)
				}
			})
		}
	}
}
