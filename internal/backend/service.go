package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
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
}

// Response is a plain service's complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do sends call to a plain service and reads the complete response. Errors wrap
// ErrNotSent, ErrUnclear, ErrCrossed, ErrTruncated or ErrTooLarge.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	leavingErr := c.checkLeaving(call.Address)
	if leavingErr != nil {
		return Response{}, leavingErr
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, errors.Newf("%w: %v", ErrNotSent, err)
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	idle := time.AfterFunc(idleTimeout, cancel)
	response, err := c.send(ctx, request, call.Attempt)
	idle.Stop()
	if err != nil {
		c.closeIdleOnTimeout(ctx)
		return Response{}, err
	}
	body := newIdleReader(response.Body, cancel)
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, maxServiceResponseBytes+1))
	if err != nil {
		return Response{}, errors.Newf("%w: %v", ErrTruncated, err)
	}
	if len(data) > maxServiceResponseBytes {
		return Response{}, ErrTooLarge
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: data}, nil
}

// closeIdleOnTimeout closes the idle connections if ctx has ended: a network fault
// that stopped the call's connection from delivering data may affect them too.
func (c *Client) closeIdleOnTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.HTTP.CloseIdleConnections()
	}
}
