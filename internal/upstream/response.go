package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxBody bounds an answer that is read whole.
const maxBodyBytes = 16 << 20

// Response is the answer to one request. Exactly one of Finish and Abandon
// must be called in the end.
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

// Read reads the body. An io.EOF means that it is complete; a body without a
// length is complete when its connection was closed and not reset.
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

// ReadAll reads the whole body.
func (r *Response) ReadAll() ([]byte, error) {
	if r.parsed.Body == http.NoBody {
		r.bodyComplete = true
		return nil, nil
	}
	size := r.parsed.ContentLength
	if size > maxBodyBytes {
		return nil, errors.Newf("body of %d bytes is too large", size)
	}
	if size < 0 {
		data, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
		if err == nil && len(data) > maxBodyBytes {
			err = errors.New("body is too large")
		}
		return data, err
	}
	data := make([]byte, size)
	_, err := io.ReadFull(r, data)
	if err != nil && size > 0 {
		return nil, errors.Newf("whole body: %w", err)
	}
	r.bodyComplete = true
	return data, nil
}

// Buffered tells whether more bytes of the answer are here already.
func (r *Response) Buffered() bool {
	return r.conn.reader.Buffered() > 0
}

// SetReadDeadline bounds the next reads.
func (r *Response) SetReadDeadline(at time.Time) {
	_ = r.conn.socket.SetReadDeadline(at)
}

// Finish keeps the connection for the next request when the answer has been
// read to its end and the connection is sound.
func (r *Response) Finish() {
	if !r.stopInterrupt() || !r.bodyComplete || r.closesConnection() || !r.requestBody.waitDone() {
		r.conn.close()
		return
	}
	r.conn.idleTimeout = idleTimeoutOf(r.Header)
	r.pool.put(r.conn)
}

// closes tells whether the connection ends with this answer.
func (r *Response) closesConnection() bool {
	return r.parsed.Close || r.parsed.ContentLength < 0 && len(r.parsed.TransferEncoding) == 0 || r.conn.reader.Buffered() > 0
}

// Abandon closes the connection, so that the server stops its work.
func (r *Response) Abandon() {
	r.stopInterrupt()
	r.conn.close()
}

// discard reads the rest of an answer that nobody waits for.
func discardBody(parsed *http.Response) error {
	if parsed.Close || parsed.ContentLength < 0 && len(parsed.TransferEncoding) == 0 {
		return ErrResponseMismatch
	}
	_, err := io.Copy(io.Discard, io.LimitReader(parsed.Body, maxBodyBytes))
	if err != nil {
		return errors.Newf("discard answer: %w", err)
	}
	return nil
}
