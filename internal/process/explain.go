package process

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// explainPath is the path of the call at the metrics address.
	explainPath = "/explain"
	// maxExplainBytes bounds the body of the call. It leaves room for a thousand segments.
	maxExplainBytes = 64 << 10
	// maxExplainedTokens bounds each number of tokens, so that sums do not overflow.
	maxExplainedTokens = 1 << 40
)

// explainer serves the call that explains requests.
type explainer struct {
	instance string
	explain  func(forward.Question) (forward.Explanation, error)
	// busy is held while an explanation is computed.
	busy sync.Mutex
}

// explainCall is the body of the call.
type explainCall struct {
	Host   string         `json:"host"`
	Path   string         `json:"path"`
	Key    string         `json:"key"`
	Prompt *explainPrompt `json:"prompt"`
}

type explainPrompt struct {
	Tokens       int64            `json:"tokens"`
	OutputTokens int64            `json:"output_tokens"`
	Prefix       []explainSegment `json:"prefix"`
}

// explainSegment is a prompt segment; its id is a hexadecimal number, as in log lines.
type explainSegment struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// explainProblem is the body of an error response.
type explainProblem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// The types of the response have times in milliseconds.

type explainAnswer struct {
	Instance             string            `json:"instance"`
	FailureDomain        string            `json:"failure_domain"`
	ConfigurationVersion uint64            `json:"configuration_version"`
	Release              uint64            `json:"release"`
	ListAge              float64           `json:"list_age_ms"`
	Route                *explainRoute     `json:"route,omitempty"`
	Workspace            string            `json:"workspace,omitempty"`
	NoWorkspace          string            `json:"no_workspace,omitempty"`
	Refusal              *explainRefusal   `json:"refusal,omitempty"`
	Checks               []explainCheck    `json:"checks,omitempty"`
	Tokens               *explainTokens    `json:"tokens,omitempty"`
	Upstreams            []explainUpstream `json:"upstreams,omitempty"`
}

type explainRoute struct {
	Name             string   `json:"name,omitempty"`
	Host             string   `json:"host"`
	PathPrefix       string   `json:"path_prefix"`
	Timeout          float64  `json:"timeout_ms"`
	Priority         int      `json:"priority"`
	RouteRegions     []string `json:"route_regions,omitempty"`
	WorkspaceRegions []string `json:"workspace_regions,omitempty"`
}

type explainRefusal struct {
	Reason     string  `json:"reason"`
	Status     int     `json:"status"`
	RetryAfter float64 `json:"retry_after_ms,omitempty"`
}

type explainCheck struct {
	Name   string `json:"name"`
	Result string `json:"result"`
	Detail string `json:"detail,omitempty"`
}

type explainTokens struct {
	Needed      int64   `json:"needed"`
	State       string  `json:"state"`
	Wait        float64 `json:"longest_wait_ms,omitempty"`
	Available   int64   `json:"available"`
	Reserved    int64   `json:"reserved"`
	Target      int64   `json:"target"`
	Left        int64   `json:"left"`
	ExchangeAge float64 `json:"exchange_age_ms"`
}

type explainUpstream struct {
	Name      string            `json:"name"`
	Share     float64           `json:"share"`
	Outcome   string            `json:"outcome"`
	Refusal   *explainRefusal   `json:"refusal,omitempty"`
	Peers     []string          `json:"peers,omitempty"`
	Placement *explainPlacement `json:"placement,omitempty"`
}

type explainPlacement struct {
	Server   string          `json:"server,omitempty"`
	Address  string          `json:"address,omitempty"`
	Granted  bool            `json:"granted,omitempty"`
	Yields   bool            `json:"yields,omitempty"`
	Adaptive bool            `json:"adaptive"`
	Servers  []explainServer `json:"servers,omitempty"`
}

