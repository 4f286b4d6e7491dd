package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	// dialTimeout is short, because a sound server accepts within milliseconds.
	dialTimeout     = 700 * time.Millisecond
	readBufferBytes = 8 << 10
	// headBytes is the room for a request line and header.
	headBufferBytes = 1 << 10
	// maxForeign bounds the answers to earlier requests that are passed over.
	maxResponsesRead = 2
	// inlineBody is the largest body that is written before the answer is read.
	maxInlineBodyBytes = 4 << 10
	// bodyGrace is how long the rest of a body may take after its answer.
	bodyWriteTimeout = 200 * time.Millisecond
)

// conn is a connection to one server, used by one request at a time.
type conn struct {
	id     string
	socket net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer ended; zero for a new connection.
	idleSince time.Time
	// idleFor is how long the server keeps the connection.
	idleTimeout time.Duration
}

func newConn(id string, socket net.Conn) *conn {
	return &conn{id: id, socket: socket, reader: bufio.NewReaderSize(socket, readBufferBytes), idleTimeout: idleTimeout}
}

func (c *conn) close() {
	_ = c.socket.Close()
}

// isUsable tells whether an idle connection may take another request: it is
// not about to be closed, and nothing has arrived on it.
func (c *conn) isReusable(once bool) bool {
	idle := time.Since(c.idleSince)
	if idle > c.idleTimeout || once && idle > maxIdleTimeOnce {
		return false
	}
	return c.reader.Buffered() == 0 && transport.IsQuiet(c.socket)
}

// exchange sends a request and reads the header of its answer.
func (c *conn) roundTrip(ctx context.Context, request *Request) (*Response, error) {
	deadline, _ := ctx.Deadline()
	err := c.socket.SetDeadline(deadline)
	if err != nil {
		return nil, &NotSentError{Err: errors.Newf("set deadline: %w", err)}
	}
	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	requestBody, err := c.send(request)
	if err != nil {
		stopInterrupt()
		return nil, err
	}
	parsed, err := c.readResponse(request)
	if err != nil {
		stopInterrupt()
		return nil, errors.Newf("read answer of %s: %w", c.id, err)
	}
	return &Response{Status: parsed.StatusCode, Header: parsed.Header, conn: c, parsed: parsed, stopInterrupt: stopInterrupt, requestBody: requestBody}, nil
}

// interrupt makes whatever reads or writes the connection return.
func (c *conn) interrupt() {
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// send writes the request. A large body is written on while the answer is
// read, because a server may answer before it has read all of it.
func (c *conn) send(request *Request) (*bodyWriter, error) {
	head := request.head()
	if len(request.Body) <= maxInlineBodyBytes {
		return nil, c.write(append(head, request.Body...))
	}
	err := c.write(head)
	if err != nil {
		return nil, err
	}
	w := &bodyWriter{conn: c, body: request.Body, done: make(chan struct{})}
	go w.run()
	return w, nil
}

func (c *conn) write(data []byte) error {
	n, err := c.socket.Write(data)
	if err == nil {
		return nil
	}
	err = errors.Newf("send to %s: %w", c.id, err)
	if n == 0 {
		return &NotSentError{Err: err}
	}
	return err
}

// readAnswer reads the header of the request's own answer; a late answer to an
// earlier request is passed over.
func (c *conn) readResponse(request *Request) (*http.Response, error) {
	for range maxResponsesRead {
		parsed, err := c.readHeader(request.Method)
		if err != nil {
			return nil, err
		}
		if request.IsResponse == nil || request.IsResponse(parsed.Header) {
			return parsed, nil
		}
		err = discardBody(parsed)
		if err != nil {
			return nil, err
		}
	}
	return nil, ErrResponseMismatch
}

func (c *conn) readHeader(method string) (*http.Response, error) {
	for {
		parsed, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Newf("header: %w", err)
		}
		if parsed.StatusCode >= http.StatusOK || parsed.StatusCode == http.StatusSwitchingProtocols {
			return parsed, nil
		}
	}
}

// head returns the request line and header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(headBufferBytes + min(len(r.Body), maxInlineBodyBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyWriter writes a body beside the reading of its answer.
type bodyWriter struct {
	conn *conn
	body []byte
	err  error
	done chan struct{}
}

func (w *bodyWriter) run() {
	defer close(w.done)
	_, w.err = w.conn.socket.Write(w.body)
}

// finished waits a little for the rest of the body and tells whether all of it
// was written.
func (w *bodyWriter) waitDone() bool {
	if w == nil {
		return true
	}
	timer := time.NewTimer(bodyWriteTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// keepAlive returns how long the server keeps an idle connection.
func idleTimeoutOf(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return idleTimeout
}
