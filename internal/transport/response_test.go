package transport_test

import (
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/rawserver"
	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestInvalidFieldNameIsNoResponse guards against a response of another process that is read by
// a broken header: as empty if the field with the length has a blank in its name, for instance.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	client := transport.Client(transport.TCP{})
	defer client.CloseIdleConnections()
	for _, fields := range []string{"X Y: 1\r\n", "X : 1\r\n", "Content-Length : 4\r\n", "Transfer-Encoding : chunked\r\n"} {
		address := rawserver.Start(t, rawserver.Loopback, rawserver.Text("HTTP/1.1 200 OK\r\n"+fields+"\r\ndone"))
		_, err := client.Get("http://" + address)
		if !errors.Is(err, transport.ErrInvalidFieldName) {
			t.Errorf("error %v after %q, want ErrInvalidFieldName", err, fields)
		}
	}
}

// TestFoldedLineIsRead guards against a check that is stricter than HTTP.
func TestFoldedLineIsRead(t *testing.T) {
	client := transport.Client(transport.TCP{})
	defer client.CloseIdleConnections()
	address := rawserver.Start(t, rawserver.Loopback, rawserver.Text("HTTP/1.1 200 OK\r\nX: a\r\n b\r\nTrailer: A B\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nY: z\r\n\r\n"))
	response, err := client.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != "done" || response.Header.Get("X") != "a b" {
		t.Errorf("body %q, X %q, error %v; want the whole response", body, response.Header.Get("X"), err)
	}
}
