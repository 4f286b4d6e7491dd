package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

const (
	attemptReportPath     = "/v1/attempts/"
	maxAttemptReportBytes = 64 << 10
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

// AttemptReport queries the engine at address for an attempt. The error wraps
// ErrNoAttemptReport if the response is not a report in the engine's format.
func (c *Client) AttemptReport(ctx context.Context, address, attempt string) (AttemptReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+attemptReportPath+url.PathEscape(attempt), nil)
	if err != nil {
		return AttemptReport{}, errors.Newf("query attempt: %w", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return AttemptReport{}, errors.Newf("query attempt: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return AttemptReport{}, errors.Newf("query attempt: status %d: %w", response.StatusCode, ErrNoAttemptReport)
	}
	var report AttemptReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxAttemptReportBytes)).Decode(&report)
	if err != nil {
		return AttemptReport{}, errors.Newf("decode attempt report: %w", errors.Mark(err, ErrNoAttemptReport))
	}
	switch report.State {
	case AttemptRunning, AttemptDone, AttemptAbsent:
		return report, nil
	default:
		return AttemptReport{}, errors.Newf("unknown state %q: %w", report.State, ErrNoAttemptReport)
	}
}
