package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/observe"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	// AttemptHeader is the header with the attempt's id; the backend server repeats
	// it in the response.
	AttemptHeader = "X-Request-Id"
	// idleTimeout is the time without data after which a plain service's response
	// is aborted.
	idleTimeout = 15 * time.Second
	// maxReportBytes bounds the JSON reports of backend servers and the bodies of
	// their error responses.
	maxReportBytes = 64 << 10
)

// ErrUnclear marks an error after which the backend server may have run the request.
var ErrUnclear = errors.New("backend server may have run the request")

// ErrMismatch reports a resumed response that differs from the part received
// before.
var ErrMismatch = errors.New("resumed response differs from the part received before")

// Client speaks to backend servers: it sends chats, calls and queries. Its zero value
// connects over TCP.
type Client struct {
	Upstream upstream.Client
	// Departures tracks the leaving servers by address, which get no new requests.
	// If it is nil, no server is leaving.
	Departures *instances.Departures
	// Check verifies that no request is sent to a leaving server.
	Check *invariant.Checker
}

// Retain closes the idle connections to servers that are not in the configuration.
func (c *Client) Retain(document *config.Document) {
	addresses := make(map[string]bool, len(document.BackendServers))
	for _, server := range document.BackendServers {
		addresses[server.Address] = true
	}
	c.Upstream.CloseIdleExcept(func(address string) bool { return addresses[address] })
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.Upstream.CloseIdleExcept(func(string) bool { return false })
}

// do sends request to the server at address, with the id of attempt unless that is
// empty. Errors are those of upstream.Client.Do.
func (c *Client) do(ctx context.Context, address string, request *upstream.Request, attempt string) (*upstream.Response, error) {
	request.Host = address
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	if attempt != "" {
		request.Header.Set(AttemptHeader, attempt)
	}
	observe.Propagator.Inject(ctx, propagation.HeaderCarrier(request.Header))
	return c.Upstream.Do(ctx, address, address, request)
}

// send sends request and checks that the response carries the id of attempt. Errors
// satisfy upstream.IsNotSent, or wrap ErrUnclear or upstream.ErrResponseMismatch.
func (c *Client) send(ctx context.Context, address string, request *upstream.Request, attempt string) (*upstream.Response, error) {
	response, err := c.do(ctx, address, request, attempt)
	if upstream.IsNotSent(err) {
		return nil, err
	}
	if err != nil {
		return nil, errors.Mark(err, ErrUnclear)
	}
	echoed := response.Header.Get(AttemptHeader)
	if echoed != attempt {
		response.Abandon()
		return nil, errors.Newf("sent attempt %q, received %q: %w", attempt, echoed, upstream.ErrResponseMismatch)
	}
	return response, nil
}

// readReport decodes a JSON report of a backend server into report. A status other
// than 200 returns a *StatusError.
func readReport(response *upstream.Response, report any) error {
	if response.Status != http.StatusOK {
		return readStatusError(response)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	response.Finish()
	if err != nil {
		return errors.Newf("read report: %w", err)
	}
	err = json.Unmarshal(body, report)
	if err != nil {
		return errors.Newf("decode report: %w", err)
	}
	return nil
}
