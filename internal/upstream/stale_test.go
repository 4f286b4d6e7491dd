package upstream_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

// TestConnectionWithLateResponseIsNotReused guards against requests that fail on a connection
// on which the server repeats the responses to all earlier requests first.
func TestConnectionWithLateResponseIsNotReused(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		text := ""
		for {
			got, err := readRequest(reader)
			if err != nil {
				return
			}
			id, _, _ := strings.Cut(got, ":")
			text += responseText(id, id)
			_, _ = io.WriteString(conn, text)
		}
	})
	expectDials(t, s, 2, 0, "a", "b", "c")
}

// TestLateResponseInPiecesIsSkipped guards against a late response whose parts arrive around
// the request being taken for the response to it, wherever it is split.
func TestLateResponseInPiecesIsSkipped(t *testing.T) {
	late := responseText("a", "12345")
	for split := 1; split < len(late); split++ {
		s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, responseText("a", "1"))
			_, _ = readRequest(reader)
			_, _ = io.WriteString(conn, late[:split])
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(conn, late[split:]+responseText("b", "2"))
		})
		client := &upstream.Client{}
		_, err := send(t, client, s, request("a"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := send(t, client, s, request("b"))
		if err != nil || body != "2" {
			t.Errorf("split at %d: body %q, error %v; want body \"2\"", split, body, err)
		}
	}
}

// TestBytesOnIdleConnectionCloseIt guards against a request that is sent after the first byte
// of a late response has arrived.
func TestBytesOnIdleConnectionCloseIt(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		got, _ := readRequest(reader)
		id, _, _ := strings.Cut(got, ":")
		_, _ = io.WriteString(conn, responseText(id, id))
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(conn, "H")
		_, _ = readRequest(reader)
	})
	expectDials(t, s, 2, 20*time.Millisecond, "a", "b")
}

// TestRepeatedIDNeedsNewConnection guards against a copy of an earlier response with the same
// id being taken for the response to a request that is sent again.
func TestRepeatedIDNeedsNewConnection(t *testing.T) {
	s := startServer(t, func(conn net.Conn, reader *bufio.Reader) {
		text := ""
		for _, body := range []string{"1", "2"} {
			_, err := readRequest(reader)
			if err != nil {
				return
			}
			text += responseText("a", body)
			_, _ = io.WriteString(conn, text)
		}
	})
	client := &upstream.Client{}
	again := request("a")
	again.Again = true
	for _, r := range []*upstream.Request{request("a"), again} {
		body, err := send(t, client, s, r)
		if err != nil || body != "1" {
			t.Errorf("body %q, error %v; want body \"1\"", body, err)
		}
	}
	if client.Dials() != 2 {
		t.Errorf("%d connections opened, want 2", client.Dials())
	}
}
