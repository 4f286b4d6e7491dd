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
	attemptPath     = "/v1/attempts/"
	maxAttemptBytes = 64 << 10
)

// States of an attempt at an engine.
const (
	AttemptRunning = "running"
	AttemptDone    = "done"
	// AttemptAbsent means that the engine never got the attempt.
	AttemptAbsent = "absent"
)

// ErrNoAttempts reports a backend server that cannot tell of attempts.
var ErrNoAttempts = errors.New("the backend server cannot tell what the attempt did")

// Attempt is what an engine tells of an attempt.
type Attempt struct {
	State            string `json:"state"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
}

// Tokens returns the tokens that the attempt used.
func (a Attempt) Tokens() int64 {
	return a.PromptTokens + a.CompletionTokens
}

// Attempt asks the engine at address what an attempt generated. Only an answer
// in the engine's own format counts.
func (c *Client) Attempt(ctx context.Context, address, attempt string) (Attempt, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+attemptPath+url.PathEscape(attempt), nil)
	if err != nil {
		return Attempt{}, errors.Newf("ask about attempt: %w", err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Attempt{}, errors.Newf("ask about attempt: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Attempt{}, errors.Newf("status %d: %w", response.StatusCode, ErrNoAttempts)
	}
	var answer Attempt
	err = json.NewDecoder(io.LimitReader(response.Body, maxAttemptBytes)).Decode(&answer)
	if err != nil {
		return Attempt{}, errors.Newf("decode attempt: %w", errors.Mark(err, ErrNoAttempts))
	}
	switch answer.State {
	case AttemptRunning, AttemptDone, AttemptAbsent:
		return answer, nil
	default:
		return Attempt{}, errors.Newf("state %q: %w", answer.State, ErrNoAttempts)
	}
}
