package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const attemptsPath = "/v1/attempts/"

// Values of attemptStatus.State.
const (
	stateRunning = "running"
	stateAbsent  = "absent"
)

// attemptStatus is an engine's report of the state of an attempt and the tokens it
// used.
type attemptStatus struct {
	State            string `json:"state"`
	PromptTokens     int64  `json:"prompt_tokens"`
	CompletionTokens int64  `json:"completion_tokens"`
}

// CancelResult is an engine's response to the cancellation of an attempt.
type CancelResult struct {
	// Ran is false if the engine does not know the attempt.
	Ran bool
	// Tokens is the sum of the prompt's and the generated tokens.
	Tokens int64
}

// Cancel cancels an attempt at an engine and returns the tokens that it used.
func (c *Client) Cancel(ctx context.Context, chat Chat) (CancelResult, error) {
	status, err := c.requestAttemptStatus(ctx, http.MethodDelete, chat)
	if err != nil {
		return CancelResult{}, errors.Newf("cancel attempt: %w", err)
	}
	return CancelResult{Ran: status.State != stateAbsent, Tokens: status.PromptTokens + status.CompletionTokens}, nil
}

// status queries an engine for the state and the tokens of an attempt.
func (c *Client) status(ctx context.Context, chat Chat) (attemptStatus, error) {
	return c.requestAttemptStatus(ctx, http.MethodGet, chat)
}

// requestAttemptStatus sends a request for an attempt: GET queries its status,
// DELETE cancels it.
func (c *Client) requestAttemptStatus(ctx context.Context, method string, chat Chat) (attemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+chat.Address+attemptsPath+chat.Attempt, nil)
	if err != nil {
		return attemptStatus{}, errors.Newf("new request: %w", err)
	}
	response, err := c.send(ctx, request, chat.Attempt)
	if err != nil {
		return attemptStatus{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return attemptStatus{}, &StatusError{Status: response.StatusCode}
	}
	var status attemptStatus
	err = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&status)
	if err != nil {
		return attemptStatus{}, errors.Newf("decode attempt status: %w", err)
	}
	return status, nil
}
