package process

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/fake"
)

// writeUnread runs test under virtual time with the caller's end of a connection whose response
// is being written, and a channel that gets the result of the write.
func writeUnread(t *testing.T, size int, test func(t *testing.T, conn net.Conn, written <-chan error)) {
	synctest.Test(t, func(t *testing.T) {
		written := make(chan error, 1)
		var network fake.Network
		l, err := listen(network.Host("entry"), "entry:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, size))
			written <- err
		}), listenOptions{})
		if err != nil {
			t.Fatal(err)
		}
		defer l.close()
		conn, err := network.Host("caller").DialContext(t.Context(), "tcp", "entry:1")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		test(t, conn, written)
	})
}

// TestUnreadResponseEnds guards against a caller that reads nothing and keeps its connection, and
// what the instance holds for it, for ever.
func TestUnreadResponseEnds(t *testing.T) {
	writeUnread(t, 1<<20, func(t *testing.T, _ net.Conn, written <-chan error) {
		start := time.Now()
		err := <-written
		if err == nil || time.Since(start) != unreadTimeout {
			t.Errorf("the write ended with %v after %s, want an error after %s", err, time.Since(start), unreadTimeout)
		}
	})
}

// TestSlowlyReadResponseIsWhole guards against a caller that reads slowly, for longer than
// unreadTimeout in all, and is cut.
func TestSlowlyReadResponseIsWhole(t *testing.T) {
	const size, step = 256 << 10, 16 << 10
	writeUnread(t, size, func(t *testing.T, conn net.Conn, written <-chan error) {
		total := 0
		buffer := make([]byte, step)
		for total < size {
			time.Sleep(unreadTimeout * 3 / 4)
			n, err := io.ReadFull(conn, buffer)
			total += n
			if err != nil {
				break
			}
		}
		if total < size {
			t.Errorf("%d bytes arrived, want at least %d", total, size)
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		if err := <-written; err != nil {
			t.Errorf("the write ended with %v", err)
		}
	})
}
