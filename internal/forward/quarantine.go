package forward

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// eventsOfProgress is the number of events after which an answer has gone on: an engine
// that crashes as it begins to answer may still send the first.
const eventsOfProgress = 2

// refuseQuarantined returns a refusal if the request, or a segment of its prompt, is in
// quarantine, and nil otherwise.
func (t *task) refuseQuarantined() *refusal {
	remaining := t.quarantineRemaining()
	if remaining == 0 {
		return nil
	}
	t.notRepeated = deniedByQuarantine
	return t.fail(reasonQuarantined, remaining)
}

// isQuarantined reports whether the request, or a segment of its prompt, is in quarantine.
func (t *task) isQuarantined() bool {
	return t.quarantineRemaining() > 0
}

// quarantineRemaining returns how long the quarantine of the request or of a segment of its
// prompt lasts, or 0 if there is none.
func (t *task) quarantineRemaining() time.Duration {
	if t.server.Quarantine.Count() == 0 {
		return 0
	}
	return t.server.Quarantine.Remaining(t.quarantineKeys(), time.Now())
}

// quarantineKeys returns what the request may crash servers by: itself and the segments
// that its prompt shares with others.
func (t *task) quarantineKeys() []quarantine.Key {
	return append([]quarantine.Key{quarantine.Request(t.digest())}, t.segmentKeys()...)
}

// segmentKeys returns the segments of the prompt.
func (t *task) segmentKeys() []quarantine.Key {
	if t.request.Prompt == nil {
		return nil
	}
	var keys []quarantine.Key
	for _, segment := range t.request.Prompt.Prefix {
		keys = append(keys, quarantine.Segment(segment.ID))
	}
	return keys
}

// recordCrash records evidence against the request and the segments of its prompt, if err
// says that the server ended the connection before its answer had gone on, and the server
// has ended too. The end of another entry is none of a server.
func (t *task) recordCrash(placement *place.Placement, err error) {
	if placement.Peer || !isConnectionEnd(err) {
		return
	}
	var suspects []quarantine.Suspect
	for _, key := range t.quarantineKeys() {
		suspects = append(suspects, quarantine.Suspect{Key: key, SentAt: placement.StartedAt})
	}
	t.server.crashChecks.start(t.server, placement, suspects)
}

// recordProgress records that an answer to the request has gone on.
func (t *task) recordProgress() {
	t.server.Quarantine.RecordProgress(t.quarantineKeys(), time.Now())
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
