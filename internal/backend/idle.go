package backend

import (
	"context"
	"io"
	"time"
)

// idleReader cancels the request if its response body delivers no data for
// idleTimeout.
type idleReader struct {
	body  io.ReadCloser
	timer *time.Timer
}

func newIdleReader(body io.ReadCloser, cancel context.CancelFunc) *idleReader {
	return &idleReader{body: body, timer: time.AfterFunc(idleTimeout, cancel)}
}

// Read reads from the body and restarts the idle timer.
func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.timer.Reset(idleTimeout)
	return n, err
}

// Close stops the idle timer and closes the body.
func (r *idleReader) Close() error {
	r.timer.Stop()
	return r.body.Close()
}
