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

// AttemptHeader is the header with the attempt's id; the backend server repeats it
// in the response.
const AttemptHeader = "X-Request-Id"

// idleTimeout is the time without data after which a plain service's response is
// aborted.
const idleTimeout = 15 * time.Second

// ErrNotSent reports that no byte of the request was written.
var ErrNotSent = errors.New("request was not sent to the backend server")

// ErrUnclear reports that the backend server may have run the request.
var ErrUnclear = errors.New("backend server may have run the request")

// ErrCrossed reports a response to another attempt.
var ErrCrossed = errors.New("backend server sent the response of another attempt")

// ErrTruncated reports a response that ended early.
var ErrTruncated = errors.New("backend server's response ended early")

// ErrMismatch reports a resumed response that differs from the part received
// before.
var ErrMismatch = errors.New("resumed response differs from the part received before")

// Client sends requests to backend servers.
type Client struct {
	HTTP  *http.Client
	Check *invariant.Checker
	// Departures rejects new requests to leaving servers; nil rejects none.
	Departures Departures
}

// send sends request and checks that the response carries the id of attempt.
// Errors wrap ErrNotSent, ErrUnclear or ErrCrossed.
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
		return nil, errors.Newf("%w: sent attempt %q, received %q", ErrCrossed, attempt, response.Header.Get(AttemptHeader))
	}
	return response, nil
}
