package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

// scriptedServer is a backend server that runs a function on each connection.
type scriptedServer struct {
	address string
}

// startServer starts a server that calls serve for each connection and closes the
// connection when serve returns.
func startServer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// readRequest reads one request and returns its id and body, joined by a colon.
func readRequest(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(request.Body)
	return request.Header.Get("Id") + ":" + string(body), err
}

// responseText returns an encoded response to the request id. The body must be
// shorter than ten bytes.
func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// request returns a request with the given id that accepts only responses with the
// same id.
func request(id string) *upstream.Request {
	return &upstream.Request{
		Method:     http.MethodPost,
		Target:     "/x",
		Host:       "test",
		Header:     http.Header{"Id": {id}},
		Body:       upstream.NewBody([]byte("body")),
		IsResponse: func(header http.Header) bool { return header.Get("Id") == id },
	}
}

// send sends a request and returns the body of a complete response.
func send(t *testing.T, client *upstream.Client, s *scriptedServer, r *upstream.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := client.Do(ctx, "server", s.address, r)
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll()
	if err != nil {
		response.Abandon()
		return "", err
	}
	response.Finish()
	return body.String(), nil
}

// TestConnectionIsReused checks that consecutive requests share one connection.
func TestConnectionIsReused(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			got, err := readRequest(reader)
			if err != nil {
				return
			}
			id, _, _ := strings.Cut(got, ":")
			_, _ = io.WriteString(conn, responseText(id, id))
		}
	})
	expectDials(t, s, 1, 0, "a", "b", "c")
}

// TestLateResponseIsSkipped guards against the response to an earlier request being
// taken for the response to the current one. The server sends a second response to
// the first request just before the response to the second.
func TestLateResponseIsSkipped(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, responseText("a", "1"))
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, responseText("a", "1")+responseText("b", "2"))
	})
	client := &upstream.Client{}
	_, err := send(t, client, s, request("a"))
	if err != nil {
		t.Fatal(err)
	}
	body, err := send(t, client, s, request("b"))
	if err != nil || body != "2" {
		t.Errorf("second request: body %q, error %v; want body \"2\"", body, err)
	}
}

// TestDuplicateResponseClosesTheConnection guards against reusing a connection on
// which bytes follow a complete response. The server sends each response twice.
func TestDuplicateResponseClosesTheConnection(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		got, _ := readRequest(reader)
		id, _, _ := strings.Cut(got, ":")
		_, _ = io.WriteString(conn, responseText(id, id)+responseText(id, id))
		_, _ = readRequest(reader)
	})
	expectDials(t, s, 2, 10*time.Millisecond, "a", "b")
}

// expectDials checks that requests with the given ids, with a pause after each, get their
// responses over want connections.
func expectDials(t *testing.T, s *scriptedServer, want int64, pause time.Duration, ids ...string) {
	t.Helper()
	client := &upstream.Client{}
	for _, id := range ids {
		body, err := send(t, client, s, request(id))
		if err != nil || body != id {
			t.Fatalf("request %s: body %q, error %v; want its id as the body", id, body, err)
		}
		time.Sleep(pause)
	}
	if client.Dials() != want {
		t.Errorf("%d connections opened, want %d", client.Dials(), want)
	}
}

// TestTruncatedResponseIsAnError guards against a truncated or malformed response
// being taken for a complete one.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nshort",
		"chunked": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"header":  "HTTP/1.1 200 OK\r\nId: a\r\nConte",
		"garbage": "\x00\x01\x02 no answer\r\n\r\n",
	} {
		s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, text)
		})
		body, err := send(t, &upstream.Client{}, s, request("a"))
		if err == nil || upstream.IsNotSent(err) {
			t.Errorf("%s: body %q, error %v; want an error after the request was sent", name, body, err)
		}
	}
}

// TestBodyWithoutLengthEndsAtConnectionClose checks that a body without a length is
// complete when the server closes the connection, and truncated when it resets it.
func TestBodyWithoutLengthEndsAtConnectionClose(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
	})
	body, err := send(t, &upstream.Client{}, s, request("a"))
	if err != nil || body != "all of it" {
		t.Errorf("body %q, error %v; want the complete body", body, err)
	}
	reset := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	body, err = send(t, &upstream.Client{}, reset, request("a"))
	if err == nil {
		t.Errorf("no error for a response whose connection was reset, body %q", body)
	}
}

