// Package upstream speaks HTTP/1.1 to backend servers, one request at a time
// on a connection. It never sends a request twice and tells whether one may
// have reached its server.
package upstream

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// ErrEarlyEnd reports an answer that ended before it was complete.
var ErrTruncated = errors.New("the answer ended early")

// ErrForeignAnswer reports an answer that belongs to another request.
var ErrResponseMismatch = errors.New("the answer belongs to another request")

// NotSentError reports a request of which no byte was sent.
type NotSentError struct {
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Err
}

// IsNotSent tells whether err says that no byte of the request was sent.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// Request is one request for a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once asks for a connection that has hardly been idle, because a request
	// that meets a closing connection may have run.
	Once bool
	// Mine tells whether the answer with this header is that of the request;
	// nil means that it always is.
	IsResponse func(http.Header) bool
}

// Client sends requests and keeps idle connections. Its zero value works over
// TCP.
type Client struct {
	// Network dials; nil means TCP.
	Network transport.Network

	pool pool
}

// Do sends a request to the server called id at address and returns its answer
// once the header is there. The caller must finish or abandon the answer.
func (c *Client) Do(ctx context.Context, id, address string, request *Request) (*Response, error) {
	conn := c.pool.get(id, request.Once)
	if conn == nil {
		newConnection, err := c.dial(ctx, id, address)
		if err != nil {
			return nil, &NotSentError{Err: err}
		}
		conn = newConnection
	}
	response, err := conn.roundTrip(ctx, request)
	if err != nil {
		conn.close()
		return nil, err
	}
	response.pool = &c.pool
	return response, nil
}

// Forget closes the idle connections to a server.
func (c *Client) CloseIdle(id string) {
	c.pool.closeServer(id)
}

// Keep closes the idle connections to servers that are not kept.
func (c *Client) CloseIdleExcept(retain func(id string) bool) {
	c.pool.retain(retain)
}

// Dials returns how many connections were opened.
func (c *Client) Dials() int64 {
	return c.pool.dials.Load()
}

func (c *Client) dial(ctx context.Context, id, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	network := c.Network
	if network == nil {
		network = transport.TCP{}
	}
	socket, err := network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Newf("connect to %s: %w", id, err)
	}
	c.pool.dials.Add(1)
	return newConn(id, socket), nil
}
