package backend

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// TestCallIsSentOnce guards against running a call twice. The server closes a reused
// connection while it handles the second call. net/http resends an idempotent
// request in that case; both GET and POST with an Idempotency-Key count as one.
func TestCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		synctest.Test(t, func(t *testing.T) {
			network := &fake.Network{}
			var runs atomic.Int64
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
				if r.URL.Path == "/look" {
					return
				}
				_, _ = io.ReadAll(r.Body)
				runs.Add(1)
				panic(http.ErrAbortHandler)
			})}
			listener, err := network.Host("service").Listen("10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			client := &Client{Upstream: upstream.Client{Network: network.Host("entry")}}
			call := Call{Address: "10.0.0.1:80", Attempt: "one", Method: http.MethodGet, Path: "/look", IdempotencyKey: "order"}
			_, err = client.Do(context.Background(), call)
			if err != nil {
				t.Fatal(err)
			}
			call.Method = method
			call.Path = "/new"
			_, err = client.Do(context.Background(), call)
			if !errors.Is(err, ErrUnclear) || runs.Load() != 1 {
				t.Errorf("%s: got %d runs and error %v, want 1 run and ErrUnclear", method, runs.Load(), err)
			}
			client.Close()
		})
	}
}
