package backend

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestBrokenHeadIsNoResponse guards against a success made of a head that no recipient may take
// for that of a response: with status 000, or with a blank or a control byte in a field's name.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	stream := "Content-Type: text/event-stream\r\n\r\ndata: [DONE]\n\n"
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n" + AttemptHeader + ": " + cutAttempt + "\r\n",
		okHead + "X Y: 1\r\n",
		okHead + "X : 1\r\n",
		okHead + "Content-Length : 4\r\n",
		okHead + "Transfer-Encoding : chunked\r\n",
		okHead + "X\x01: 1\r\n",
		okHead + "\x00X: 1\r\n",
		okHead + "X\t: 1\r\n",
	} {
		client := &Client{}
		_, err := client.Do(t.Context(), Call{Address: rawServer(t, head+stream), Attempt: cutAttempt, Method: http.MethodGet, Path: "/x"})
		if !errors.Is(err, ErrUnclear) {
			t.Errorf("call: error %v after %q, want ErrUnclear", err, head)
		}
		_, err = client.Open(t.Context(), Chat{Address: rawServer(t, head+stream), Attempt: cutAttempt})
		if !errors.Is(err, ErrUnclear) {
			t.Errorf("stream: error %v after %q, want ErrUnclear", err, head)
		}
		_, err = client.Resume(t.Context(), Chat{Address: rawServer(t, head+stream), Attempt: cutAttempt})
		if !errors.Is(err, ErrUnclear) {
			t.Errorf("resumed stream: error %v after %q, want ErrUnclear", err, head)
		}
	}
}
