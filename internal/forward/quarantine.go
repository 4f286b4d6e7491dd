package forward

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// eventsOfProgress is the number of events after which an answer has gone on: an engine
// that crashes as it begins to answer may still send the first.
const eventsOfProgress = 2

// refuseQuarantined returns a refusal if a segment of the request's prompt is in
// quarantine, and nil otherwise.
func (t *task) refuseQuarantined() *refusal {
	remaining := t.quarantineRemaining()
	if remaining == 0 {
		return nil
	}
	t.notRepeated = deniedByQuarantine
	return t.fail(reasonQuarantined, remaining)
}

// isQuarantined reports whether a segment of the request's prompt is in quarantine.
func (t *task) isQuarantined() bool {
	return t.quarantineRemaining() > 0
}

// quarantineRemaining returns how long the quarantine of the request's prompt lasts, or 0
// if none of its segments is in quarantine.
func (t *task) quarantineRemaining() time.Duration {
	if t.request.Prompt == nil {
		return 0
	}
	return t.server.Quarantine.Remaining(t.request.Prompt.Prefix, time.Now())
}

// recordCrash records evidence against the segments of the request's prompt, if err says
// that the server ended the connection before its answer had gone on, and the server has
// ended too.
func (t *task) recordCrash(placement *place.Placement, err error) {
	if t.request.Prompt != nil && isConnectionEnd(err) {
		t.server.crashChecks.start(t.server, placement, t.request.Prompt.Prefix)
	}
}

// recordProgress records that an answer to the request has gone on.
func (t *task) recordProgress() {
	if t.request.Prompt != nil {
		t.server.Quarantine.RecordProgress(t.request.Prompt.Prefix, time.Now())
	}
}

// isConnectionEnd reports whether err means that the server closed or reset the
// connection.
func isConnectionEnd(err error) bool {
	for _, end := range []error{upstream.ErrTruncated, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// isSuccess reports whether a status says that a server has run the request to its end.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
