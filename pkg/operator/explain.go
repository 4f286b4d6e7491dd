package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrExplainUnknown reports that an entry does not know the call.
var ErrExplainUnknown = errors.New("the entry does not know the call: it runs an older build, or the address is not its metrics address")

// Entry calls one entry instance of a seeded site. Its methods return a *Problem for an error
// response and other errors if the call fails.
type Entry struct {
	// Address is the instance's metrics address, a host and a port.
	Address string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// ExplainRequest describes a request that is to be explained and not served.
type ExplainRequest struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is the caller's secret.
	Key string `json:"key,omitempty"`
	// Prompt is nil for requests that run no model.
	Prompt *ExplainPrompt `json:"prompt,omitempty"`
}

// ExplainPrompt is the prompt of a request to a model engine.
type ExplainPrompt struct {
	Tokens       int64            `json:"tokens"`
	OutputTokens int64            `json:"output_tokens"`
	Prefix       []ExplainSegment `json:"prefix,omitempty"`
}

// ExplainSegment is a prompt segment that requests share. ID is a hexadecimal number.
type ExplainSegment struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Explanation tells what an entry would do with a request. Times are in milliseconds.
type Explanation struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	// ConfigurationVersion is the control group's number of the version in force, and Release
	// the operators'.
	ConfigurationVersion uint64 `json:"configuration_version"`
	Release              uint64 `json:"release"`
	// ListAge is the age of the list of backend servers; negative before the first.
	ListAge float64 `json:"list_age_ms"`
	// Route is nil if no route fits.
	Route *ExplainedRoute `json:"route,omitempty"`
	// Workspace is empty if the request has none, and NoWorkspace then says why.
	Workspace   string `json:"workspace,omitempty"`
	NoWorkspace string `json:"no_workspace,omitempty"`
	// Refusal is set if the request is refused before a server is sought.
	Refusal   *ExplainedRefusal   `json:"refusal,omitempty"`
	Checks    []ExplainedCheck    `json:"checks,omitempty"`
	Tokens    *ExplainedTokens    `json:"tokens,omitempty"`
	Upstreams []ExplainedUpstream `json:"upstreams,omitempty"`
}

// ExplainedRoute is the route of a request. Priority is that of the request.
type ExplainedRoute struct {
	Name             string   `json:"name,omitempty"`
	Host             string   `json:"host"`
	PathPrefix       string   `json:"path_prefix"`
	Timeout          float64  `json:"timeout_ms"`
	Priority         int      `json:"priority"`
	RouteRegions     []string `json:"route_regions,omitempty"`
	WorkspaceRegions []string `json:"workspace_regions,omitempty"`
}

// ExplainedRefusal is a refusal as the caller gets it.
type ExplainedRefusal struct {
	Reason     string  `json:"reason"`
	Status     int     `json:"status"`
	RetryAfter float64 `json:"retry_after_ms,omitempty"`
}

// ExplainedCheck is a check before a server is sought. Result is passed, refused or random.
type ExplainedCheck struct {
	Name   string `json:"name"`
	Result string `json:"result"`
	Detail string `json:"detail,omitempty"`
}

// ExplainedTokens are the tokens of the workspace at the entry. State is enough, short or
// exhausted.
type ExplainedTokens struct {
	Needed int64  `json:"needed"`
	State  string `json:"state"`
	// Wait is the longest time that the request waits for tokens, if State is short.
	Wait float64 `json:"longest_wait_ms,omitempty"`
	// Available and Reserved are the tokens that the entry holds, and Target the unreserved
	// ones that it should hold.
	Available int64 `json:"available"`
	Reserved  int64 `json:"reserved"`
	Target    int64 `json:"target"`
	// Left is what is left of the whole budget, as of the last exchange.
	Left int64 `json:"left"`
	// ExchangeAge is the time since the last exchange; 0 also if there was none.
	ExchangeAge float64 `json:"exchange_age_ms"`
}

// ExplainedUpstream tells what becomes of the request at one upstream of the route. Outcome is
// sent, passed_on, waits or refused.
type ExplainedUpstream struct {
	Name string `json:"name"`
	// Share is the part of the route's requests that go to the upstream, from 0 to 1.
	Share   float64 `json:"share"`
	Outcome string  `json:"outcome"`
	// Refusal is set if the request is refused, or would be after waiting for tokens.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Peers are the addresses of the entries of which one gets a request that is passed on.
	Peers     []string            `json:"peers,omitempty"`
	Placement *ExplainedPlacement `json:"placement,omitempty"`
}

// ExplainedPlacement tells how a server is chosen.
type ExplainedPlacement struct {
	// Server and Address are those of the chosen server; empty if there is none.
	Server  string `json:"server,omitempty"`
	Address string `json:"address,omitempty"`
	// Granted is set if the request may use the room that is kept for the most urgent ones.
	// Yields is set if it would be refused in favour of more urgent ones without that.
	Granted bool `json:"granted,omitempty"`
	Yields  bool `json:"yields,omitempty"`
	// Adaptive is set if the servers are chosen by estimates of their load and speed.
	Adaptive bool `json:"adaptive"`
	// Servers are those of the upstream, the chosen one first.
	Servers []ExplainedServer `json:"servers,omitempty"`
}

// ExplainedServer is a server of the upstream. State is chosen, compared, late, full, excluded
// or not_compared.
type ExplainedServer struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	Version       string `json:"version,omitempty"`
	State         string `json:"state"`
	// Reason says more if the server is full, late or excluded.
	Reason string `json:"reason,omitempty"`
	// Wait is the time after which a server that is full or late may take the request.
	Wait float64 `json:"wait_ms,omitempty"`
	// Cost is the sum of Terms; 0 for a server that was not compared.
	Cost  float64         `json:"cost_ms"`
	Terms []ExplainedTerm `json:"terms,omitempty"`
	// FirstEvent is the expected time to the first event, if servers are chosen by estimates.
	FirstEvent float64 `json:"first_event_ms,omitempty"`
	// Requests is the number of requests believed to be at the server, and InFlight how many
	// of them are this entry's.
	Requests int `json:"requests"`
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	// CachedTokens is the part of the prompt that is believed to be cached.
	CachedTokens int64 `json:"cached_tokens"`
	// Cold is why the server counts as cold; empty if it does not.
	Cold string `json:"cold,omitempty"`
	// ReportAge is nil if the server has reported no load.
	ReportAge *float64 `json:"report_age_ms,omitempty"`
}

// ExplainedTerm is a part of the cost of a server.
type ExplainedTerm struct {
	Name string  `json:"name"`
	Cost float64 `json:"cost_ms"`
}

// Explain asks the entry what it would do with a request now. The entry sends nothing and
// changes nothing. It returns ErrExplainUnknown if the entry does not know the call.
func (e *Entry) Explain(ctx context.Context, question ExplainRequest) (Explanation, error) {
	var explanation Explanation
	data, err := json.Marshal(question)
	if err != nil {
		return explanation, errors.Newf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/explain", bytes.NewReader(data))
	if err != nil {
		return explanation, errors.Newf("build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	client := e.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return explanation, errors.Newf("call entry instance: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return explanation, errors.Newf("read response: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return explanation, ErrExplainUnknown
	default:
		return explanation, decodeProblem(response.StatusCode, data)
	}
	err = json.Unmarshal(data, &explanation)
	if err != nil {
		return explanation, errors.Newf("decode response: %w", err)
	}
	return explanation, nil
}
