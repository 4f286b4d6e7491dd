package live

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/rawserver"
)

// attemptHeader is the header with the id of an attempt, which a service repeats.
const attemptHeader = "X-Request-Id"

// part is the body of responses that no caller may get.
const part = "part"

// brokenResponses are responses without the attempt's id, by the last element of the path that
// asks for them.
var brokenResponses = map[string]string{
	"status":          "HTTP/1.1 000 OK\r\n%sContent-Length: 4\r\n\r\n" + part,
	"blank":           "HTTP/1.1 200 OK\r\n%sX Y: 1\r\nContent-Length: 4\r\n\r\n" + part,
	"control":         "HTTP/1.1 200 OK\r\n%sX\x01Y: 1\r\nContent-Length: 4\r\n\r\n" + part,
	"length":          "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\n" + part,
	"chunks":          "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\n" + part + "\r\n0\r\n\r\n",
	"reset":           "HTTP/1.1 200 OK\r\n%s\r\n" + part,
	"reset-after-1ms": "HTTP/1.1 200 OK\r\n%s\r\n" + part,
}

// brokenServices are services that answer before they have read the body of a request, with the
// response that its path asks for.
type brokenServices struct {
	mu       sync.Mutex
	received map[string]int
}

// startBrokenServices starts them in place of the services of the site.
func (s *site) startBrokenServices() *brokenServices {
	s.t.Helper()
	b := &brokenServices{received: make(map[string]int)}
	for _, domain := range domains {
		s.kill("service-" + domain)
		rawserver.Start(s.t, s.addresses["service-"+domain], b.serve)
	}
	return b
}

// serve answers one request.
func (b *brokenServices) serve(conn *net.TCPConn, request *http.Request) {
	kind := path.Base(request.URL.Path)
	b.mu.Lock()
	b.received[kind]++
	b.mu.Unlock()
	id := attemptHeader + ": " + request.Header.Get(attemptHeader) + "\r\n"
	response := brokenResponses[kind]
	switch {
	case strings.HasPrefix(kind, "reset"):
		_, _ = fmt.Fprintf(conn, response, id)
		if kind != "reset" {
			time.Sleep(time.Millisecond)
		}
		rawserver.Reset(conn)
	case response != "":
		_, _ = fmt.Fprintf(conn, response, id)
	case kind == "load":
		_, _ = io.WriteString(conn, "HTTP/1.1 404 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	default:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nwhole", id)
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
}

// count returns how many requests for a kind of response have come.
func (b *brokenServices) count(kind string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received[kind]
}

// TestBrokenResponsesReachNoCaller guards against responses of services that a caller must not
// get, because their heads are broken or their connection was reset, and that pass for whole.
// Whole ones that come before their upload was read still reach it.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	s := newSite(t)
	services := s.startBrokenServices()
	upload := strings.Repeat("x", maxBodyBytes)
	for _, work := range []string{"orders", "records"} {
		for _, kind := range slices.Sorted(maps.Keys(brokenResponses)) {
			for round := range 3 {
				key := fmt.Sprintf("%s-%s-%d", work, kind, round)
				before := services.count(kind)
				s.eventually("a service gets "+key, func() bool {
					got := s.send("a", "/services/"+work+"/"+kind, key, upload)
					if got.status == http.StatusOK || strings.Contains(got.body, part) {
						t.Errorf("%s: status %d, body %q", key, got.status, got.body)
					}
					return services.count(kind) > before
				})
			}
		}
		whole := s.sendUntilOK("/services/"+work+"/whole", work+"-whole", upload, "a")
		if whole.body != "whole" {
			t.Errorf("%s: got %+v, want the whole response", work, whole)
		}
	}
	s.expectLogged("entry-a", "invalid name", "no valid status", "connection reset by peer")
}

// expectLogged checks that the log of a process has a line for each cause, with the server's name
// and the id of the request.
func (s *site) expectLogged(name string, causes ...string) {
	s.t.Helper()
	data, err := os.ReadFile(filepath.Join(s.folder, name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	for _, cause := range causes {
		found := false
		for line := range strings.Lines(string(data)) {
			named := strings.Contains(line, "request_id") && strings.Contains(line, "service-")
			found = found || named && strings.Contains(line, cause)
		}
		if !found {
			s.t.Errorf("no line of the log of %s names a server, a request and the cause %q", name, cause)
		}
	}
}