type explainServer struct {
	ID            string        `json:"id"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Region        string        `json:"region,omitempty"`
	Version       string        `json:"version,omitempty"`
	State         string        `json:"state"`
	Reason        string        `json:"reason,omitempty"`
	Wait          float64       `json:"wait_ms,omitempty"`
	Cost          float64       `json:"cost_ms"`
	Terms         []explainTerm `json:"terms,omitempty"`
	FirstEvent    float64       `json:"first_event_ms,omitempty"`
	Requests      int           `json:"requests"`
	InFlight      int           `json:"in_flight"`
	Slots         int           `json:"slots"`
	CachedTokens  int64         `json:"cached_tokens"`
	Cold          string        `json:"cold,omitempty"`
	ReportAge     *float64      `json:"report_age_ms,omitempty"`
}

type explainTerm struct {
	Name string  `json:"name"`
	Cost float64 `json:"cost_ms"`
}

// ServeHTTP implements http.Handler. Errors do not repeat parts of the call, which holds a key.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeExplainProblem(w, http.StatusRequestEntityTooLarge, "too_large", "the body of the call is too large")
		return
	}
	var call explainCall
	if err != nil || json.Unmarshal(body, &call) != nil {
		writeExplainProblem(w, http.StatusBadRequest, "malformed", "the body of the call is not the JSON object that is expected")
		return
	}
	question, problem := call.question()
	if problem != "" {
		writeExplainProblem(w, http.StatusBadRequest, "malformed", problem)
		return
	}
	// An explanation holds the lock of the fleet for as long as a few placements. Only one at
	// a time is computed, so that a loop of calls delays no requests.
	if !e.busy.TryLock() {
		writeExplainProblem(w, http.StatusTooManyRequests, "busy", "another explanation is being computed")
		return
	}
	defer e.busy.Unlock()
	explanation, err := e.explain(question)
	if err != nil {
		writeExplainProblem(w, http.StatusServiceUnavailable, "no_configuration", err.Error())
		return
	}
	answer := newExplainAnswer(explanation)
	answer.Instance = e.instance
	writeExplainJSON(w, http.StatusOK, answer)
}

// question checks the call. problem says what is wrong with it; empty if nothing is.
func (c *explainCall) question() (question forward.Question, problem string) {
	question = forward.Question{Host: c.Host, Path: c.Path, Key: c.Key}
	if c.Host == "" || c.Path == "" || c.Path[0] != '/' {
		return question, "host must be given, and path must begin with a slash"
	}
	if c.Prompt == nil {
		return question, ""
	}
	if !isTokenCount(c.Prompt.Tokens) || !isTokenCount(c.Prompt.OutputTokens) {
		return question, "a number of tokens is negative or too large"
	}
	prompt := &place.Prompt{Tokens: c.Prompt.Tokens, Output: c.Prompt.OutputTokens}
	for _, segment := range c.Prompt.Prefix {
		id, err := strconv.ParseUint(segment.ID, 16, 64)
		if err != nil || !isTokenCount(segment.Tokens) {
			return question, "a segment of the prefix has an id that is not a hexadecimal number, or a number of tokens that is negative or too large"
		}
		prompt.Prefix = append(prompt.Prefix, place.PrefixSegment{ID: id, Tokens: segment.Tokens})
	}
	question.Prompt = prompt
	return question, ""
}

func isTokenCount(tokens int64) bool {
	return tokens >= 0 && tokens <= maxExplainedTokens
}

func writeExplainProblem(w http.ResponseWriter, status int, code, message string) {
	writeExplainJSON(w, status, explainProblem{Code: code, Message: message})
}

func writeExplainJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "cannot encode the response", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func newExplainAnswer(e forward.Explanation) explainAnswer {
	answer := explainAnswer{
		FailureDomain:        e.FailureDomain,
		ConfigurationVersion: e.Version,
		Release:              e.Release,
		ListAge:              milliseconds(e.ListAge),
		Workspace:            e.Workspace,
		NoWorkspace:          e.WithoutWorkspace,
		Refusal:              newExplainRefusal(e.Refusal),
	}
	if e.ListAge < 0 {
		answer.ListAge = -1
	}
	if e.Route != nil {
		route := explainRoute{Name: e.Route.Name, Host: e.Route.Host, PathPrefix: e.Route.PathPrefix, Timeout: milliseconds(e.Route.Timeout), Priority: e.Route.Priority}
		if e.Route.Regions != nil {
			route.RouteRegions, route.WorkspaceRegions = e.Route.Regions.Route, e.Route.Regions.Workspace
		}
		answer.Route = &route
	}
	for _, check := range e.Checks {
		answer.Checks = append(answer.Checks, explainCheck(check))
	}
	if t := e.Tokens; t != nil {
		answer.Tokens = &explainTokens{Needed: t.Needed, State: t.State, Wait: milliseconds(t.Wait), Available: t.Available, Reserved: t.Reserved, Target: t.Target, Left: t.Remaining, ExchangeAge: milliseconds(t.Age)}
	}
	for _, u := range e.Upstreams {
		answer.Upstreams = append(answer.Upstreams, explainUpstream{Name: u.Name, Share: u.Share, Outcome: u.Outcome, Refusal: newExplainRefusal(u.Refusal), Peers: u.Peers, Placement: newExplainPlacement(u.Placement)})
	}
	return answer
}

func newExplainRefusal(r *forward.ExplainedRefusal) *explainRefusal {
	if r == nil {
		return nil
	}
	return &explainRefusal{Reason: r.Reason, Status: r.Status, RetryAfter: milliseconds(r.RetryAfter)}
}

func newExplainPlacement(e *place.Explanation) *explainPlacement {
	if e == nil {
		return nil
	}
	p := &explainPlacement{Yields: e.Yields, Adaptive: e.Adaptive}
	if chosen, ok := e.Decision.(place.WouldChoose); ok {
		p.Server, p.Address, p.Granted = chosen.Server, chosen.Address, chosen.Granted
	}
	for _, s := range e.Servers {
		p.Servers = append(p.Servers, newExplainServer(s))
	}
	return p
}

func newExplainServer(s place.ExplainedServer) explainServer {
	explained := explainServer{
		ID:            s.ID,
		Address:       s.Address,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Version:       s.Version,
		State:         s.State,
		Reason:        s.Reason,
		Wait:          milliseconds(s.Wait),
		Cost:          milliseconds(s.Cost),
		FirstEvent:    milliseconds(s.FirstEvent),
		Requests:      s.Requests,
		InFlight:      s.InFlight,
		Slots:         s.Slots,
		CachedTokens:  s.CachedTokens,
		Cold:          s.Cold,
	}
	if s.HasReport {
		age := milliseconds(s.ReportAge)
		explained.ReportAge = &age
	}
	for _, term := range s.Terms {
		explained.Terms = append(explained.Terms, explainTerm{Name: term.Name, Cost: milliseconds(term.Cost)})
	}
	return explained
}
