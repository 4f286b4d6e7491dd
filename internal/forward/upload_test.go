package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/rawserver"
)

// uploadServers are backend servers that answer requests before they have read their bodies. They
// share the answers: each request that reaches any of them uses the next one.
type uploadServers struct {
	answers []responder
	// addresses are those of the servers.
	addresses []string

	mu       sync.Mutex
	received []string
}

// newUploadFixture starts an entry with one route, which takes large uploads, and three such
// servers.
func newUploadFixture(t *testing.T, route config.HostRoute, answers ...responder) (*fixture, *uploadServers) {
	t.Helper()
	f := newFixture(t, route)
	f.server.Install(2, uploadDocument(t, route))
	s := &uploadServers{answers: answers}
	var list []instances.Instance
	for i := range 3 {
		id := "s" + strconv.Itoa(i)
		s.addresses = append(s.addresses, rawserver.Start(t, backendHost()+":0", func(conn *net.TCPConn, request *http.Request) {
			s.serve(id, conn, request)
		}))
		list = append(list, instances.Instance{ID: id, Upstream: "pool", Address: s.addresses[i], Slots: 8})
	}
	f.server.Fleet.Update(list, time.Now())
	return f, s
}

// uploadDocument is document with a limit for large uploads.
func uploadDocument(t *testing.T, route config.HostRoute) *config.Document {
	t.Helper()
	d := document(t, route)
	d.Limits.BodyBytes = largeUpload
	return d
}

// serve answers one request at the server with the given id.
func (s *uploadServers) serve(id string, conn net.Conn, request *http.Request) {
	s.mu.Lock()
	number := len(s.received)
	s.received = append(s.received, id)
	s.mu.Unlock()
	if number < len(s.answers) {
		s.answers[number](conn, request)
	}
}

// receivedBy returns the ids of the servers in the order in which they received requests.
func (s *uploadServers) receivedBy() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// uploadThrough sends a body of the given size through the entry. It returns the status, the body
// and whether that is complete.
func uploadThrough(t *testing.T, f *fixture, bytes int) (status int, body string, complete bool) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.entry.URL+"/a/x", io.LimitReader(zeros{}, int64(bytes)))
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = int64(bytes)
	request.Host = "one.example"
	request.Header.Set("Id", "a1")
	request.Header.Set("Key", "secret")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, err.Error(), false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// answerPart returns a responder that sends a response without a length up to the end of text,
// and resets the connection after a pause.
func answerPart(text string, pause time.Duration) responder {
	return func(conn net.Conn, request *http.Request) {
		writeResponseHead(conn, request, "", text)
		time.Sleep(pause)
		resetConn(conn, request)
	}
}

// answerThen returns a responder that sends a response whose end is told by its framing, or else
// ends the sending direction in order, and then calls end.
func answerThen(framing, text string, end func(conn net.Conn)) responder {
	return func(conn net.Conn, request *http.Request) {
		writeResponseHead(conn, request, framing, text)
		if framing == "" {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		end(conn)
	}
}

// writeResponseHead sends the head of a response of a stream, and text.
func writeResponseHead(conn net.Conn, request *http.Request, framing, text string) {
	_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead, "%ID%", request.Header.Get("Id"))+framing+"\r\n"+text)
}

const (
	largeUpload  = 8 << 20
	mediumUpload = 1 << 20
)

// resetPauses are the times between the part of a response and the reset.
var resetPauses = []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond}

// eachReset calls check many times for each size of an upload and each pause before the reset.
func eachReset(t *testing.T, check func(t *testing.T, bytes int, pause time.Duration)) {
	for _, bytes := range []int{largeUpload, mediumUpload} {
		for _, pause := range resetPauses {
			t.Run(fmt.Sprintf("%d bytes, %s", bytes, pause), func(t *testing.T) {
				for range 5 {
					check(t, bytes, pause)
				}
			})
		}
	}
}

// TestResetUnderAnUploadIsNoEnd guards against a part of a response that passes for the whole: its
// server reset the connection while the body of the request was being written to it, and the write
// took the error of the reset.
func TestResetUnderAnUploadIsNoEnd(t *testing.T) {
	eachReset(t, func(t *testing.T, size int, pause time.Duration) {
		f, servers := newUploadFixture(t, onceRoute, answerPart(eventText(1, 2), pause))
		logged := f.keepLog()
		status, body, complete := uploadThrough(t, f, size)
		if status != http.StatusBadGateway || body != "bad_answer\n" || !complete {
			t.Errorf("once: status %d, body %q, complete %v; want 502", status, body, complete)
		}
		f.close()
		if !logged.hasFailedAttempt(servers.receivedBy()[0]) {
			t.Errorf("the log names no server and cause:\n%s", logged)
		}

		f, _ = newUploadFixture(t, streamRoute, answerPart(eventText(1, 2), pause))
		status, body, complete = uploadThrough(t, f, size)
		if status != http.StatusOK || body != eventText(1, 2) || complete {
			t.Errorf("stream: status %d, body %q, complete %v; want two events of a cut stream", status, body, complete)
		}
		f.close()
	})
}

