// Package operator is a client of the operators' HTTP API of control instances.
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

// maxResponseBytes is the size to which the client truncates a response, which then
// fails to decode.
const maxResponseBytes = 64 << 20

// Client calls the API of one control instance. Its methods return a *Problem for an
// error response and other errors if the call fails. After other errors, and after a
// Problem with the code "unavailable", the request may have taken effect. The methods
// may be called concurrently.
type Client struct {
	// Address is the instance's operator address, an IP address and a port.
	Address string
	// Key is the operator's secret key.
	Key string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// Local makes reads return the state of the called instance without
	// confirmation by a majority. It may be out of date.
	Local bool
}

// Problem is an error response of the control instance.
type Problem struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Code identifies the kind of problem for programs; it is stable. It is
	// "unexpected" if the response is not in the format of the API.
	Code string `json:"code"`
	// Message describes the problem for people.
	Message string `json:"message"`
	// Version is the current configuration version after a conflict.
	Version uint64 `json:"version,omitempty"`
}

// Error returns the code, the message and, after a conflict, the current version.
func (p *Problem) Error() string {
	if p.Version > 0 {
		return fmt.Sprintf("%s: %s (current version %d)", p.Code, p.Message, p.Version)
	}
	return p.Code + ": " + p.Message
}

// Configuration is one version of the configuration. Document is JSON.
type Configuration struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"configuration"`
}

// Patch is a JSON merge patch against the configuration version Against. A patch
// whose response was lost may be sent again with the same ID; it is applied once.
type Patch struct {
	ID      string          `json:"id"`
	Against uint64          `json:"against"`
	Patch   json.RawMessage `json:"patch"`
}

// PatchResult is the result of an accepted patch.
type PatchResult struct {
	// Version is the version that the patch created.
	Version uint64 `json:"version"`
}

// Change is one accepted patch. Version is the version that it created, and
// SubmittedAt the time of its submission in RFC 3339 format.
type Change struct {
	Version     uint64          `json:"version"`
	PatchID     string          `json:"patch_id"`
	Operator    string          `json:"operator,omitempty"`
	SubmittedAt string          `json:"submitted_at,omitempty"`
	Patch       json.RawMessage `json:"patch"`
}

// History is a section of the accepted changes, oldest first.
type History struct {
	// Version is the current version.
	Version uint64 `json:"version"`
	// Oldest is the oldest version that the history still holds.
	Oldest  uint64   `json:"oldest_version"`
	Changes []Change `json:"changes"`
}

// Diff is the JSON merge patch from one version to another.
type Diff struct {
	From  uint64          `json:"from"`
	To    uint64          `json:"to"`
	Patch json.RawMessage `json:"patch"`
}

// Deposit adds prepaid tokens to a workspace. It may be sent again with the same ID;
// the tokens are added once.
type Deposit struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Tokens    int64  `json:"tokens"`
	// FailureDomain selects the ledger that accepts the deposit, also while the
	// domain cannot reach the control group. If it is empty, the control group
	// accepts the deposit.
	FailureDomain string `json:"failure_domain,omitempty"`
}

// Release returns the tokens of a closed ledger epoch that are in doubt to the
// workspace's pool. It may be sent again with the same ID.
type Release struct {
	ID        string `json:"id"`
	Epoch     string `json:"epoch"`
	Workspace string `json:"workspace"`
}

type closeEpochRequest struct {
	Epoch string `json:"epoch"`
}

// TransferResult is the result of a deposit or a release.
type TransferResult struct {
	// Tokens is the number of tokens deposited or released.
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

// Configuration returns a version of the configuration; 0 means the current one.
func (c *Client) Configuration(ctx context.Context, version uint64) (Configuration, error) {
	path := "/v1/configuration"
	if version > 0 {
		path += fmt.Sprintf("?version=%d", version)
	}
	var configuration Configuration
	err := c.call(ctx, http.MethodGet, path, nil, &configuration)
	return configuration, err
}

// History returns the newest changes up to the version until; 0 means the current
// one. The instance limits the number of changes in one response.
func (c *Client) History(ctx context.Context, until uint64) (History, error) {
	path := "/v1/configuration/history"
	if until > 0 {
		path += fmt.Sprintf("?until=%d", until)
	}
	var history History
	err := c.call(ctx, http.MethodGet, path, nil, &history)
	return history, err
}

// Diff returns the JSON merge patch from one version to another. A to of 0 means the
// current version, and a from of 0 the version before to.
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

// Release returns tokens that are in doubt to a workspace's pool.
func (c *Client) Release(ctx context.Context, release Release) (TransferResult, error) {
	var moved TransferResult
	err := c.call(ctx, http.MethodPost, "/v1/releases", release, &moved)
	return moved, err
}

// CloseEpoch closes a ledger epoch whose journal is lost. Its unspent tokens are in
// doubt from then on. Closing an epoch twice has no further effect.
func (c *Client) CloseEpoch(ctx context.Context, epoch string) error {
	var done json.RawMessage
	return c.call(ctx, http.MethodPost, "/v1/closed_epochs", closeEpochRequest{Epoch: epoch}, &done)
}

// call sends one request with body encoded as JSON, if it is not nil, and decodes the
// response into target.
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
		return errors.Newf("build request: %w", err)
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
		return errors.Newf("read response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeProblem(response.StatusCode, data)
	}
	err = json.Unmarshal(data, target)
	if err != nil {
		return errors.Newf("decode response: %w", err)
	}
	return nil
}

// decodeProblem returns the *Problem of an error response.
func decodeProblem(status int, data []byte) error {
	problem := &Problem{Status: status}
	err := json.Unmarshal(data, problem)
	if err != nil || problem.Code == "" {
		problem.Code = "unexpected"
		problem.Message = http.StatusText(status)
	}
	return problem
}
