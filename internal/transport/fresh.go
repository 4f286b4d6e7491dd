package transport

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// replayHeaders make http.Transport send a request again by itself when its
// connection breaks, whether or not the server ran it.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// fresh is a RoundTripper that drops its idle connections after a timeout and
// sends no request that may run twice by itself.
type roundTripper struct {
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (f *roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := f.next.RoundTrip(withoutReplay(request))
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		f.next.CloseIdleConnections()
	}
	return response, err
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (f *roundTripper) CloseIdleConnections() {
	f.next.CloseIdleConnections()
}

// once returns a request that http.Transport cannot send again: one whose body
// it cannot get a second time. The caller decides on retries.
func withoutReplay(request *http.Request) *http.Request {
	hasReplayHeader := false
	for _, name := range replayHeaders {
		hasReplayHeader = hasReplayHeader || request.Header.Get(name) != ""
	}
	if !hasReplayHeader {
		return request
	}
	clone := request.Clone(request.Context())
	clone.GetBody = nil
	if clone.Body == nil || clone.Body == http.NoBody {
		clone.Body = io.NopCloser(strings.NewReader(""))
	}
	return clone
}
