package transport

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// replayHeaders mark a request as idempotent for http.Transport, which then
// resends it if its connection breaks, even if the server has run it.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// roundTripper closes its idle connections after a request has timed out, keeps
// http.Transport from resending requests with an idempotency key, and returns an
// ErrInvalidFieldName in place of a response with an invalid header.
type roundTripper struct {
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (f *roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := f.next.RoundTrip(withoutReplay(request))
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		f.next.CloseIdleConnections()
	}
	if err != nil {
		return nil, err
	}
	err = CheckFieldNames(response.Header)
	if err != nil {
		_ = response.Body.Close()
		return nil, errors.Newf("read response from %s: %w", request.URL.Host, err)
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections. http.Client calls it in its
// method of the same name.
func (f *roundTripper) CloseIdleConnections() {
	f.next.CloseIdleConnections()
}

// withoutReplay returns a request that http.Transport can't resend, because it
// can't read the body a second time. Retries are left to the caller of the client.
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
