package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxServiceAnswerBytes bounds the answer of a plain service.
const maxServiceAnswerBytes = 4 << 20

// ErrTooLarge reports an answer above the bound.
var ErrTooLarge = errors.New("the backend server's answer is too large")

// Call is a request to a plain service.
type Call struct {
	Address string
	Attempt string
	Method  string
	// Path starts with a slash and includes the query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is passed on, so that a service may refuse a second run.
	IdempotencyKey string
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Do calls a plain service and reads its whole answer. Errors wrap ErrNotSent,
// ErrUnclear, ErrCrossed, ErrTruncated or ErrTooLarge.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	leavingErr := c.checkLeaving(call.Address)
	if leavingErr != nil {
		return Answer{}, leavingErr
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, errors.Newf("%w: %v", ErrNotSent, err)
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
		return Answer{}, err
	}
	body := newIdleReader(response.Body, cancel)
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, maxServiceAnswerBytes+1))
	if err != nil {
		return Answer{}, errors.Newf("%w: %v", ErrTruncated, err)
	}
	if len(data) > maxServiceAnswerBytes {
		return Answer{}, ErrTooLarge
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: data}, nil
}

// closeIdleOnTimeout closes the idle connections after a silence, since others may
// have gone silent with it.
func (c *Client) closeIdleOnTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.HTTP.CloseIdleConnections()
	}
}
