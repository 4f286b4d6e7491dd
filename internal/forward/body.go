package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultMaxBodyBytes limits a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// firstPieceBytes is the size of the first piece of a body without a length, and
	// pieceBytes the largest size of a piece.
	firstPieceBytes = 4 << 10
	pieceBytes      = 64 << 10
)

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// errNoMemory reports that the entry has no memory for the next piece of a body, or that the
// body stalled and gave way to others that lacked memory.
var errNoMemory = errors.New("no memory for the request body")

// errBodyTooLarge reports that a body is longer than the limit.
var errBodyTooLarge = errors.New("the request body is over the limit")

// readBody reads the request body. It refuses one that is too large, for which the entry has no
// memory, or that has not arrived by the deadline of the request: it can't be served any more.
func (t *task) readBody(r *http.Request) *refusal {
	limit := t.table.Limits.BodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return bodyTooLarge()
	}
	if r.ContentLength == 0 {
		return nil
	}
	t.bodyMemory = t.server.Memory.Request(t.caller)
	if r.ContentLength > 0 && !t.bodyMemory.TryGrow(r.ContentLength) {
		return t.refuseWithoutMemory(r)
	}
	controller := http.NewResponseController(t.w)
	// Connections without deadlines, such as those of some tests, are left without.
	_ = controller.SetReadDeadline(t.deadline)
	t.bodyMemory.Begin(func() { _ = controller.SetReadDeadline(pastDeadline) })
	err := t.readPieces(r, limit)
	if !t.bodyMemory.Complete() {
		err = errNoMemory
	}
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return nil
	case errors.Is(err, errNoMemory):
		return t.refuseWithoutMemory(r)
	case errors.Is(err, errBodyTooLarge):
		return bodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.w.Header().Set("Connection", "close")
		return &refusal{reason: reasonBodyTimeout, status: http.StatusRequestTimeout}
	default:
		// A body that can't be read means that the caller has disconnected.
		return &refusal{reason: reasonCallerLeft}
	}
}

// bodyTooLarge returns the refusal of a body over the limit.
func bodyTooLarge() *refusal {
	return &refusal{reason: reasonBodyTooLarge, status: http.StatusRequestEntityTooLarge}
}

// readPieces reads the body into pieces, which are never copied. Memory for one with a length
// is reserved; for one without, it is reserved piece by piece. Errors are errNoMemory,
// errBodyTooLarge and those of the caller's connection.
func (t *task) readPieces(r *http.Request, limit int64) error {
	known := r.ContentLength > 0
	if known {
		limit = r.ContentLength
	}
	for read := int64(0); ; {
		size := nextPieceBytes(read, limit, known)
		if !known && !t.bodyMemory.TryGrow(read+size) {
			return errNoMemory
		}
		piece := make([]byte, size)
		n, err := t.fill(r.Body, piece)
		read += int64(n)
		if n > 0 {
			t.request.Body = append(t.request.Body, piece[:n])
		}
		switch {
		case read > limit:
			return errBodyTooLarge
		case known && read == limit, !known && errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Newf("read request body: %w", err)
		}
	}
}

// nextPieceBytes returns the size of the next piece of a body of which read bytes have been
// read. A body of limit bytes, if that is its known length, needs no more; one of unknown
// length grows to twice its size, and may turn out to be longer.
func nextPieceBytes(read, limit int64, known bool) int64 {
	switch {
	case known:
		return min(limit-read, pieceBytes)
	case read == 0:
		return min(limit+1, firstPieceBytes)
	default:
		return min(limit+1-read, read, pieceBytes)
	}
}

// fill reads until piece is full. It returns io.EOF at the end of a complete body.
func (t *task) fill(body io.Reader, piece []byte) (int, error) {
	filled := 0
	for filled < len(piece) {
		n, err := body.Read(piece[filled:])
		filled += n
		t.bodyMemory.Advance(n)
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}
