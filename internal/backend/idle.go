package backend

import (
	"context"
	"io"
	"time"
)

// idleReader ends a body that stays silent for longer than the idle timeout.
type idleReader struct {
	body  io.ReadCloser
	timer *time.Timer
}

func newIdleReader(body io.ReadCloser, cancel context.CancelFunc) *idleReader {
	return &idleReader{body: body, timer: time.AfterFunc(idleTimeout, cancel)}
}

func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.timer.Reset(idleTimeout)
	return n, err
}

func (r *idleReader) Close() error {
	r.timer.Stop()
	return r.body.Close()
}
