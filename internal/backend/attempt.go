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

// States of an attempt at an engine.
const (
	AttemptRunning = "running"
	AttemptDone    = "done"
	// AttemptAbsent means that the engine never got the attempt.
	AttemptAbsent = "absent"
)

// ErrNoAttemptReport reports a backend server that cannot tell of attempts.
var ErrNoAttemptReport = errors.New("the backend server cannot tell what the attempt did")

// AttemptReport is what an engine tells of an attempt.
type AttemptReport struct {
	State            string `json:"state"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
}

// Tokens returns the tokens that the attempt used.
func (r AttemptReport) Tokens() int64 {
	return r.PromptTokens + r.CompletionTokens
}

// AttemptReport asks the engine at address what an attempt generated. Only an answer
// in the engine's own format counts.
func (c *Client) AttemptReport(ctx context.Context, address, attempt string) (AttemptReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+attemptReportPath+url.PathEscape(attempt), nil)
	if err != nil {
		return AttemptReport{}, errors.Newf("ask about attempt: %w", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return AttemptReport{}, errors.Newf("ask about attempt: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return AttemptReport{}, errors.Newf("status %d: %w", response.StatusCode, ErrNoAttemptReport)
	}
	var report AttemptReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxAttemptReportBytes)).Decode(&report)
	if err != nil {
		return AttemptReport{}, errors.Newf("decode attempt: %w", errors.Mark(err, ErrNoAttemptReport))
	}
	switch report.State {
	case AttemptRunning, AttemptDone, AttemptAbsent:
		return report, nil
	default:
		return AttemptReport{}, errors.Newf("state %q: %w", report.State, ErrNoAttemptReport)
	}
}
