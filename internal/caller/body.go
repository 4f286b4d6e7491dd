package caller

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultBodyBytes = 1 << 20
	// bodyFactor is how many times its length a body takes while it is read and passed on.
	bodyFactor = 2
	// firstBodyBytes is the size of the first buffer of a body without a length.
	firstBodyBytes = 4 << 10
)

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// errNoMemory reports that the entry has no memory for the rest of a body, or that the body
// stalled and gave way to others that lacked memory.
var errNoMemory = errors.New("no memory for the request body")

// errBodyTooLarge reports that a body is longer than the limit.
var errBodyTooLarge = errors.New("the request body is over the limit")

// readBody reads the body up to the configured limit, into memory that the request has reserved.
func (r *request) readBody(w http.ResponseWriter, in *http.Request) *Refusal {
	limit := r.document.Limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	controller := http.NewResponseController(w)
	r.memory.Begin(func() { _ = controller.SetReadDeadline(pastDeadline) })
	err := r.fillBody(in, limit)
	if !r.memory.Complete() {
		err = errNoMemory
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errBodyTooLarge):
		return notRun(http.StatusRequestEntityTooLarge, codeTooLarge, "the body is larger than the limit", 0)
	case errors.Is(err, errNoMemory):
		return notRun(http.StatusServiceUnavailable, codeNoCapacity, "the instance has no memory for the body", retrySoon)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRun(http.StatusRequestTimeout, codeBodyTimeout, "the body did not arrive in time", 0)
	default:
		return notRun(http.StatusBadRequest, codeBadRequest, "the body broke off", 0)
	}
}

// fillBody reads the body, whose buffer grows to its length if that is known, or else to twice its
// size each time. Errors are errBodyTooLarge, errNoMemory and those of the caller's connection.
func (r *request) fillBody(in *http.Request, limit int64) error {
	if in.ContentLength > limit {
		return errBodyTooLarge
	}
	size := in.ContentLength
	if size < 0 {
		size = min(firstBodyBytes, limit+1)
	}
	for {
		if !r.memory.TryGrow(size * bodyFactor) {
			return errNoMemory
		}
		// The byte beyond a known length lets a read see the end of the body.
		r.body = append(make([]byte, 0, size+1), r.body...)
		err := r.fillBuffer(in.Body)
		switch {
		case int64(len(r.body)) > limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Newf("read request body: %w", err)
		}
		size = min(2*size, limit+1)
	}
}

// fillBuffer reads until the buffer of the body is full. It returns io.EOF at the end of a complete
// body.
func (r *request) fillBuffer(body io.Reader) error {
	for len(r.body) < cap(r.body) {
		n, err := body.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		r.memory.Advance(n)
		if err != nil {
			return err
		}
	}
	return nil
}
