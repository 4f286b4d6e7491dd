package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
)

// segmentTranslator is a testTranslator that gives every request the same prompt.
type segmentTranslator struct{ testTranslator }

func (segmentTranslator) Request(r *http.Request) (*forward.Request, error) {
	request, err := testTranslator{}.Request(r)
	request.Prompt = &place.Prompt{Tokens: 100, Output: 100, Prefix: []place.PrefixSegment{{ID: 7, Tokens: 50}}}
	return request, err
}

// closeUnframed returns a responder that sends the header of a stream without length or
// chunks, then body, and ends with the connection.
func closeUnframed(body string) responder {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n%s", request.Header.Get("Id"), body)
		_ = conn.Close()
	}
}

// crash returns a responder that ends its server and then reacts as ends does.
func (f *fixture) crash(ends responder) responder {
	return func(conn net.Conn, request *http.Request) {
		_ = f.listeners[conn.LocalAddr().String()].Close()
		ends(conn, request)
	}
}

// bystander is a segment of other prompts, whose answers go on.
var bystander = []quarantine.Key{quarantine.Segment(8)}

// crashInterval separates crashes that count one by one.
const crashInterval = 100 * time.Millisecond

// TestPromptsThatCrashServersAreRefused guards against prompts that are sent to further
// servers after three have ended the connection before an answer went on.
func TestPromptsThatCrashServersAreRefused(t *testing.T) {
	for name, ends := range map[string]responder{
		"before the header":               func(conn net.Conn, _ *http.Request) { _ = conn.Close() },
		"by a reset":                      resetConn,
		"after the header":                streamEvents(1, 0, "", false),
		"after one event":                 streamEvents(1, 1, "", false),
		"within the first event":          streamEvents(1, 0, "id: 1\nda", true),
		"after a header without framing":  closeUnframed(""),
		"within an event without framing": closeUnframed("id: 1\nda"),
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			crash := func(conn net.Conn, request *http.Request) { f.crash(ends)(conn, request) }
			f = newFixture(t, streamRoute, crash, crash, crash, crash)
			f.server.Translator = segmentTranslator{}
			for range 3 {
				f.server.Quarantine.RecordProgress(bystander, time.Now())
				f.send("/a/x", "secret")
				time.Sleep(crashInterval)
			}
			status, body, _, header := f.send("/a/x", "secret")
			if status != http.StatusServiceUnavailable || body != "quarantined\n" || header.Get("Retry-After") == "" {
				t.Errorf("status %d, body %q, Retry-After %q; want a refusal", status, body, header.Get("Retry-After"))
			}
			if f.attempts() != 3 {
				t.Errorf("%d attempts, want 3", f.attempts())
			}
		})
	}
}

// TestSoundPromptsAreNotRefused guards against a quarantine after failures, streams that
// break off later, and servers that close single connections but have not ended.
func TestSoundPromptsAreNotRefused(t *testing.T) {
	for name, respond := range map[string]responder{
		"broken after two events": streamEvents(1, 2, "", false),
		"failure":                 respond(500, signatureHeader, "bad"),
		"declined":                respond(503, notRunHeader, ""),
		"connection closed":       resetConn,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, streamRoute, respond, respond, respond, respond, respond, respond, respond, respond, respond, respond, respond, respond, streamEvents(1, 3, "", true))
			f.server.Translator = segmentTranslator{}
			for range 4 {
				f.server.Quarantine.RecordProgress(bystander, time.Now())
				f.send("/a/x", "secret")
				time.Sleep(crashInterval)
			}
			if f.server.Quarantine.Count() != 0 {
				t.Error("the prompt's segment is in quarantine")
			}
		})
	}
}

// TestStreamWithoutFramingIsBrokenBeforeItsFirstEvent guards against the end of a server's
// connection being passed on as a complete stream without events.
func TestStreamWithoutFramingIsBrokenBeforeItsFirstEvent(t *testing.T) {
	f := newFixture(t, streamRoute, closeUnframed(""))
	status, body, complete, _ := f.send("/a/x", "secret")
	if status != http.StatusBadGateway || body != "stream_broken\n" || !complete {
		t.Errorf("status %d, body %q, complete %v; want 502 stream_broken", status, body, complete)
	}
	f = newFixture(t, streamRoute, closeUnframed(eventText(1, 2)))
	_, body, complete, _ = f.send("/a/x", "secret")
	if body != eventText(1, 2) || !complete {
		t.Errorf("body %q, complete %v; want the whole stream", body, complete)
	}
	f = newFixture(t, onceRoute, closeUnframed("done"))
	_, body, complete, _ = f.send("/a/x", "secret")
	if body != "done" || !complete {
		t.Errorf("body %q, complete %v; want the whole response", body, complete)
	}
}

// TestWaitingRequestIsNotSentOnceItsPromptIsQuarantined guards against a request that
// waits for its further attempt while its prompt's segment is quarantined.
func TestWaitingRequestIsNotSentOnceItsPromptIsQuarantined(t *testing.T) {
	convict := func(f *fixture) {
		for i := range 3 {
			f.server.Quarantine.RecordProgress(bystander, time.Now())
			now := time.Now().Add(time.Duration(i) * crashInterval)
			f.server.Quarantine.RecordCrash(fmt.Sprint("other-", i), []quarantine.Suspect{{Key: quarantine.Segment(7), SentAt: now}}, now)
		}
	}
	var f *fixture
	f = newFixture(t, resumableRoute, func(conn net.Conn, _ *http.Request) {
		convict(f)
		_ = conn.Close()
	}, streamEvents(1, 3, "", true))
	f.server.Translator = segmentTranslator{}
	status, _, _, _ := f.send("/a/x", "secret")
	if status != http.StatusBadGateway || f.attempts() != 1 {
		t.Errorf("status %d after %d attempts, want 502 after 1", status, f.attempts())
	}
}

// truncated is a responder that closes the connection within the body.
func truncated(conn net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 9\r\n\r\nhalf", request.Header.Get("Id"), signatureHeader)
	_ = conn.Close()
}

// TestPlainRequestsThatCrashServersAreRefused guards against repeats of a request without a
// prompt that are sent to further servers after three have ended, and against the refusal
// of other requests beside it.
func TestPlainRequestsThatCrashServersAreRefused(t *testing.T) {
	for name, ends := range map[string]responder{
		"before the header": func(conn net.Conn, _ *http.Request) { _ = conn.Close() },
		"by a reset":        resetConn,
		"within the body":   truncated,
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			crash := func(conn net.Conn, request *http.Request) { f.crash(ends)(conn, request) }
			f = newFixture(t, onceRoute, crash, crash, crash)
			for range 3 {
				f.send("/a/x", "secret")
				time.Sleep(crashInterval)
			}
			status, body, _, header := f.send("/a/x", "secret")
			if status != http.StatusServiceUnavailable || body != "quarantined\n" || header.Get("Retry-After") == "" {
				t.Errorf("status %d, body %q, Retry-After %q; want a refusal", status, body, header.Get("Retry-After"))
			}
			_, body, _, _ = f.send("/a/y", "secret")
			if body == "quarantined\n" {
				t.Error("another request is refused too")
			}
		})
	}
}
