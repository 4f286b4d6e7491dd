package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/memory"
)

// waitHeld waits until the entry holds the given number of bytes of bodies.
func waitHeld(t *testing.T, f *fixture, want int64) {
	t.Helper()
	for range 300 {
		if f.server.Memory.Held().Total == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("the entry holds %d bytes, want %d", f.server.Memory.Held().Total, want)
}

// TestMemoryRefusesBodiesUnread guards against bodies that are read beyond the memory of the
// entry, against a refusal that counts as run or is not counted, and against memory that is
// held after a request has ended.
func TestMemoryRefusesBodiesUnread(t *testing.T) {
	f := newFixture(t, onceRoute, respond(200, signatureHeader, "done"))
	f.server.Memory = &memory.Account{Bounds: memory.Bounds{Total: 200 << 10, Requests: 100 << 10}}
	scope := tally.NewTestScope("", nil)
	f.server.Scope = scope
	held := f.server.Memory.Request("other")
	if !held.TryGrow(50 << 10) {
		t.Fatal("no memory")
	}
	response := sendHeader(t, f, 60<<10, "")
	if response == nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "0.05" || !response.Close {
		t.Errorf("response %+v, want 503 with Retry-After 0.05 that closes the connection", response)
	}
	if f.attempts() != 0 {
		t.Errorf("%d attempts reached servers, want none", f.attempts())
	}
	counted := scope.Snapshot().Counters()["requests_shed+priority=0,reason=no_memory"]
	if counted == nil || counted.Value() != 1 {
		t.Errorf("requests_shed counts %v, want 1", counted)
	}
	status, body, _, _ := f.send("/a/x", "secret")
	if status != http.StatusOK || body != "done" {
		t.Errorf("a small body got status %d and %q, want 200", status, body)
	}
	waitHeld(t, f, 50<<10)
}

// TestMemoryOfChunkedBodies guards against a body without a length that is read beyond the
// memory of the entry, and against its memory being kept after the refusal.
func TestMemoryOfChunkedBodies(t *testing.T) {
	f := newFixture(t, onceRoute)
	f.server.Memory = &memory.Account{Bounds: memory.Bounds{Total: 200 << 10, Requests: 100 << 10}}
	held := f.server.Memory.Request("other")
	if !held.TryGrow(70 << 10) {
		t.Fatal("no memory")
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.entry.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	chunk := strings.Repeat("x", 10<<10)
	_, _ = fmt.Fprint(conn, "POST /a/x HTTP/1.1\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\nTransfer-Encoding: chunked\r\n\r\n")
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
	waitHeld(t, f, 86<<10)
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("got %+v, error %v; want 503 that closes the connection", response, err)
	}
	waitHeld(t, f, 70<<10)
}

// TestResponsesWaitForMemory guards against whole responses that are read beyond the memory of
// the entry, against one that is refused although memory becomes free within its deadline, and
// against blame for servers whose responses waited here.
func TestResponsesWaitForMemory(t *testing.T) {
	// Two failures in a row eject one of the 3 servers.
	const size, requests = 60 << 10, 7
	long := respond(200, signatureHeader, strings.Repeat("x", size))
	for _, c := range []struct {
		name   string
		freed  time.Duration
		status int
	}{
		{"freed in time", 300 * time.Millisecond, http.StatusOK},
		{"not freed", 5 * time.Second, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, idempotentRoute, slices.Repeat([]responder{long}, 8)...)
			account := &memory.Account{Bounds: memory.Bounds{Total: 100 << 10, Requests: 50 << 10}}
			f.server.Memory = account
			f.server.BoundsResponses = true
			held := account.Response("other")
			_ = held.Grow(t.Context(), 80<<10)
			timer := time.AfterFunc(c.freed, held.Release)
			defer timer.Stop()
			var running sync.WaitGroup
			start := time.Now()
			for range requests {
				running.Go(func() {
					status, body, complete, _ := f.send("/a/x", "secret")
					if status != c.status || !complete || status == http.StatusOK && len(body) != size {
						t.Errorf("status %d with %d bytes, complete %v; want a complete %d", status, len(body), complete, c.status)
					}
					if time.Since(start) < min(c.freed, time.Second) {
						t.Errorf("the response came after %v, before there was memory", time.Since(start))
					}
				})
			}
			running.Wait()
			if counts := f.server.Fleet.Counts(time.Now()); counts.Ejected != 0 || f.attempts() != requests {
				t.Errorf("%d servers ejected after %d attempts, want none after %d", counts.Ejected, f.attempts(), requests)
			}
			held.Release()
			waitHeld(t, f, 0)
		})
	}
}

