package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/memory"
)

// bodyResult is what a handler sees of a body.
type bodyResult struct {
	bytes int
	err   error
}

// serveGuarded runs test with the caller's end of a connection to a handler that reads bodies within
// the given limits, and with a channel that gets what the handler has read. Requests for /refused
// are refused unread.
func serveGuarded(t *testing.T, limits bodyLimits, test func(t *testing.T, conn net.Conn, read <-chan bodyResult)) {
	synctest.Test(t, func(t *testing.T) {
		read := make(chan bodyResult, 1)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/refused" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			data, err := io.ReadAll(r.Body)
			read <- bodyResult{len(data), err}
		})
		var network fake.Network
		l, err := listen(network.Host("entry"), "entry:1", handler, listenOptions{bodies: limits})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			l.close()
			time.Sleep(time.Second)
		}()
		conn, err := network.Host("caller").DialContext(t.Context(), "tcp", "entry:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		test(t, conn, read)
	})
}

const chunkedHead = " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestBodyTimeout guards against a body that never ends and keeps its connection, and against one
// that is slow but whole in time and is cut.
func TestBodyTimeout(t *testing.T) {
	const timeout = 10 * time.Second
	for _, c := range []struct {
		pause time.Duration
		late  bool
	}{{timeout / 5, false}, {timeout / 2, true}} {
		serveGuarded(t, bodyLimits{Timeout: timeout}, func(t *testing.T, conn net.Conn, read <-chan bodyResult) {
			go func() {
				for _, part := range []string{"POST /" + chunkedHead, "4\r\nwork\r\n", "4\r\nwork\r\n", "0\r\n\r\n"} {
					_, _ = io.WriteString(conn, part)
					time.Sleep(c.pause)
				}
			}()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			start := time.Now()
			result := <-read
			if late := errors.Is(result.err, os.ErrDeadlineExceeded); late != c.late || time.Since(start) > timeout {
				t.Errorf("pauses of %s: %d bytes and %v after %s, want late %t", c.pause, result.bytes, result.err, time.Since(start), c.late)
			}
			time.Sleep(2 * timeout)
		})
	}
}

// TestRefusalDoesNotWaitForTheBody guards against a refusal that is sent only once a body has ended
// that nobody reads.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	serveGuarded(t, bodyLimits{}, func(t *testing.T, conn net.Conn, _ <-chan bodyResult) {
		start := time.Now()
		_, _ = io.WriteString(conn, "POST /refused"+chunkedHead+"4\r\nwork\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusNotFound || !response.Close || time.Since(start) > drainTimeout {
			t.Errorf("got %+v, error %v after %s; want 404 that closes the connection at once", response, err, time.Since(start))
		}
	})
}

// TestBodiesShareMemory guards against bodies that are read although together they have no room,
// against memory that is held after a request, and against encoded bodies, whose room is unknown.
func TestBodiesShareMemory(t *testing.T) {
	account := &memory.Account{Bounds: memory.Bounds{Total: 1000, Requests: 500}}
	serveGuarded(t, bodyLimits{Memory: account, Factor: 2}, func(t *testing.T, conn net.Conn, read <-chan bodyResult) {
		other := account.Request("other")
		if !other.TryGrow(450) {
			t.Fatal("no memory")
		}
		reader := bufio.NewReader(conn)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n01234567890123456789")
		if result, status := <-read, readStatus(reader); status != http.StatusOK || result.bytes != 20 {
			t.Errorf("a body with room got status %d after %d bytes, want 200 after 20", status, result.bytes)
		}
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Encoding: gzip\r\n\r\nwork")
		if status := readStatus(reader); status != http.StatusUnsupportedMediaType {
			t.Errorf("an encoded body got status %d, want 415", status)
		}
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n")
		if status := readStatus(reader); status != http.StatusServiceUnavailable {
			t.Errorf("a body without room got status %d, want 503", status)
		}
		time.Sleep(time.Second)
		if held := account.Held().Total; held != 450 {
			t.Errorf("%d bytes are held after the requests, want 450", held)
		}
	})
}
