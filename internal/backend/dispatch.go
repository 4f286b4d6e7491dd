package backend

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/observe"
)

// AttemptHeader carries the attempt's id, which the backend server echoes.
const AttemptHeader = "X-Request-Id"

// idleTimeout ends a plain service's answer that sends nothing for so long.
const idleTimeout = 15 * time.Second

// ErrNotSent reports a request of which no byte was written.
var ErrNotSent = errors.New("nothing was sent to the backend server")

// ErrUnclear reports a request that may have run.
var ErrUnclear = errors.New("it is unclear whether the backend server ran the request")

// ErrCrossed reports an answer to another attempt.
var ErrCrossed = errors.New("the backend server answered another request")

// ErrTruncated reports an answer without its end.
var ErrTruncated = errors.New("the backend server's answer broke off")

// ErrMismatch reports a resumed answer that differs from what was sent before.
var ErrMismatch = errors.New("the resumed answer differs from the one that broke off")

// Client sends requests to backend servers.
type Client struct {
	HTTP  *http.Client
	Check *invariant.Checker
	// Departures keeps new requests off leaving servers; nil means none leave.
	Departures Departures
}

// send sends request and checks that the answer is to attempt. Errors wrap
// ErrNotSent, ErrUnclear or ErrCrossed.
func (c *Client) send(ctx context.Context, request *http.Request, attempt string) (*http.Response, error) {
	var written atomic.Bool
	hooks := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(ctx, hooks))
	request.Header.Set(AttemptHeader, attempt)
	observe.Propagator.Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := c.HTTP.Do(request)
	if err != nil && !written.Load() {
		return nil, errors.Newf("%w: %v", ErrNotSent, err)
	}
	if err != nil {
		return nil, errors.Newf("%w: %v", ErrUnclear, err)
	}
	if response.Header.Get(AttemptHeader) != attempt {
		_ = response.Body.Close()
		return nil, errors.Newf("%w: asked %q, got %q", ErrCrossed, attempt, response.Header.Get(AttemptHeader))
	}
	return response, nil
}
