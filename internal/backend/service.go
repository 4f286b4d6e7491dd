package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

// maxServiceResponseBytes bounds the response body of a plain service.
const maxServiceResponseBytes = 4 << 20

// ErrTooLarge reports a response body of more than 4 MiB.
var ErrTooLarge = errors.New("backend server's response is too large")

// Call is a request to a plain service.
type Call struct {
	// Address is the backend server's host and port.
	Address string
	// Attempt is the attempt's id.
	Attempt string
	Method  string
	// Path starts with a slash and includes the query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is sent as a header, so that the service can detect a repeated
	// call.
	IdempotencyKey string
	// Once is set for a call that must not run twice.
	Once bool
}

// Response is a plain service's complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends call to a plain service and reads the complete response. Errors satisfy
// upstream.IsNotSent, or wrap ErrUnclear, upstream.ErrResponseMismatch,
// upstream.ErrTruncated or ErrTooLarge.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	leavingErr := c.checkLeaving(call.Address)
	if leavingErr != nil {
		return Response{}, leavingErr
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	response, err := c.send(ctx, call.Address, call.request(), call.Attempt)
	if err != nil {
		c.closeIdleOnTimeout(ctx, call.Address)
		return Response{}, err
	}
	data, err := io.ReadAll(io.LimitReader(&idleReader{response: response, timer: idle}, maxServiceResponseBytes+1))
	response.Finish()
	if err != nil {
		return Response{}, errors.Newf("read response: %w", errors.Mark(err, upstream.ErrTruncated))
	}
	if len(data) > maxServiceResponseBytes {
		return Response{}, ErrTooLarge
	}
	return Response{Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: data}, nil
}

// request returns the call as a request to send.
func (c *Call) request() *upstream.Request {
	header := make(http.Header)
	if c.ContentType != "" {
		header.Set("Content-Type", c.ContentType)
	}
	header.Set("Idempotency-Key", c.IdempotencyKey)
	return &upstream.Request{Method: c.Method, Target: c.Path, Header: header, Body: upstream.NewBody(c.Body), Once: c.Once}
}

// closeIdleOnTimeout closes the idle connections to a server if ctx has ended: a
// network fault that stopped the call's connection from delivering data may affect
// them too.
func (c *Client) closeIdleOnTimeout(ctx context.Context, address string) {
	if ctx.Err() != nil {
		c.Upstream.CloseIdle(address)
	}
}

// idleReader restarts the timer that ends the request at each read of its response.
type idleReader struct {
	response *upstream.Response
	timer    *time.Timer
}

// Read implements io.Reader.
func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.response.Read(p)
	r.timer.Reset(idleTimeout)
	return n, err
}
