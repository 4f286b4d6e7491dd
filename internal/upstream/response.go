package upstream

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	// maxBodyBytes limits a response body that is read into memory.
	maxBodyBytes = 16 << 20
	// maxFramingBytes limits what the chunks of such a body add to it.
	maxFramingBytes = 1 << 20
)

// Response is the response to one request. The caller must end it with Finish or
// Abandon. It is not safe for concurrent use, except that Abandon and Interrupt may end a
// Read, and that Abandon may be called at the same time as Finish.
type Response struct {
	Status int
	Header http.Header
	// Reused is set if the connection was idle before the request, or another response
	// came first. This one may then belong to an earlier request, or to none, unless its
	// header says otherwise.
	Reused bool

	conn          *conn
	client        *Client
	parsed        *http.Response
	requestBody   *bodyWriter
	stopInterrupt func() bool
	bodyComplete  bool
	// ended is set by the first Finish or Abandon.
	ended atomic.Bool
	// reserved is the memory that the body takes from the client's budget.
	reserved int
	// body holds what was read of a whole body.
	body Body
}

// Read reads the body. It returns io.EOF after a complete body, ErrTruncated
// after an incomplete one, and transport.ErrInvalidFieldName after a trailer that is none.
// A body without a length is complete if the server closed its connection without a reset.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.parsed.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, r.end()
	case errors.Is(err, io.ErrUnexpectedEOF):
		return n, ErrTruncated
	default:
		return n, errors.Newf("read body: %w", err)
	}
}

// end checks the trailer once the body has ended. It returns io.EOF after a complete body.
func (r *Response) end() error {
	err := transport.CheckFieldNames(r.parsed.Trailer)
	if err != nil {
		return errors.Newf("check trailer: %w", err)
	}
	r.bodyComplete = true
	return io.EOF
}

// ReadAll reads the rest of the body. It fails if the body is incomplete, longer than
// 16 MiB, or larger than the memory that the bodies of other responses leave. The caller
// must call FreeBody once it no longer needs the body, also after an error.
func (r *Response) ReadAll() (Body, error) {
	return r.readAll(r.reserve)
}

// ReadAllReserved is ReadAll with memory from reserve, which is called with the size of the
// body, or else with each larger bound of it, before the memory is taken. While reserve
// waits, nothing is read from the server.
func (r *Response) ReadAllReserved(reserve func(bytes int) error) (Body, error) {
	size := int(r.parsed.ContentLength)
	if r.parsed.Body != http.NoBody && size <= maxBodyBytes {
		err := reserve(max(size, firstPieceBytes(size)))
		if err != nil {
			return nil, errors.Newf("reserve body: %w", err)
		}
	}
	return r.readAll(reserve)
}

// readAll reads the rest of the body. It calls reserve before it takes more memory.
func (r *Response) readAll(reserve func(bytes int) error) (Body, error) {
	if r.parsed.Body == http.NoBody {
		r.bodyComplete = true
		return nil, nil
	}
	size := r.parsed.ContentLength
	if size > maxBodyBytes {
		return nil, errors.Newf("response body of %d bytes: %w", size, ErrTooLarge)
	}
	r.conn.limitReads(maxBodyBytes + maxFramingBytes)
	defer func() { r.conn.limited = false }()
	err := r.readBody(int(size), reserve)
	if err != nil {
		return nil, errors.Newf("read whole body: %w", err)
	}
	r.bodyComplete = true
	return r.body, nil
}

// readBody reads the body into pieces, within the bytes that are reserved. The size is
// negative if it is not known.
func (r *Response) readBody(size int, reserve func(bytes int) error) error {
	reserved := firstPieceBytes(size)
	read := 0
	for {
		piece := r.client.pool.bodies.newPiece(min(reserved-read, pieceBytes))
		n, err := r.fill(piece, size-read)
		read += n
		r.body = append(r.body, piece[:n])
		switch {
		case errors.Is(err, io.EOF), err == nil && read == size:
			return nil
		case err == nil && read == reserved:
			reserved, err = growReserve(reserved, size, reserve)
		}
		if err != nil {
			return err
		}
	}
}

