// Package upstream is an HTTP/1.1 client for backend servers, with one request at
// a time on a connection. It never sends a request twice, and its errors
// distinguish requests that can't have reached the server from those that may have.
package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

// ErrTruncated reports a response that ended before it was complete.
var ErrTruncated = errors.New("response is truncated")

// ErrResponseMismatch reports a response that belongs to another request.
var ErrResponseMismatch = errors.New("response belongs to another request")

// ErrInvalidStatus reports a response with a status that no response to a request of the
// client can have.
var ErrInvalidStatus = errors.New("response has no valid status")

// ErrInvalidFraming reports a response whose header doesn't tell where its body begins or ends
// (RFC 9112, sections 2.2 and 6.1).
var ErrInvalidFraming = errors.New("response has no valid framing")

// ErrTooLarge reports a response whose header or body is longer than the client reads.
var ErrTooLarge = errors.New("response is too large")

// NotSentError reports a request of which no byte was sent, so that the server
// can't have run it.
type NotSentError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Err
}

// IsNotSent reports whether err is or wraps a NotSentError.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   Body
	// Once is set for a request that must not run twice. It is sent only on a
	// new or recently used connection: if the server closes an idle connection
	// just as the request is sent, it is unknown whether the request has run.
	Once bool
	// Again is set if the server may have responded to an earlier request with the same
	// id. The request is sent only on a new connection: on one that carried the earlier
	// request, a copy of its response can't be told from the response to this one.
	Again bool
	// IsResponse reports whether a response with this header belongs to the
	// request; nil accepts every response.
	IsResponse func(http.Header) bool
}

// Client sends requests and reuses idle connections. It is safe for concurrent
// use. Its zero value connects over TCP.
type Client struct {
	// Network opens the connections; nil means TCP.
	Network transport.Network
	// IdleTimeout is how long a connection may be idle if its server states no Keep-Alive
	// timeout; 0 means 4 s.
	IdleTimeout time.Duration
	// OldestFirst makes requests that may be repeated use the least recently used idle
	// connection. Fewer connections expire, and requests that must not run twice find
	// fresher ones.
	OldestFirst bool
	// MaxIdle returns the number of idle connections that may be kept to all servers; nil
	// means no bound but that of each server. It is called without locks held.
	MaxIdle func() int

	pool pool
}

// Do sends a request to the server with the given id and address, and returns the
// response once its header has arrived. The deadline of ctx applies to the
// response body too. The caller must finish or abandon the response. If no byte of
// the request was sent, the error satisfies IsNotSent.
func (c *Client) Do(ctx context.Context, id, address string, request *Request) (*Response, error) {
	connection := c.idleConnection(id, request)
	if connection != nil {
		response, err := connection.Do(ctx, request)
		// A server may close an idle connection at any time. That says nothing about
		// the server, and the request has not left.
		if !IsNotSent(err) || ctx.Err() != nil {
			return response, err
		}
	}
	connection, err := c.Dial(ctx, id, address)
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	return connection.Do(ctx, request)
}

// idleConnection returns an idle connection that can carry the request, or nil.
func (c *Client) idleConnection(id string, request *Request) *Connection {
	if request.Again {
		return nil
	}
	o := newestFirst
	if c.OldestFirst {
		o = oldestFirst
	}
	conn := c.pool.get(id, request.Once, o)
	if conn == nil {
		return nil
	}
	return &Connection{conn: conn, client: c}
}

// Dial opens a connection to the server with the given id and address for one
// request. The caller must use or release it. If no descriptor is left, it closes idle
// connections and tries again once.
func (c *Client) Dial(ctx context.Context, id, address string) (*Connection, error) {
	conn, err := c.dial(ctx, id, address)
	if LacksDescriptors(err) && c.pool.evict() {
		conn, err = c.dial(ctx, id, address)
	}
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn, client: c}, nil
}

// Connection is an open connection to one server for one request.
type Connection struct {
	conn   *conn
	client *Client
}

// Do sends the request as Client.Do does. It may be called once.
func (c *Connection) Do(ctx context.Context, request *Request) (*Response, error) {
	response, err := c.conn.roundTrip(ctx, request)
	if err != nil {
		c.conn.close()
		return nil, err
	}
	response.client = c.client
	return response, nil
}

// Release keeps an unused connection for later requests. It closes one that the server
// has closed or sent bytes on, and reports false.
func (c *Connection) Release() bool {
	if !transport.IsReusable(c.conn.socket) {
		c.conn.close()
		return false
	}
	c.client.pool.put(c.conn, c.client.MaxIdle)
	return true
}

// CloseIdle closes the idle connections to a server.
func (c *Client) CloseIdle(id string) {
	c.pool.closeServer(id)
}

// CloseIdleExcept closes the idle connections to the servers for which retain
// returns false.
func (c *Client) CloseIdleExcept(retain func(id string) bool) {
	c.pool.retain(retain)
}

// Dials returns the number of connections opened so far.
func (c *Client) Dials() int64 {
	return c.pool.dials.Load()
}

// Open returns the number of open connections, and how many of them are idle.
func (c *Client) Open() (open, idle int) {
	return int(c.pool.open.Load()), c.pool.countIdle()
}

// unstatedIdleTimeout returns how long a connection may be idle if its server states no
// Keep-Alive timeout.
func (c *Client) unstatedIdleTimeout() time.Duration {
	if c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return idleTimeout
}

// dial opens a connection to a server.
func (c *Client) dial(ctx context.Context, id, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	network := c.Network
	if network == nil {
		network = transport.TCP{}
	}
	began := time.Now()
	socket, err := network.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Newf("connect to %s: %w", id, err)
	}
	c.pool.connects.recordOpened(time.Since(began))
	c.pool.dials.Add(1)
	return newConn(id, socket, c.unstatedIdleTimeout(), &c.pool.open), nil
}
