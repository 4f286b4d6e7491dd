package backend

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/upstream"
)

const (
	attemptsPath = "/v1/attempts/"
	// attemptRequestTimeout bounds one query or cancellation of an attempt.
	attemptRequestTimeout = time.Second
)

// Values of AttemptReport.State.
const (
	AttemptRunning = "running"
	AttemptDone    = "done"
	// AttemptAbsent means that the engine never received the attempt.
	AttemptAbsent = "absent"
)

// ErrNoAttemptReport reports that the backend server cannot report the state of an
// attempt.
var ErrNoAttemptReport = errors.New("backend server cannot report the state of the attempt")

// AttemptReport is an engine's report of the state of an attempt and the tokens it
// used.
type AttemptReport struct {
	State            string `json:"state"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
}

// Tokens returns the sum of the prompt's and the generated tokens.
func (r AttemptReport) Tokens() int64 {
	return r.PromptTokens + r.CompletionTokens
}

// QueryAttempt queries the engine at address for an attempt. The error wraps
// ErrNoAttemptReport if the response is not a report in the engine's format.
func (c *Client) QueryAttempt(ctx context.Context, address, attempt string) (AttemptReport, error) {
	return c.requestAttemptReport(ctx, http.MethodGet, address, attempt)
}

// CancelAttempt cancels an attempt at the engine at address. Errors are those of
// QueryAttempt.
func (c *Client) CancelAttempt(ctx context.Context, address, attempt string) (AttemptReport, error) {
	return c.requestAttemptReport(ctx, http.MethodDelete, address, attempt)
}

// requestAttemptReport sends a request for an attempt: GET queries it, DELETE cancels
// it.
func (c *Client) requestAttemptReport(ctx context.Context, method, address, attempt string) (AttemptReport, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptRequestTimeout)
	defer cancel()
	request := &upstream.Request{Method: method, Target: attemptsPath + url.PathEscape(attempt), Again: true}
	response, err := c.send(ctx, address, request, attempt)
	if err != nil {
		return AttemptReport{}, errors.Newf("%s attempt: %w", method, err)
	}
	var report AttemptReport
	err = readReport(response, &report)
	if err != nil {
		return AttemptReport{}, errors.Newf("%s attempt: %w", method, errors.Mark(err, ErrNoAttemptReport))
	}
	switch report.State {
	case AttemptRunning, AttemptDone, AttemptAbsent:
		return report, nil
	default:
		return AttemptReport{}, errors.Newf("%s attempt: unknown state %q: %w", method, report.State, ErrNoAttemptReport)
	}
}
