package process

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/fake"
)

// limitsInForce are the limits in these tests; they differ from the default ones.
var limitsInForce = requestLimits{HeaderBytes: 100 << 10, HeaderTimeout: 8 * time.Second, IdleTimeout: 15 * time.Second}

// serveLimited runs test with a connection to a listener that obeys limitsInForce, under virtual
// time. A request to the path /long takes a minute.
func serveLimited(t *testing.T, test func(t *testing.T, conn net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				select {
				case <-r.Context().Done():
				case <-time.After(time.Minute):
				}
			}
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		var network fake.Network
		l, err := listen(network.Host("entry"), "entry:1", handler, listenOptions{limits: func() requestLimits { return limitsInForce }})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			l.close()
			// Connections whose header was too large end after drainTimeout.
			time.Sleep(time.Second)
		}()
		conn, err := network.Host("caller").DialContext(t.Context(), "tcp", "entry:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		test(t, conn)
	})
}

// TestHeaderLimit guards against headers within the limit of the configuration that are refused
// because they are longer than the default one, and against longer ones that are taken in.
func TestHeaderLimit(t *testing.T) {
	for _, c := range []struct{ bytes, status int }{
		{90 << 10, http.StatusOK},
		{120 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		serveLimited(t, func(t *testing.T, conn net.Conn) {
			go func() {
				_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", strings.Repeat("x", c.bytes))
			}()
			if status := readStatus(bufio.NewReader(conn)); status != c.status {
				t.Errorf("a header of %d bytes got status %d, want %d", c.bytes, status, c.status)
			}
		})
	}
}

// TestHeaderTimeout guards against a header that is slow but in time and is cut, and against one
// that never ends and keeps its connection.
func TestHeaderTimeout(t *testing.T) {
	for _, c := range []struct {
		pause  time.Duration
		status int
	}{
		{limitsInForce.HeaderTimeout / 5, http.StatusOK},
		{limitsInForce.HeaderTimeout / 2, 0},
	} {
		serveLimited(t, func(t *testing.T, conn net.Conn) {
			start := time.Now()
			go func() {
				for _, part := range []string{"GET / HT", "TP/1.1\r\n", "Host: h\r\n", "\r\n"} {
					_, _ = io.WriteString(conn, part)
					time.Sleep(c.pause)
				}
			}()
			status := readStatus(bufio.NewReader(conn))
			if status != c.status || time.Since(start) > limitsInForce.HeaderTimeout {
				t.Errorf("pauses of %s: status %d after %s, want %d within %s", c.pause, status, time.Since(start), c.status, limitsInForce.HeaderTimeout)
			}
			time.Sleep(2 * limitsInForce.HeaderTimeout)
		})
	}
}

// TestIdleTimeout guards against a connection that is closed before it has been idle for as long
// as the configuration says, and against one that stays open for longer.
func TestIdleTimeout(t *testing.T) {
	serveLimited(t, func(t *testing.T, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for range 3 {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if status := readStatus(reader); status != http.StatusOK {
				t.Fatalf("status %d on a connection within its idle time, want 200", status)
			}
			time.Sleep(limitsInForce.IdleTimeout * 4 / 5)
		}
		start := time.Now()
		if status := readStatus(reader); status != 0 || time.Since(start) > limitsInForce.IdleTimeout/5 {
			t.Errorf("status %d after another %s, want the end of the connection", status, time.Since(start))
		}
	})
}

// TestSilentConnectionEnds guards against a connection on which nothing ever comes and that stays
// open.
func TestSilentConnectionEnds(t *testing.T) {
	serveLimited(t, func(t *testing.T, conn net.Conn) {
		start := time.Now()
		_ = readStatus(bufio.NewReader(conn))
		if got := time.Since(start); got != limitsInForce.firstByteTimeout() {
			t.Errorf("a connection without a byte ended after %s, want %s", got, limitsInForce.firstByteTimeout())
		}
	})
}

// TestPipelinedRequestOutlastsTheIdleTimeout guards against the end of the idle time during a
// request that was sent together with the one before.
func TestPipelinedRequestOutlastsTheIdleTimeout(t *testing.T) {
	serveLimited(t, func(t *testing.T, conn net.Conn) {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /long HTTP/1.1\r\nHost: h\r\n\r\n")
		reader := bufio.NewReader(conn)
		if first, second := readStatus(reader), readStatus(reader); first != http.StatusOK || second != http.StatusOK {
			t.Errorf("status %d and %d, want 200 twice", first, second)
		}
	})
}