// fill reads until piece is full or holds the given number of bytes, which is negative if
// it is not known. It returns io.EOF at the end of a complete body.
func (r *Response) fill(piece []byte, rest int) (int, error) {
	filled := 0
	for filled < len(piece) && filled != rest {
		n, err := r.Read(piece[filled:])
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// firstPieceBytes returns the size of the first piece of a body of the given size, which
// is negative if it is not known.
func firstPieceBytes(size int) int {
	if size < 0 {
		return unknownBodyBytes
	}
	return min(size, maxFreeBodyBytes)
}

// growReserve reserves twice as many bytes, but no more than a body of the given size
// needs, and returns their number once reserve has returned.
func growReserve(reserved, size int, reserve func(bytes int) error) (int, error) {
	if reserved >= maxBodyBytes {
		return 0, ErrTooLarge
	}
	larger := min(2*reserved, maxBodyBytes)
	if size >= 0 {
		larger = min(larger, size)
	}
	err := reserve(larger)
	if err != nil {
		return 0, err
	}
	return larger, nil
}

// reserve takes memory for a body of the given size from the client's budget.
func (r *Response) reserve(bytes int) error {
	if bytes <= maxFreeBodyBytes {
		return nil
	}
	if !r.client.pool.bodies.reserve(bytes - r.reserved) {
		return errors.Newf("no memory for a body of %d bytes: %w", bytes, ErrTooLarge)
	}
	r.reserved = bytes
	return nil
}

// FreeBody returns the memory of a body that ReadAll has read, wholly or in part, to the
// client's budget. Other bodies may overwrite it from then on.
func (r *Response) FreeBody() {
	r.client.pool.bodies.freePieces(r.body)
	r.body = nil
	r.client.pool.bodies.free(r.reserved)
	r.reserved = 0
}

// Discard reads the rest of a short body that is not needed and reports whether it is
// complete, so that the connection can be reused.
func (r *Response) Discard() bool {
	r.conn.limitReads(maxDiscardBytes)
	defer func() { r.conn.limited = false }()
	_ = r.conn.setReadDeadline(time.Now().Add(discardTimeout))
	_, err := io.Copy(io.Discard, r)
	return err == nil && r.bodyComplete
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
// was read to its end and the connection is reusable, and closes it otherwise. It does
// nothing after Abandon.
func (r *Response) Finish() {
	if r.ended.Swap(true) {
		return
	}
	if !r.stopInterrupt() || !r.bodyComplete || r.closesConnection() || !r.requestBody.waitDone() {
		r.conn.close()
		return
	}
	r.conn.idleTimeout = idleTimeoutOf(r.Header, r.client.unstatedIdleTimeout())
	r.client.pool.put(r.conn, r.client.MaxIdle)
}

// closesConnection reports whether the connection can't be reused: the response
// ends with it, more bytes follow it, or a late response came before it.
func (r *Response) closesConnection() bool {
	return r.parsed.Close || r.conn.skipped || r.EndsWithConnection() || r.conn.reader.Buffered() > 0
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that
// only the end of the connection ends it.
func (r *Response) EndsWithConnection() bool {
	return endsWithConnection(r.parsed)
}

// HasLength reports whether the length of the body is known from the header, or because there
// is none, as after a HEAD request.
func (r *Response) HasLength() bool {
	return r.parsed.ContentLength >= 0 || r.parsed.Body == http.NoBody
}

// endsWithConnection is Response.EndsWithConnection for a parsed response.
func endsWithConnection(parsed *http.Response) bool {
	return parsed.ContentLength < 0 && len(parsed.TransferEncoding) == 0
}

// Abandon ends the response and closes the connection, so that the server stops
// working on the request. After Finish the connection may carry another request, and Abandon
// does nothing.
func (r *Response) Abandon() {
	if r.ended.Swap(true) {
		return
	}
	r.stopInterrupt()
	r.conn.close()
}

// discardBody reads the body of a response to an earlier request. It returns
// ErrResponseMismatch if the connection ends with that response.
func discardBody(parsed *http.Response) error {
	if parsed.Close || endsWithConnection(parsed) {
		return ErrResponseMismatch
	}
	_, err := io.Copy(io.Discard, io.LimitReader(parsed.Body, maxDiscardBytes))
	if err != nil {
		return errors.Newf("discard response: %w", err)
	}
	return nil
}