// TestServersFullOfBytes guards against request bodies that are sent without counting them
// against the bound of their server.
func TestServersFullOfBytes(t *testing.T) {
	done := make(chan struct{})
	held := func(conn net.Conn, request *http.Request) {
		<-done
		respond(200, signatureHeader, "done")(conn, request)
	}
	f := newFixture(t, onceRoute, slices.Repeat([]responder{held}, 4)...)
	f.server.Fleet.MaxServerBytes = 5
	var running sync.WaitGroup
	for range 3 {
		running.Go(func() {
			if status, body, _, _ := f.send("/a/x", "secret"); status != http.StatusOK {
				t.Errorf("status %d, body %q; want 200", status, body)
			}
		})
	}
	for range 100 {
		if f.attempts() == 3 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	status, body, _, header := f.send("/a/x", "secret")
	if status != http.StatusServiceUnavailable || body != "servers_full\n" || header.Get("Retry-After") != "0.05" {
		t.Errorf("with 4 of 5 bytes at each server: status %d, body %q, Retry-After %q; want 503, servers_full and 0.05", status, body, header.Get("Retry-After"))
	}
	close(done)
	running.Wait()
}

// slowWriter is the response writer of a caller that reads nothing until release is closed.
type slowWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.ResponseRecorder.Write(p)
}

// requestOf returns a request with a key, as the entry gets it from its HTTP server.
func requestOf(key string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://one.example/a/x", strings.NewReader("work"))
	r.Header.Set("Id", "a1")
	r.Header.Set("Key", key)
	return r
}

// TestSlowReadersBesideFast guards against callers who read slowly and take the memory of
// others, against more memory than the bound, and against responses that are cut because their
// readers are slow.
func TestSlowReadersBesideFast(t *testing.T) {
	const size, slow, fast, total = 30 << 10, 8, 20, 200 << 10
	body := strings.Repeat("x", size)
	f := newFixture(t, onceRoute, slices.Repeat([]responder{respond(200, signatureHeader, body)}, slow+fast)...)
	parsed, err := config.Parse([]byte(fmt.Sprintf(`{"host_routes":{%q:{"host":"one.example","path_prefix":"/a/","repetition":"once","timeout":"20s","max_attempts":1,
		"upstreams":[{"upstream":"pool","weight":1}]}},"upstreams":{"pool":{}},"workspaces":{"north":{"key_hashes":[%q]},"south":{"key_hashes":[%q]}}}`,
		config.HostRouteKey("one.example", "/a/"), config.HashKey("secret"), config.HashKey("south"))))
	if err != nil {
		t.Fatal(err)
	}
	f.server.Install(2, parsed)
	account := &memory.Account{Bounds: memory.Bounds{Total: total, Requests: total / 2}}
	f.server.Memory = account
	f.server.BoundsResponses = true
	release := make(chan struct{})
	var running sync.WaitGroup
	for range slow {
		running.Go(func() {
			w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), release: release}
			f.server.ServeHTTP(w, requestOf("south"))
			if w.Code != http.StatusOK || w.Body.String() != body {
				t.Errorf("a slow reader got status %d and %d bytes, want 200 and %d", w.Code, w.Body.Len(), size)
			}
		})
	}
	for range 500 {
		if account.Held().Waiting == slow-3 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if held := account.Held(); held.Caller > held.CallerLimit || held.Waiting != slow-3 {
		t.Errorf("held %+v, want 3 responses to slow readers and the others waiting", held)
	}
	start := time.Now()
	for range fast {
		w := httptest.NewRecorder()
		f.server.ServeHTTP(w, requestOf("secret"))
		if w.Code != http.StatusOK || w.Body.Len() != size {
			t.Errorf("a fast reader got status %d and %d bytes, want 200 and %d", w.Code, w.Body.Len(), size)
			break
		}
		if held := account.Held(); held.Total > total {
			t.Errorf("held %+v, want at most %d bytes", held, total)
		}
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("%d fast readers were served in %v, want no wait", fast, took)
	}
	close(release)
	running.Wait()
	waitHeld(t, f, 0)
}

// TestWorkspaceBound guards against a workspace whose request bodies take the memory of all
// others.
func TestWorkspaceBound(t *testing.T) {
	f := newFixture(t, onceRoute)
	f.server.Memory = &memory.Account{Bounds: memory.Bounds{Total: 200 << 10, Requests: 100 << 10}}
	if !f.server.Memory.Request("workspace north").TryGrow(50 << 10) {
		t.Fatal("no memory")
	}
	status, body, _, _ := f.send("/a/x", "secret")
	if status != http.StatusServiceUnavailable || body != "no_memory\n" {
		t.Errorf("a request of a workspace at its bound got status %d and %q, want 503 and no_memory", status, body)
	}
}
