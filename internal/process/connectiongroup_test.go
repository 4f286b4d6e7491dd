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

// serveBounded runs test with a dialer of a listener that keeps up to 16 connections open, under
// virtual time. A request to the path /long takes a minute.
func serveBounded(t *testing.T, test func(t *testing.T, group *connectionGroup, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/long" {
				time.Sleep(time.Minute)
			}
		})
		group := &connectionGroup{max: 16}
		var network fake.Network
		l, err := listen(network.Host("entry"), "entry:1", handler, listenOptions{group: group})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			l.close()
			time.Sleep(2 * time.Minute)
		}()
		test(t, group, func() net.Conn {
			conn, err := network.Host("caller").DialContext(t.Context(), "tcp", "entry:1")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		})
	})
}

// get sends a request for a path and returns the status of its response, or 0.
func get(conn net.Conn, path string) int {
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	return readStatus(bufio.NewReader(conn))
}

// readStatus returns the status of the next response, or 0 if the connection ends before it.
func readStatus(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestCrowdLeavesRoomForRequests guards against connections without a whole request that keep
// others out, whatever part of one has come.
func TestCrowdLeavesRoomForRequests(t *testing.T) {
	for _, sent := range []string{
		"",
		"GET / HT",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nwork",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwork\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		serveBounded(t, func(t *testing.T, group *connectionGroup, dial func() net.Conn) {
			for range 40 {
				conn := dial()
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				_, _ = io.WriteString(conn, sent)
				time.Sleep(time.Millisecond)
			}
			if status := get(dial(), "/"); status != http.StatusOK {
				t.Errorf("after 40 times %q: status %d, want 200", sent, status)
			}
			if open := group.count(); open > group.max+group.max/reserveShare {
				t.Errorf("after 40 times %q: %d connections open, want about %d", sent, open, group.max)
			}
		})
	}
}

// TestRequestsAreNotClosedForRoom guards against a request that has arrived whole and is cut for
// the sake of new connections.
func TestRequestsAreNotClosedForRoom(t *testing.T) {
	serveBounded(t, func(t *testing.T, group *connectionGroup, dial func() net.Conn) {
		statuses := make(chan int)
		for range 10 {
			conn := dial()
			go func() { statuses <- get(conn, "/long") }()
			time.Sleep(time.Millisecond)
		}
		for range 40 {
			dial()
			time.Sleep(time.Millisecond)
		}
		for range 10 {
			if status := <-statuses; status != http.StatusOK {
				t.Errorf("a request that was being served got status %d, want 200", status)
			}
		}
		if group.excess.counts[connectionClosed].Load() == 0 {
			t.Error("no connection was closed for want of room")
		}
	})
}

// TestFullGroupTakesNoMore guards against more connections than there are descriptors while all
// of them carry requests.
func TestFullGroupTakesNoMore(t *testing.T) {
	serveBounded(t, func(t *testing.T, group *connectionGroup, dial func() net.Conn) {
		limit := group.max + group.max/reserveShare
		for range limit {
			conn := dial()
			go get(conn, "/long")
			time.Sleep(time.Millisecond)
		}
		if status := get(dial(), "/"); status != 0 || group.count() > limit {
			t.Errorf("status %d and %d connections open, want the end of the connection and %d", status, group.count(), limit)
		}
		time.Sleep(time.Minute)
		status := get(dial(), "/")
		time.Sleep(time.Second)
		if status != http.StatusOK || group.leaving.Load() != 0 || group.count() > group.max {
			t.Errorf("status %d after the requests, %d connections open, %d leaving; want 200, %d and none", status, group.count(), group.leaving.Load(), group.max)
		}
	})
}

// TestHeadsTogetherAreBounded guards against long headers of many requests that are served at once
// and fill the memory, and against requests with short ones that are refused because of them.
func TestHeadsTogetherAreBounded(t *testing.T) {
	serveBounded(t, func(t *testing.T, group *connectionGroup, dial func() net.Conn) {
		group.maxHeldBytes = 20 << 10
		long := "/long?" + strings.Repeat("x", 8<<10)
		statuses := make(chan int)
		for range 3 {
			conn := dial()
			go func() { statuses <- get(conn, long) }()
			time.Sleep(time.Millisecond)
		}
		if status := <-statuses; status != 0 && status != http.StatusServiceUnavailable {
			t.Errorf("the third long header got status %d, want 503 or the end of the connection", status)
		}
		if status := get(dial(), "/"); status != http.StatusOK {
			t.Errorf("a short header got status %d, want 200", status)
		}
		for range 2 {
			if status := <-statuses; status != http.StatusOK {
				t.Errorf("a request that was being served got status %d, want 200", status)
			}
		}
		time.Sleep(time.Second)
		if held := group.heldBytes.Load(); held != 0 {
			t.Errorf("%d bytes of headers are held after the requests, want none", held)
		}
	})
}

// TestRequestThatArrivesIsNotCut guards against a request whose connection is chosen to be closed
// for want of room just as its last byte arrives: it would seem that the caller has left.
func TestRequestThatArrivesIsNotCut(t *testing.T) {
	for _, hasBody := range []bool{false, true} {
		near, far := net.Pipe()
		group := &connectionGroup{}
		c := newConnection(near, nil)
		c.group = group
		go func() { _, _ = io.WriteString(far, "x") }()
		buffer := make([]byte, 1)
		_, err := c.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		if hasBody {
			c.beginRequest(true)
		}
		if !c.closeForRoom() {
			t.Fatal("the connection was not chosen")
		}
		if hasBody {
			c.endBody()
		} else {
			c.beginRequest(false)
		}
		go func() { _, _ = io.WriteString(far, "y") }()
		_, err = c.Read(buffer)
		if err != nil || group.leaving.Load() != 0 {
			t.Errorf("with body %t: the next read failed with %v, %d connections leaving; want none", hasBody, err, group.leaving.Load())
		}
		_, _ = near.Close(), far.Close()
	}
}
