package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// maxTaken bounds what a client may take from a server whose bytes do not end, with what
// the buffers of both sockets hold.
const maxTaken = 24 << 20

// endlessServer starts a server that answers each request with head and then with filler
// until the client closes. It returns the server's address and a channel with the bytes
// sent to each client.
func endlessServer(t *testing.T, head, filler string) (address string, sent chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent = make(chan int, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { sent <- sendEndless(conn, head, filler) }()
		}
	}()
	return listener.Addr().String(), sent
}

// sendEndless reads the first bytes of a request, answers and returns how many bytes it
// sent until the client closed.
func sendEndless(conn net.Conn, head, filler string) int {
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 4096))
	total, err := io.WriteString(conn, head)
	block := []byte(strings.Repeat(filler, 1+16384/len(filler)))
	for err == nil {
		var n int
		n, err = conn.Write(block)
		total += n
	}
	return total
}

// TestEndlessBytesEndTheRequest guards against a server whose bytes do not end and fill
// the memory of the entry.
func TestEndlessBytesEndTheRequest(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, filler string }{
		"status line":          {"", "x"},
		"header value":         {ok + "A: ", "x"},
		"header lines":         {ok, "A: b\r\n"},
		"interim responses":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without framing": {ok + "\r\n", "x"},
		"chunk sizes":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunks":               {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailer":              {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"declared length":      {ok + "Content-Length: 9999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endlessServer(t, c.head, c.filler)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			client := &Client{}
			response, err := client.Do(ctx, "s", address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err == nil {
				_, err = response.ReadAll()
				response.Abandon()
			}
			if err == nil || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
				t.Errorf("the request ended with %v, want an error at once", err)
			}
			if got := <-sent; got > maxTaken {
				t.Errorf("the server sent %d bytes, want at most %d", got, maxTaken)
			}
		})
	}
}

// TestBodiesTogetherAreBounded guards against many long bodies at once that fill the
// memory of the entry, and against memory that is not given back.
func TestBodiesTogetherAreBounded(t *testing.T) {
	const bodies = 12
	address, _ := endlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	client := &Client{}
	var most atomic.Int64
	var running sync.WaitGroup
	for range bodies {
		running.Go(func() {
			response, err := client.Do(ctx, "s", address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if err != nil {
				t.Error(err)
				return
			}
			_, err = response.ReadAll()
			if !errors.Is(err, ErrTooLarge) {
				t.Errorf("the body ended with %v, want %v", err, ErrTooLarge)
			}
			most.Store(max(most.Load(), client.pool.bodies.used.Load()))
			response.Abandon()
			response.FreeBody()
		})
	}
	running.Wait()
	if most.Load() > maxBodiesBytes || client.pool.bodies.used.Load() != 0 {
		t.Errorf("%d bytes were taken at once and %d at the end, want at most %d and none", most.Load(), client.pool.bodies.used.Load(), maxBodiesBytes)
	}
}

// TestLongBodyIsNotCopied guards against a body that takes several times its length of
// memory while it grows, as copies that are not collected yet.
func TestLongBodyIsNotCopied(t *testing.T) {
	address, _ := endlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	client := &Client{}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	response, err := client.Do(t.Context(), "s", address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = response.ReadAll()
	response.Abandon()
	response.FreeBody()
	runtime.ReadMemStats(&after)
	if !errors.Is(err, ErrTooLarge) {
		t.Errorf("the body ended with %v, want %v", err, ErrTooLarge)
	}
	if taken := after.TotalAlloc - before.TotalAlloc; taken > maxBodyBytes+maxBodyBytes/4 {
		t.Errorf("%d bytes were allocated for a body that was read up to %d", taken, maxBodyBytes)
	}
}

// TestFreedBodiesAreUsedAgain guards against long bodies, one after another, whose memory
// is given back to the budget long before it is collected, so that they fill the memory of
// the entry all the same.
func TestFreedBodiesAreUsedAgain(t *testing.T) {
	const bodies = 10
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	address, _ := endlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	client := &Client{}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bodies {
		response, err := client.Do(t.Context(), "s", address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = response.ReadAll()
		response.Abandon()
		response.FreeBody()
	}
	runtime.ReadMemStats(&after)
	if taken := after.TotalAlloc - before.TotalAlloc; taken > 3*maxBodyBytes {
		t.Errorf("%d bytes were allocated for %d bodies, want at most %d", taken, bodies, 3*maxBodyBytes)
	}
}

// TestLongBodyIsReadWhole checks that a body beyond the free size arrives unchanged.
func TestLongBodyIsReadWhole(t *testing.T) {
	want := strings.Repeat("0123456789", maxFreeBodyBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", strconv.Itoa(len(want)))
		}
		_, _ = io.WriteString(w, want)
	}))
	defer server.Close()
	client := &Client{}
	for _, target := range []string{"/length", "/chunks"} {
		response, err := client.Do(t.Context(), "s", server.Listener.Addr().String(), &Request{Method: http.MethodGet, Target: target, Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		body, err := response.ReadAll()
		response.Finish()
		response.FreeBody()
		if err != nil || body.String() != want {
			t.Errorf("%s: %d bytes with error %v, want %d", target, body.Len(), err, len(want))
		}
	}
}
