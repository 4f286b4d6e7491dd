package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	// dialTimeout is short because a healthy server accepts within milliseconds.
	dialTimeout     = 700 * time.Millisecond
	readBufferBytes = 8 << 10
	// headBufferBytes is the initial buffer size for a request line and header.
	headBufferBytes = 1 << 10
	// maxResponsesRead is the number of responses that are read in search of the
	// one that belongs to the request.
	maxResponsesRead = 2
	// maxHeadBytes limits what is read until the header of the response is complete,
	// with interim responses and what follows it in the read buffer.
	maxHeadBytes = 64 << 10
	// maxDiscardBytes limits the body of a response that is skipped.
	maxDiscardBytes = 64 << 10
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// maxInlineBodyBytes is the largest body that is written before the response
	// is read.
	maxInlineBodyBytes = 4 << 10
	// bodyWriteTimeout is how long the rest of a request body may take to be
	// written after the response has ended.
	bodyWriteTimeout = 200 * time.Millisecond
)

// conn is a connection to one backend server that carries one request at a time.
type conn struct {
	// id is the id of the server.
	id     string
	socket net.Conn
	reader *bufio.Reader
	// idleSince is when the last response ended; zero for a new connection.
	idleSince time.Time
	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
	// open counts the open connections of the client, with this one until closed is set.
	open   *atomic.Int64
	closed atomic.Bool
	// skipped is set once a response that belongs to no current request was skipped.
	// Others may follow, so that the connection carries no further request.
	skipped bool

	// readLimit is how many bytes may still be read, if limited is set. Both belong to the
	// goroutine that reads.
	readLimit int
	limited   bool

	// head, if set, looks at what is read; it belongs to the goroutine that reads.
	head *headScanner

	// silenceTimeout is how long a read may wait before it calls onSilence; 0 means
	// any time. Both belong to the goroutine that reads.
	silenceTimeout time.Duration
	onSilence      func()

	mu sync.Mutex
	// interrupted is set once interrupt was called for the current request.
	interrupted bool
}

// newConn returns a new connection to the server id over socket, which is counted in open.
func newConn(id string, socket net.Conn, idleTimeout time.Duration, open *atomic.Int64) *conn {
	open.Add(1)
	c := &conn{id: id, socket: socket, idleTimeout: idleTimeout, open: open}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// limitReads makes reads fail once they have brought more than limit bytes.
func (c *conn) limitReads(limit int) {
	c.readLimit = limit
	c.limited = true
}

// Read implements io.Reader on the socket. It returns ErrTooLarge beyond the limit of
// limitReads.
func (c *conn) Read(p []byte) (int, error) {
	if c.limited {
		if c.readLimit <= 0 {
			return 0, ErrTooLarge
		}
		p = p[:min(len(p), c.readLimit)]
	}
	n, err := c.readSocket(p)
	if c.limited {
		c.readLimit -= n
	}
	if c.head != nil {
		c.head.scan(p[:n])
	}
	return n, err
}

// readSocket reads from the socket. A read that has waited for silenceTimeout calls
// onSilence and then waits on.
func (c *conn) readSocket(p []byte) (int, error) {
	if c.silenceTimeout == 0 {
		return c.socket.Read(p)
	}
	if !c.setReadDeadline(time.Now().Add(c.silenceTimeout)) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.socket.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if !c.setReadDeadline(time.Time{}) {
		return 0, err
	}
	c.onSilence()
	return c.socket.Read(p)
}

// setReadDeadline sets the deadline of the next read, unless the connection was
// interrupted. It reports whether it did.
func (c *conn) setReadDeadline(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return false
	}
	_ = c.socket.SetReadDeadline(at)
	return true
}

func (c *conn) close() {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	_ = c.socket.Close()
}

// idleTimes returns the times of an idle connection.
func (c *conn) idleTimes() idleTimes {
	return idleTimes{since: c.idleSince, timeout: c.idleTimeout}
}

// isOpen reports whether the server has neither closed an idle connection nor sent any bytes
// on it.
func (c *conn) isOpen() bool {
	return c.reader.Buffered() == 0 && transport.IsReusable(c.socket)
}

// roundTrip sends a request and reads the header of its response. It ends when ctx
// does. The socket gets no deadline of its own, so that ctx is done whenever an
// operation fails because of it.
func (c *conn) roundTrip(ctx context.Context, request *Request) (*Response, error) {
	err := c.reset()
	if err != nil {
		return nil, &NotSentError{Err: err}
	}
	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	requestBody, err := c.send(request)
	if err != nil {
		stopInterrupt()
		return nil, err
	}
	c.limitReads(maxHeadBytes)
	parsed, err := c.readResponse(request)
	c.limited = false
	if err != nil {
		stopInterrupt()
		return nil, errors.Newf("read response from %s: %w", c.id, err)
	}
	return &Response{
		Status:        parsed.StatusCode,
		Header:        parsed.Header,
		Reused:        c.skipped || !c.idleSince.IsZero(),
		conn:          c,
		parsed:        parsed,
		stopInterrupt: stopInterrupt,
		requestBody:   requestBody,
	}, nil
}

