package transport_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// TestRequestWithIdempotencyKeyIsNotReplayed guards against http.Transport resending
// a request that the server has run. The server closes a reused connection after it
// has run a request with an idempotency key.
func TestRequestWithIdempotencyKeyIsNotReplayed(t *testing.T) {
	for _, body := range []string{"order", ""} {
		var runs atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		client := transport.Client(transport.TCP{})
		for range 2 {
			request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Idempotency-Key", "order-1")
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
		}
		if runs.Load() != 2 {
			t.Errorf("body %q: the server ran %d requests, want 2", body, runs.Load())
		}
		client.CloseIdleConnections()
		server.Close()
	}
}
