package forward

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/place"
)

// ErrNoConfiguration reports that the entry has no configuration yet.
var ErrNoConfiguration = errors.New("the entry has no configuration yet")

// Question describes a request that is to be explained and not served.
type Question struct {
	Host string
	Path string
	// Key is the caller's secret.
	Key string
	// Prompt is nil for requests that run no model.
	Prompt *place.Prompt
}

// Explanation tells what the entry would do with a request now, and why.
type Explanation struct {
	// Version and Release are the numbers of the configuration in force.
	Version uint64
	Release uint64
	// ListAge is the age of the list of backend servers; negative before the first.
	ListAge time.Duration
	// FailureDomain is that of the entry.
	FailureDomain string
	// Route is nil if no route fits.
	Route *ExplainedRoute
	// Workspace is empty if the request has none; WithoutWorkspace then says why.
	Workspace        string
	WithoutWorkspace string
	// Refusal says why the request would be refused before a server is sought; nil if it
	// would not be.
	Refusal *ExplainedRefusal
	// Checks are those before a server is sought, in their order. They end with the first
	// that refuses the request.
	Checks []Check
	// Tokens is nil if the request needs none.
	Tokens *ExplainedTokens
	// Upstreams are those of the route; one of them is drawn for each request.
	Upstreams []ExplainedUpstream
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name       string
	Host       string
	PathPrefix string
	Timeout    time.Duration
	// Priority is that of the request: the workspace's, if it sets one.
	Priority int
	// Regions are those that the request may go to; nil allows all.
	Regions *place.RegionLimit
}

// ExplainedRefusal is a refusal as the caller would get it.
type ExplainedRefusal struct {
	Reason     string
	Status     int
	RetryAfter time.Duration
}

// Values of Check.Result.
const (
	CheckPassed  = "passed"
	CheckRefused = "refused"
	// CheckRandom means that the check refuses part of such requests.
	CheckRandom = "random"
)

// Check is one reason for which the entry may refuse a request before it seeks a server.
type Check struct {
	Name   string
	Result string
	Detail string
}

// Values of ExplainedTokens.State.
const (
	TokensEnough    = "enough"
	TokensShort     = "short"
	TokensExhausted = "exhausted"
)

// ExplainedTokens are the tokens of the workspace at this entry.
type ExplainedTokens struct {
	Needed int64
	// State is one of the Tokens constants. At TokensShort the request waits for an exchange
	// or a loan, for at most Wait.
	State string
	Wait  time.Duration
	escrow.Balance
}

// Values of ExplainedUpstream.Outcome.
const (
	OutcomeSent     = "sent"
	OutcomePassedOn = "passed_on"
	OutcomeWaits    = "waits"
	OutcomeRefused  = "refused"
)

// ExplainedUpstream tells what becomes of the request if its upstream is this one.
type ExplainedUpstream struct {
	Name string
	// Share is the part of the route's requests that go to the upstream, from 0 to 1.
	Share   float64
	Outcome string
	// Refusal is set if the outcome is OutcomeRefused. At OutcomeWaits it is what follows if
	// the tokens arrive and no server takes the request.
	Refusal *ExplainedRefusal
	// Peers are the addresses of the entries of which one gets the request at
	// OutcomePassedOn.
	Peers []string
	// Placement tells how a server would be chosen; nil if the request gets none.
	Placement *place.Explanation
}

// Explain tells what would become of a request of a caller that arrives now. It decides with
// the code that serves requests, but reserves, places, counts, announces and draws nothing. It
// returns ErrNoConfiguration before the first Install.
func (s *Server) Explain(q Question) (Explanation, error) {
	table := s.table.Load()
	if table == nil {
		return Explanation{}, ErrNoConfiguration
	}
	t := &task{server: s, start: time.Now(), table: table}
	t.request = &Request{Key: q.Key, Host: q.Host, Path: q.Path, Prompt: q.Prompt}
	// A body of unknown length: its size is estimated from the prompt.
	r := &http.Request{ContentLength: -1}
	e := Explanation{Version: table.Version, Release: table.Release, ListAge: s.listAge(), FailureDomain: s.FailureDomain}
	refused := t.resolve(r)
	e.describe(t)
	if refused != nil {
		e.Refusal = explainRefusal(refused)
		return e, nil
	}
	refused = e.check(t, r)
	if refused != nil {
		e.Refusal = explainRefusal(refused)
		return e, nil
	}
	e.Tokens = t.explainTokens()
	total := 0
	for _, weighted := range t.route.Upstreams {
		total += weighted.Weight
	}
	for _, weighted := range t.route.Upstreams {
		if weighted.Weight > 0 {
			e.Upstreams = append(e.Upstreams, t.explainUpstream(weighted, total, e.Tokens))
		}
	}
	return e, nil
}

// describe tells the route and the workspace of the request.
func (e *Explanation) describe(t *task) {
	if t.route == nil {
		return
	}
	e.Route = &ExplainedRoute{Name: t.route.Name, Host: t.route.Host, PathPrefix: t.route.PathPrefix, Timeout: t.route.Timeout, Priority: t.route.priority(t.workspace), Regions: t.regions}
	e.Workspace = t.workspaceName()
	switch {
	case t.workspace != nil:
	case !t.table.requiresKeys:
		e.WithoutWorkspace = "the configuration has no workspaces"
	case t.request.Key == "":
		e.WithoutWorkspace = "no key was given"
	default:
		e.WithoutWorkspace = "no workspace has the key"
	}
	if t.workspace == nil && t.route.Public {
		e.WithoutWorkspace += "; the route is public"
	}
}

