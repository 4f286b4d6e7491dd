// Package operator is a client of the operators' HTTP API.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

const maxResponseBytes = 64 << 20

// Client calls one control instance.
type Client struct {
	// Address is the operators' address, an IP number and a port.
	Address string
	// Key is the operator's key.
	Key string
	// HTTP is the client to use; nil means the default one.
	HTTP *http.Client
	// Local asks for what the called instance knows, without a majority.
	Local bool
}

// Problem is a refusal by the control instance.
type Problem struct {
	Status int `json:"-"`
	// Code is stable, for programs.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Version is the current configuration version after a conflict.
	Version uint64 `json:"version,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Version > 0 {
		return fmt.Sprintf("%s: %s (current version %d)", p.Code, p.Message, p.Version)
	}
	return p.Code + ": " + p.Message
}

// Configuration is one numbered version.
type Configuration struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"configuration"`
}

// Patch is a JSON merge patch against a numbered version. The same ID may be
// sent again after a lost answer.
type Patch struct {
	ID      string          `json:"id"`
	Against uint64          `json:"against"`
	Patch   json.RawMessage `json:"patch"`
}

// PatchResult is the answer to a patch.
type PatchResult struct {
	Version uint64 `json:"version"`
}

// Change is one accepted patch.
type Change struct {
	Version     uint64          `json:"version"`
	PatchID     string          `json:"patch_id"`
	Operator    string          `json:"operator,omitempty"`
	SubmittedAt string          `json:"submitted_at,omitempty"`
	Patch       json.RawMessage `json:"patch"`
}

// History is a part of the accepted changes, the newest last.
type History struct {
	Version uint64 `json:"version"`
	// Oldest is the oldest version that can still be shown.
	Oldest  uint64   `json:"oldest_version"`
	Changes []Change `json:"changes"`
}

// Diff is the merge patch that leads from one version to another.
type Diff struct {
	From  uint64          `json:"from"`
	To    uint64          `json:"to"`
	Patch json.RawMessage `json:"patch"`
}

// Deposit adds prepaid tokens. The same ID may be sent again.
type Deposit struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
	// FailureDomain names the only ledger that accepts the deposit, also while
	// it is cut off; empty means the control group.
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Release gives a closed ledger epoch's in-doubt tokens back.
type Release struct {
	ID        string `json:"id"`
	Epoch     string `json:"epoch"`
	Workspace string `json:"workspace"`
}

type closeEpochRequest struct {
	Epoch string `json:"epoch"`
}

// TransferResult is the answer to a deposit or a release.
type TransferResult struct {
	Tokens int64 `json:"tokens"`
}

// Status returns the control instance's status as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var status json.RawMessage
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Budget returns a workspace's budget as JSON.
func (c *Client) Budget(ctx context.Context, workspace string) (json.RawMessage, error) {
	var budget json.RawMessage
	err := c.call(ctx, http.MethodGet, "/v1/workspaces/"+url.PathEscape(workspace)+"/budget", nil, &budget)
	return budget, err
}

// Configuration returns a version, or the current one for 0.
func (c *Client) Configuration(ctx context.Context, version uint64) (Configuration, error) {
	path := "/v1/configuration"
	if version > 0 {
		path += fmt.Sprintf("?version=%d", version)
	}
	var configuration Configuration
	err := c.call(ctx, http.MethodGet, path, nil, &configuration)
	return configuration, err
}

// History returns the kept changes up to a version, or the current one for 0.
func (c *Client) History(ctx context.Context, until uint64) (History, error) {
	path := "/v1/configuration/history"
	if until > 0 {
		path += fmt.Sprintf("?until=%d", until)
	}
	var history History
	err := c.call(ctx, http.MethodGet, path, nil, &history)
	return history, err
}

// Diff returns the merge patch between two versions. For to, 0 means the
// current one; for from, it means the one before to.
func (c *Client) Diff(ctx context.Context, from, to uint64) (Diff, error) {
	query := url.Values{}
	if from > 0 {
		query.Set("from", fmt.Sprint(from))
	}
	if to > 0 {
		query.Set("to", fmt.Sprint(to))
	}
	var diff Diff
	err := c.call(ctx, http.MethodGet, "/v1/configuration/diff?"+query.Encode(), nil, &diff)
	return diff, err
}

// Patch submits a patch. A *Problem with the code "conflict" carries the
// current version.
func (c *Client) Patch(ctx context.Context, patch Patch) (PatchResult, error) {
	var accepted PatchResult
	err := c.call(ctx, http.MethodPatch, "/v1/configuration", patch, &accepted)
	return accepted, err
}

// Deposit adds prepaid tokens to a workspace.
func (c *Client) Deposit(ctx context.Context, deposit Deposit) (TransferResult, error) {
	var moved TransferResult
	err := c.call(ctx, http.MethodPost, "/v1/deposits", deposit, &moved)
	return moved, err
}

// Release gives in-doubt tokens back to a workspace's pool.
func (c *Client) Release(ctx context.Context, release Release) (TransferResult, error) {
	var moved TransferResult
	err := c.call(ctx, http.MethodPost, "/v1/releases", release, &moved)
	return moved, err
}

// CloseEpoch ends a ledger epoch whose journal is lost: its unspent tokens are
// in doubt from then on. A resend changes nothing.
func (c *Client) CloseEpoch(ctx context.Context, epoch string) error {
	var done json.RawMessage
	return c.call(ctx, http.MethodPost, "/v1/closed_epochs", closeEpochRequest{Epoch: epoch}, &done)
}

func (c *Client) call(ctx context.Context, method, path string, body, target any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Newf("encode request: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, reader)
	if err != nil {
		return errors.Newf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Local && method == http.MethodGet {
		query := request.URL.Query()
		query.Set("local", "true")
		request.URL.RawQuery = query.Encode()
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Newf("call control instance: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Newf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeProblem(response.StatusCode, data)
	}
	err = json.Unmarshal(data, target)
	if err != nil {
		return errors.Newf("decode answer: %w", err)
	}
	return nil
}

func decodeProblem(status int, data []byte) error {
	problem := &Problem{Status: status}
	err := json.Unmarshal(data, problem)
	if err != nil || problem.Code == "" {
		problem.Code = "unexpected"
		problem.Message = http.StatusText(status)
	}
	return problem
}