// TestResetUnderAnUploadIsRetried guards against a reset under an upload that ends a request, or a
// stream, although another attempt is allowed.
func TestResetUnderAnUploadIsRetried(t *testing.T) {
	eachReset(t, func(t *testing.T, size int, pause time.Duration) {
		part := answerPart(eventText(1, 2), pause)
		f, _ := newUploadFixture(t, idempotentRoute, part, answerThen("Content-Length: 4\r\n", "done", readOn))
		status, body, complete := uploadThrough(t, f, size)
		if status != http.StatusOK || body != "done" || !complete {
			t.Errorf("idempotent: status %d, body %q, complete %v; want the second response", status, body, complete)
		}
		f.close()

		f, _ = newUploadFixture(t, resumableRoute, part, answerThen("", eventText(3, 4), readOn))
		status, body, complete = uploadThrough(t, f, size)
		if status != http.StatusOK || body != eventText(1, 4) || !complete {
			t.Errorf("resumable: status %d, body %q, complete %v; want four events", status, body, complete)
		}
		f.close()
	})
}

// TestResetUnderAnUploadOfAPeerIsNoEnd is the same for the response of another entry.
func TestResetUnderAnUploadOfAPeerIsNoEnd(t *testing.T) {
	eachReset(t, func(t *testing.T, size int, pause time.Duration) {
		peer, _ := newUploadFixture(t, onceRoute, answerPart(eventText(1, 2), pause))
		f := relayFixture(t, onceRoute, peer)
		f.server.Install(2, uploadDocument(t, onceRoute))
		status, body, _ := uploadThrough(t, f, size)
		if status != http.StatusBadGateway {
			t.Errorf("through a peer: status %d, body %q; want 502", status, body)
		}
		f.close()
		peer.close()

		raw, servers := newUploadFixture(t, onceRoute, answerPart(eventText(1, 2), pause))
		f = newFixture(t, onceRoute, hang)
		f.server.Install(2, uploadDocument(t, onceRoute))
		f.server.Peers = stubPeers(servers.addresses[:1])
		f.server.Fleet.CutOff("pool", time.Now())
		status, body, _ = uploadThrough(t, f, size)
		if status != http.StatusBadGateway {
			t.Errorf("of a peer: status %d, body %q; want 502", status, body)
		}
		f.close()
		raw.close()
	})
}

// readOn reads the rest of an upload.
func readOn(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
}

// TestWholeResponseToAnUploadStaysWhole guards against a sound response that counts as cut because
// it came before its upload was read: one that states its length, and one that ends with its
// connection in order, whatever its server does with the rest of the upload.
func TestWholeResponseToAnUploadStaysWhole(t *testing.T) {
	text := eventText(1, 2)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(text))
	for framing, whole := range map[string]string{
		"":                                      text,
		length:                                  text,
		strings.TrimSuffix(chunkedHead, "\r\n"): chunk(text) + finalChunk,
	} {
		for name, end := range map[string]func(conn net.Conn){
			"reads on":          readOn,
			"reads nothing":     func(net.Conn) { time.Sleep(300 * time.Millisecond) },
			"resets afterwards": func(conn net.Conn) { resetConn(conn, nil) },
		} {
			for kind, route := range map[string]config.HostRoute{"once": onceRoute, "idempotent": idempotentRoute, "stream": streamRoute, "resumable": resumableRoute} {
				t.Run(fmt.Sprintf("%s, %q, %s", kind, framing, name), func(t *testing.T) {
					for range 3 {
						f, servers := newUploadFixture(t, route, answerThen(framing, whole, end))
						status, body, complete := uploadThrough(t, f, largeUpload)
						if status != http.StatusOK || body != text || !complete || len(servers.receivedBy()) != 1 {
							t.Errorf("status %d, body %q, complete %v after attempts at %v; want the whole response after one", status, body, complete, servers.receivedBy())
						}
						f.close()
					}
				})
			}
		}
	}
}