// check makes the checks before a server is sought, in the order of those for requests, and
// returns the first refusal.
func (e *Explanation) check(t *task, r *http.Request) *refusal {
	for _, check := range []func(*task, *http.Request) (Check, *refusal){
		checkDescriptors, checkOverload, checkMemory, checkShutdown, checkQuarantine,
	} {
		result, refused := check(t, r)
		if result.Result == "" {
			result.Result = CheckPassed
		}
		if refused != nil {
			result.Result = CheckRefused
		}
		e.Checks = append(e.Checks, result)
		if refused != nil {
			return refused
		}
	}
	return nil
}

func checkDescriptors(t *task, _ *http.Request) (Check, *refusal) {
	c := Check{Name: "file_descriptors"}
	if t.lacksDescriptors() {
		return c, serviceUnavailable(reasonNoDescriptors, retryAfterOtherEntry)
	}
	return c, nil
}

func checkOverload(t *task, r *http.Request) (Check, *refusal) {
	c := Check{Name: "overload"}
	if t.server.Overload == nil {
		c.Detail = "this entry sheds nothing"
		return c, nil
	}
	o := t.server.Overload.Outlook(t.start, t.overloadRequest(r))
	c.Detail = fmt.Sprintf("delay unknown, level %.2f", o.Level)
	if o.Known {
		c.Detail = fmt.Sprintf("delay %s, level %.2f", o.Delay.Round(time.Millisecond), o.Level)
	}
	if o.Hopeless {
		return c, serviceUnavailable(reasonHopeless, retryAfterOtherEntry)
	}
	if o.Refusal > 0 {
		c.Result = CheckRandom
		c.Detail += fmt.Sprintf(", %.0f%% of such requests are refused as %s", 100*o.Refusal, reasonOverloaded)
	}
	return c, nil
}

func checkMemory(t *task, _ *http.Request) (Check, *refusal) {
	bytes := t.assumedBody()
	c := Check{Name: "memory", Detail: fmt.Sprintf("for an assumed body of %d bytes", bytes)}
	if bytes > 0 && !t.server.Memory.HasRoom(t.caller, bytes) {
		return c, serviceUnavailable(reasonNoMemory, retryAfterOtherEntry)
	}
	return c, nil
}

func checkShutdown(t *task, _ *http.Request) (Check, *refusal) {
	c := Check{Name: "shutdown"}
	plan := t.server.drain.Plan()
	if plan != nil {
		c.Detail = "the entry is shutting down"
	}
	if plan.Refuses(t.start, t.deadline) {
		return c, serviceUnavailable(reasonLeaving, retryAfterOtherEntry)
	}
	return c, nil
}

// checkQuarantine checks the segments of the prompt. The digest of the request needs its body,
// which is not known.
func checkQuarantine(t *task, _ *http.Request) (Check, *refusal) {
	c := Check{Name: "quarantine", Detail: "of the prompt segments; that of single requests is not checked"}
	remaining := t.server.Quarantine.Peek(t.segmentKeys(), t.start)
	if remaining > 0 {
		return c, t.fail(reasonQuarantined, remaining)
	}
	return c, nil
}

// assumedBody returns the size of the body that a prompt has as a rule.
func (t *task) assumedBody() int64 {
	if t.request.Prompt == nil {
		return 0
	}
	return promptTokenBytes * t.request.Prompt.Tokens
}

// explainTokens returns the tokens at this entry, or nil if the request needs none.
func (t *task) explainTokens() *ExplainedTokens {
	needed, needs := t.neededTokens()
	if !needs {
		return nil
	}
	o := t.server.Holder.Outlook(t.workspace.Name, needed)
	e := &ExplainedTokens{Needed: needed, State: TokensEnough, Balance: o.Balance}
	switch {
	case errors.Is(o.Err, escrow.ErrExhausted):
		e.State = TokensExhausted
	case o.Err != nil:
		e.State, e.Wait = TokensShort, reserveTimeout
	}
	return e
}

// explainUpstream tells what becomes of the request at an upstream of the route, whose weights
// add up to total.
func (t *task) explainUpstream(weighted config.WeightedUpstream, total int, tokens *ExplainedTokens) ExplainedUpstream {
	t.upstream = weighted.Upstream
	e := ExplainedUpstream{Name: t.upstream, Share: float64(weighted.Weight) / float64(total), Outcome: OutcomeSent}
	if t.server.Fleet.IsCutOff(t.upstream) && e.passOn(t) {
		return e
	}
	if tokens != nil && tokens.State == TokensExhausted {
		e.refuse(tokenRefusal(escrow.ErrExhausted))
		return e
	}
	q := t.query(nil, t.start)
	q.Bytes = t.assumedBody()
	placement := t.server.Fleet.Explain(q)
	e.Placement = &placement
	switch d := placement.Decision.(type) {
	case place.Full:
		e.refuse(t.refuseFull(d))
	case place.NoServer:
		if e.passOn(t) {
			return e
		}
		e.refuse(t.refuseWithoutServer())
	}
	if tokens != nil && tokens.State == TokensShort {
		e.Outcome = OutcomeWaits
	}
	return e
}

// passOn reports whether the request is passed on to another entry.
func (e *ExplainedUpstream) passOn(t *task) bool {
	peers, _ := t.reachingPeers(t.start)
	if len(peers) == 0 {
		return false
	}
	e.Outcome, e.Peers = OutcomePassedOn, slices.Sorted(slices.Values(peers))
	return true
}

func (e *ExplainedUpstream) refuse(r *refusal) {
	e.Outcome = OutcomeRefused
	e.Refusal = explainRefusal(r)
}

func explainRefusal(r *refusal) *ExplainedRefusal {
	return &ExplainedRefusal{Reason: string(r.reason), Status: r.status, RetryAfter: r.retryAfter}
}