// reset clears what an earlier request on the connection has set.
func (c *conn) reset() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = false
	c.silenceTimeout = 0
	c.onSilence = nil
	err := c.socket.SetDeadline(time.Time{})
	if err != nil {
		return errors.Newf("clear deadline: %w", err)
	}
	return nil
}

// interrupt makes reads and writes of the current request return, by a deadline in
// the past.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.socket.SetDeadline(time.Unix(1, 0))
}

// send writes the request. It writes a large body in the background while the
// response is read, because a server may respond before it has read all of it. The
// returned bodyWriter is nil if the body is already written.
func (c *conn) send(request *Request) (*bodyWriter, error) {
	head := request.head()
	if request.Body.Len() <= maxInlineBodyBytes {
		for _, piece := range request.Body {
			head = append(head, piece...)
		}
		return nil, c.write(head)
	}
	err := c.write(head)
	if err != nil {
		return nil, err
	}
	w := &bodyWriter{conn: c, body: request.Body, done: make(chan struct{})}
	go w.run()
	return w, nil
}

// write writes data. It returns a NotSentError if it wrote no byte.
func (c *conn) write(data []byte) error {
	n, err := c.socket.Write(data)
	if err == nil {
		return nil
	}
	err = errors.Newf("send request to %s: %w", c.id, err)
	if n == 0 {
		return &NotSentError{Err: err}
	}
	return err
}

// readResponse reads the header of the response to request. It skips a late
// response to an earlier request.
func (c *conn) readResponse(request *Request) (*http.Response, error) {
	for range maxResponsesRead {
		parsed, err := c.readHeader(request.Method)
		if err != nil {
			return nil, err
		}
		if request.IsResponse == nil || request.IsResponse(parsed.Header) {
			return parsed, nil
		}
		c.skipped = true
		err = discardBody(parsed)
		if err != nil {
			return nil, err
		}
	}
	return nil, ErrResponseMismatch
}

// readHeader reads the header of the next response and skips informational (1xx)
// responses. It returns ErrInvalidStatus for a status that no final response has: 101
// ends the use of HTTP on the connection, and no request asks for that. Other errors are
// those of parseHeader.
func (c *conn) readHeader(method string) (*http.Response, error) {
	for {
		parsed, err := c.parseHeader(method)
		if err != nil {
			return nil, err
		}
		status := parsed.StatusCode
		switch {
		case status == http.StatusSwitchingProtocols || status < http.StatusContinue || status > maxStatus:
			return nil, errors.Newf("status %d: %w", status, ErrInvalidStatus)
		case status >= http.StatusOK:
			return parsed, nil
		}
	}
}

// parseHeader reads the header of the next response, which may be an informational one. It
// returns transport.ErrInvalidFieldName or ErrInvalidFraming for one that http.ReadResponse takes
// and HTTP doesn't.
func (c *conn) parseHeader(method string) (*http.Response, error) {
	c.head = &headScanner{}
	defer func() { c.head = nil }()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.scan(buffered)
	parsed, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, errors.Newf("read header: %w", err)
	}
	err = transport.CheckFieldNames(parsed.Header)
	if err == nil {
		err = c.head.check(parsed)
	}
	if err != nil {
		return nil, errors.Newf("check header: %w", err)
	}
	return parsed, nil
}

// head returns the encoded request line and header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	bodyBytes := r.Body.Len()
	b.Grow(headBufferBytes + min(bodyBytes, maxInlineBodyBytes))
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
	if bodyBytes > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(bodyBytes))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyWriter writes a request body in the background. A nil bodyWriter stands for
// a body that is already written.
type bodyWriter struct {
	conn *conn
	body Body
	// err may be read once done is closed.
	err  error
	done chan struct{}
}

func (w *bodyWriter) run() {
	defer close(w.done)
	_, w.err = w.body.WriteTo(w.conn.socket)
}

// waitDone waits up to bodyWriteTimeout for the rest of the body and reports
// whether all of it was written.
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

// idleTimeoutOf returns how long a connection may be idle: the timeout of the
// Keep-Alive header less idleTimeoutMargin, or unstated if the header has none.
func idleTimeoutOf(header http.Header, unstated time.Duration) time.Duration {
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
	return unstated
}
