package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBodyBytes limits a response body that is read into memory.
const maxBodyBytes = 16 << 20

// Response is the response to one request. The caller must end it with Finish or
// Abandon. It is not safe for concurrent use, except that Abandon and Interrupt may end a
// Read.
type Response struct {
	Status int
	Header http.Header

	conn          *conn
	pool          *pool
	parsed        *http.Response
	requestBody   *bodyWriter
	stopInterrupt func() bool
	bodyComplete  bool
}

// Read reads the body. It returns io.EOF after a complete body and ErrTruncated
// after an incomplete one. A body without a length is complete if the server
// closed its connection without a reset.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.parsed.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.bodyComplete = true
		return n, io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF):
		return n, ErrTruncated
	default:
		return n, errors.Newf("read body: %w", err)
	}
}

// ReadAll reads the rest of the body. It fails if the body is incomplete or longer
// than 16 MiB.
func (r *Response) ReadAll() ([]byte, error) {
	if r.parsed.Body == http.NoBody {
		r.bodyComplete = true
		return nil, nil
	}
	size := r.parsed.ContentLength
	if size > maxBodyBytes {
		return nil, errors.Newf("response body of %d bytes is too large", size)
	}
	if size < 0 {
		data, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
		if err == nil && len(data) > maxBodyBytes {
			err = errors.New("response body is too large")
		}
		return data, err
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	if err != nil && size > 0 {
		return nil, errors.Newf("read whole body: %w", err)
	}
	r.bodyComplete = true
	return data, nil
}

// Buffered reports whether further bytes from the server are already buffered.
func (r *Response) Buffered() bool {
	return r.conn.reader.Buffered() > 0
}

// SetReadDeadline sets the deadline of all further reads. The end of the context that
// was passed to Client.Do still interrupts them.
func (r *Response) SetReadDeadline(at time.Time) {
	r.conn.setReadDeadline(at)
}

// WatchSilence calls onSilence, in the goroutine that reads, each time a read has
// waited for timeout. The read then waits on, without a timeout of its own.
func (r *Response) WatchSilence(timeout time.Duration, onSilence func()) {
	r.conn.silenceTimeout = timeout
	r.conn.onSilence = onSilence
}

// Interrupt makes the reads of a response for which WatchSilence was called fail. It
// may be called at the same time as Read, and must not be called after Finish.
func (r *Response) Interrupt() {
	r.conn.interrupt()
}

// Finish ends the response. It returns the connection to the idle pool if the body
// was read to its end and the connection is reusable, and closes it otherwise.
func (r *Response) Finish() {
	if !r.stopInterrupt() || !r.bodyComplete || r.closesConnection() || !r.requestBody.waitDone() {
		r.conn.close()
		return
	}
	r.conn.idleTimeout = idleTimeoutOf(r.Header)
	r.pool.put(r.conn)
}

// closesConnection reports whether the connection can't be reused: the response
// ends with it, or more bytes follow the response.
func (r *Response) closesConnection() bool {
	return r.parsed.Close || r.EndsWithConnection() || r.conn.reader.Buffered() > 0
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that
// only the end of the connection ends it.
func (r *Response) EndsWithConnection() bool {
	return endsWithConnection(r.parsed)
}

// endsWithConnection is Response.EndsWithConnection for a parsed response.
func endsWithConnection(parsed *http.Response) bool {
	return parsed.ContentLength < 0 && len(parsed.TransferEncoding) == 0
}

// Abandon ends the response and closes the connection, so that the server stops
// working on the request.
func (r *Response) Abandon() {
	r.stopInterrupt()
	r.conn.close()
}

// discardBody reads the body of a response to an earlier request. It returns
// ErrResponseMismatch if the connection ends with that response.
func discardBody(parsed *http.Response) error {
	if parsed.Close || endsWithConnection(parsed) {
		return ErrResponseMismatch
	}
	_, err := io.Copy(io.Discard, io.LimitReader(parsed.Body, maxBodyBytes))
	if err != nil {
		return errors.Newf("discard response: %w", err)
	}
	return nil
}