// TestResponseToHeadHasALength guards against a response without a body that counts as one of
// unknown length, because its header states none.
func TestResponseToHeadHasALength(t *testing.T) {
	for _, framing := range []string{"", "Transfer-Encoding: chunked\r\n"} {
		s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n"+framing+"\r\n")
		})
		r := request("a")
		r.Method = http.MethodHead
		r.Body = nil
		response, err := (&upstream.Client{}).Do(t.Context(), "server", s.address, r)
		if err != nil {
			t.Fatal(err)
		}
		if !response.HasLength() {
			t.Errorf("framing %q: no length, want none to be needed", framing)
		}
		response.Abandon()
	}
}

// TestClosedIdleConnectionIsNotReused guards against a request that fails on an idle
// connection which the server has closed after its response.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		got, _ := readRequest(reader)
		id, _, _ := strings.Cut(got, ":")
		_, _ = io.WriteString(conn, responseText(id, id))
	})
	client := &upstream.Client{}
	for _, id := range []string{"a", "b"} {
		_, err := send(t, client, s, request(id))
		if err != nil {
			t.Fatalf("request %s failed: %v", id, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRefusedConnectionIsNotSent checks that a refused connection is reported as a
// request that was not sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	_, err = send(t, &upstream.Client{}, &scriptedServer{address: listener.Addr().String()}, request("a"))
	if !upstream.IsNotSent(err) {
		t.Errorf("%v", err)
	}
}

// TestResponseBeforeTheBodyIsRead guards against other bytes following an
// incomplete request body. The server responds to a 4 MiB request before it reads
// the body; the client must send the rest of the body or close the connection.
func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	const size = 4 << 20
	read := make(chan string, 2)
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		data, _ := io.ReadAll(request.Body)
		read <- strings.Trim(string(data), "x")
		got, err := readRequest(reader)
		if err == nil {
			read <- got
		}
	})
	client := &upstream.Client{}
	long := request("a")
	long.Body = upstream.NewBody([]byte(strings.Repeat("x", size)))
	_, err := send(t, client, s, long)
	if err != nil {
		t.Fatal(err)
	}
	rest := <-read
	if rest != "" {
		t.Errorf("the server read foreign bytes in the body: %q", rest)
	}
}

// TestCancelledRequestClosesItsConnection checks that a cancelled context ends a
// request and closes its connection, so that the server can stop working.
func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	s := startServer(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := (&upstream.Client{}).Do(ctx, "server", s.address, request("a"))
	if err == nil || upstream.IsNotSent(err) {
		t.Errorf("%v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("connection is still open 1 s after the request was cancelled")
	}
}

// TestMismatchedResponsesFailTheRequest checks that a request fails if the server
// sends only responses to other requests.
func TestMismatchedResponsesFailTheRequest(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, responseText("x", "1")+responseText("y", "2"))
	})
	_, err := send(t, &upstream.Client{}, s, request("a"))
	if !errors.Is(err, upstream.ErrResponseMismatch) {
		t.Errorf("%v", err)
	}
}

// TestAbandonAfterFinishLeavesTheConnection guards against the end of a request's context that
// closes the connection of the next request.
func TestAbandonAfterFinishLeavesTheConnection(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			got, err := readRequest(reader)
			if err != nil {
				return
			}
			id, _, _ := strings.Cut(got, ":")
			_, _ = io.WriteString(conn, responseText(id, id))
		}
	})
	client := &upstream.Client{}
	first, err := client.Do(t.Context(), "server", s.address, request("a"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = first.ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	first.Finish()
	second, err := client.Do(t.Context(), "server", s.address, request("b"))
	if err != nil {
		t.Fatal(err)
	}
	first.Abandon()
	body, err := second.ReadAll()
	if err != nil || body.String() != "b" {
		t.Errorf("body %q, error %v; want the body of the second response", body.String(), err)
	}
	second.Finish()
	if open, idle := client.Open(); open != 1 || idle != 1 {
		t.Errorf("%d connections open, %d idle; want 1 of each", open, idle)
	}
}
