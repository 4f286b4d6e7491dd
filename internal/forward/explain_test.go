package forward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/drain"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/forward"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/memory"
	"github.com/cactusbay/cactusbay/internal/overload"
	"github.com/cactusbay/cactusbay/internal/place"
	"github.com/cactusbay/cactusbay/internal/quarantine"
	"github.com/cactusbay/cactusbay/internal/retry"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// explainedDocument is a configuration with a route that needs a key, one that is public, and
// one that splits its requests.
const explainedDocument = `{"host_routes":{
	"one.example/a/":{"name":"main","host":"one.example","path_prefix":"/a/","repetition":"once","timeout":"1500ms","max_attempts":1,"priority":2,"upstreams":[{"upstream":"pool","weight":1}]},
	"one.example/split/":{"host":"one.example","path_prefix":"/split/","repetition":"once","timeout":"1500ms","max_attempts":1,"upstreams":[{"upstream":"pool","weight":3},{"upstream":"empty","weight":1}]},
	"one.example/open/":{"host":"one.example","path_prefix":"/open/","repetition":"once","timeout":"1500ms","max_attempts":1,"public":true,"upstreams":[{"upstream":"pool","weight":1}]}},
	"upstreams":{"pool":{"engine":{"event_tokens":1},"cold_start":"3s","cold_requests_per_second":14},"empty":{}},
	"workspaces":{"north":{"key_hashes":[%q],"budget":1000}}}`

// explained is an entry without network and callers.
type explained struct {
	t      *testing.T
	server *forward.Server
	scope  tally.TestScope
}

// newExplained returns an entry that knows three servers, in the failure domains a, b and c,
// and holds no tokens.
func newExplained(t *testing.T) *explained {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	server := &forward.Server{
		Translator: explainTranslator{},
		Upstream:   &upstream.Client{},
		Retries:    &retry.Budget{},
		Entries:    func() int { return 1 },
		Tracer:     noop.NewTracerProvider().Tracer("test"),
		Fleet:      &place.Fleet{Regions: map[string]string{"a": "north", "b": "north", "c": "south"}},
		Holder:     &escrow.Holder{Exchanger: grants(0), Log: log.New(io.Discard)},
		Log:        log.New(io.Discard),
		Scope:      scope,
		ListAge:    func() time.Duration { return 400 * time.Millisecond },
	}
	server.Holder.Start()
	t.Cleanup(server.Holder.Close)
	var list []instances.Instance
	for i, domain := range []string{"a", "b", "c"} {
		list = append(list, instances.Instance{ID: fmt.Sprintf("s%d", i), Upstream: "pool", Address: fmt.Sprintf("10.0.0.%d:80", i), FailureDomain: domain, Slots: 2, ColdStated: true})
	}
	// The entry has run for a minute, so that its first list says who is cold.
	server.Fleet.Update(list, time.Now().Add(-time.Minute))
	e := &explained{t: t, server: server, scope: scope}
	e.install(1, nil)
	return e
}

// install installs the configuration with a change.
func (e *explained) install(version uint64, change func(*config.Document)) {
	e.t.Helper()
	d, err := config.Parse([]byte(fmt.Sprintf(explainedDocument, config.HashKey("secret"))))
	if err != nil {
		e.t.Fatal(err)
	}
	if change != nil {
		change(d)
	}
	e.server.Install(version, d)
}

// budgetless removes the budget of the workspace.
func budgetless(d *config.Document) {
	w := d.Workspaces["north"]
	w.Budget = nil
	d.Workspaces["north"] = w
}

// fill places as many requests at each server as it takes.
func (e *explained) fill() {
	for {
		if _, ok := e.server.Fleet.Pick(place.Query{Now: time.Now(), Upstream: "pool"}).(place.Chosen); !ok {
			return
		}
	}
}

// grants is a control group that grants a total of each workspace, or that can't be reached if
// that is 0.
type grants int64

func (g grants) Exchange(_ context.Context, exchange *group.Exchange) (map[string]group.ExchangeResult, error) {
	if g == 0 {
		return nil, errors.New("out of reach")
	}
	results := make(map[string]group.ExchangeResult)
	for workspace := range exchange.Workspaces {
		results[workspace] = group.ExchangeResult{Granted: int64(g), Target: int64(g), Unspent: int64(g)}
	}
	return results, nil
}

// explainedPrompt is the prompt of the requests that are explained.
var explainedPrompt = &place.Prompt{Tokens: 800, Output: 100, Prefix: []place.PrefixSegment{{ID: 7, Tokens: 500}}}

// explain asks about a request.
func (e *explained) explain(path, key string) forward.Explanation {
	e.t.Helper()
	answer, err := e.server.Explain(forward.Question{Host: "One.Example:80", Path: path, Key: key, Prompt: explainedPrompt})
	if err != nil {
		e.t.Fatal(err)
	}
	return answer
}

// outcomeOf returns what becomes of the request in a few words.
func outcomeOf(e forward.Explanation) string {
	if e.Refusal != nil {
		return fmt.Sprintf("refused %s %d", e.Refusal.Reason, e.Refusal.Status)
	}
	u := e.Upstreams[0]
	if u.Refusal != nil {
		return fmt.Sprintf("%s %s %d", u.Outcome, u.Refusal.Reason, u.Refusal.Status)
	}
	if u.Placement == nil {
		return u.Outcome
	}
	return u.Outcome + " " + u.Placement.Decision.(place.WouldChoose).Server
}

// TestExplainedOutcomes guards against an explanation that names another outcome or reason
// than requests get, or none.
func TestExplainedOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		prepare   func(*explained)
		want      string
		// excluded is the state and the reason that some server must have.
		excluded string
	}{
		"chosen":                   {prepare: func(e *explained) { e.install(2, budgetless) }, want: "sent s0"},
		"no route":                 {path: "/none/", want: "refused no_route 404"},
		"no key":                   {key: "-", want: "refused unknown_key 401"},
		"unknown key":              {key: "other", want: "refused unknown_key 401"},
		"public route without key": {path: "/open/x", key: "-", want: "sent s0"},
		"full": {prepare: func(e *explained) {
			e.install(2, budgetless)
			e.fill()
		}, want: "refused servers_full 503", excluded: "full full"},
		"cold": {prepare: func(e *explained) {
			e.install(2, budgetless)
			e.server.Fleet.IsLearning = func() bool { return true }
			for _, id := range []string{"s0", "s1", "s2"} {
				e.server.Fleet.RecordRemoteCold(id, time.Minute, time.Now())
			}
		}, want: "refused servers_full 503", excluded: "full cold"},
		"one evacuated": {prepare: func(e *explained) {
			e.install(2, func(d *config.Document) {
				budgetless(d)
				d.FailureDomains = map[string]config.FailureDomain{"a": {Evacuated: true}}
			})
		}, want: "sent s2", excluded: "excluded evacuated"},
		"all evacuated": {prepare: func(e *explained) {
			e.install(2, func(d *config.Document) {
				budgetless(d)
				d.FailureDomains = map[string]config.FailureDomain{"a": {Evacuated: true}, "b": {Evacuated: true}, "c": {Evacuated: true}}
			})
		}, want: "refused evacuated 503", excluded: "excluded evacuated"},
		"region": {prepare: func(e *explained) {
			e.install(2, func(d *config.Document) {
				w := d.Workspaces["north"]
				w.Budget, w.AllowedRegions = nil, []string{"south"}
				d.Workspaces["north"] = w
			})
		}, want: "sent s2", excluded: "excluded region"},
		"no server in the region": {prepare: func(e *explained) {
			e.install(2, func(d *config.Document) {
				w := d.Workspaces["north"]
				w.Budget, w.AllowedRegions = nil, []string{"east"}
				d.Workspaces["north"] = w
			})
		}, want: "refused no_server_in_allowed_regions 503", excluded: "excluded region"},
		"no server": {prepare: func(e *explained) {
			e.install(2, budgetless)
			e.server.Fleet.Update(nil, time.Now())
		}, want: "refused no_server 503"},
		"late": {prepare: func(e *explained) {
			e.install(2, budgetless)
			e.server.Fleet.Adaptive = true
			for _, id := range []string{"s0", "s1", "s2"} {
				e.server.Fleet.RecordRemotePrompt(id, time.Minute, nil, time.Now())
			}
		}, want: "refused expected_too_late 503", excluded: "late expected_too_late"},
		"no descriptors": {prepare: func(e *explained) {
			e.server.HasDescriptors = func() bool { return false }
		}, want: "refused no_descriptors 503"},
		"no memory": {prepare: func(e *explained) {
			e.server.Memory = &memory.Account{Bounds: memory.Bounds{Total: 1000, Requests: 500}}
		}, want: "refused no_memory 503"},
		"hopeless": {prepare: func(e *explained) {
			e.server.Overload = &overload.Controller{Random: rand.New(rand.NewPCG(1, 1))}
			for range 9 {
				e.server.Overload.RecordEcho(time.Now(), overload.Sample{Delay: 3 * time.Second})
			}
			e.server.Overload.Status(time.Now())
		}, want: "refused overloaded_hopeless 503"},
		"shutting down": {prepare: func(e *explained) {
			e.server.Drain(drain.Plan{Start: time.Now().Add(-time.Hour), NoticedBy: time.Now().Add(-time.Minute), End: time.Now().Add(time.Second)})
		}, want: "refused leaving 503"},
		"quarantined segment": {prepare: func(e *explained) {
			e.server.Quarantine.Merge([]quarantine.Evidence{quarantine.Verdict{Key: quarantine.Segment(7), Age: time.Minute}}, time.Now())
		}, want: "refused quarantined 503"},
		"passed on": {prepare: func(e *explained) {
			e.server.Peers = stubPeers{"10.0.0.9:7340"}
			e.server.Fleet.CutOff("pool", time.Now())
		}, want: "passed_on"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newExplained(t)
			e.install(2, budgetless)
			if c.prepare != nil {
				c.prepare(e)
			}
			path, key := c.path, c.key
			if path == "" {
				path = "/a/x"
			}
			if key == "" {
				key = "secret"
			}
			answer := e.explain(path, strings.Trim(key, "-"))
			if got := outcomeOf(answer); got != c.want {
				t.Errorf("got %q, want %q: %+v", got, c.want, answer)
			}
			e.checkReasons(answer, c.excluded)
			e.checkQuiet(answer)
			e.checkRequest(c.want, path, strings.Trim(key, "-"))
		})
	}
}

// explainTranslator is testTranslator for requests with the prompt that explain asks about.
type explainTranslator struct{ testTranslator }

func (explainTranslator) Request(r *http.Request) (*forward.Request, error) {
	request, err := testTranslator{}.Request(r)
	request.Prompt = explainedPrompt
	return request, err
}

// checkRequest checks that a request is refused if the explanation said so, for the same
// reason.
func (e *explained) checkRequest(outcome, path, key string) {
	e.t.Helper()
	if !strings.HasPrefix(outcome, "refused") {
		return
	}
	r := httptest.NewRequest(http.MethodPost, "http://one.example"+path, strings.NewReader(strings.Repeat("x", 3200)))
	r.Header.Set("Key", key)
	w := httptest.NewRecorder()
	e.server.ServeHTTP(w, r)
	if got := fmt.Sprintf("refused %s %d", strings.TrimSpace(w.Body.String()), w.Code); got != outcome {
		e.t.Errorf("a request was %q, but the explanation says %q", got, outcome)
	}
}

// checkReasons checks that a server has the given state and reason, and that refusals with
// status 503 say when to retry.
func (e *explained) checkReasons(answer forward.Explanation, want string) {
	e.t.Helper()
	refusals := []*forward.ExplainedRefusal{answer.Refusal}
	for _, u := range answer.Upstreams {
		refusals = append(refusals, u.Refusal)
		if want == "" || u.Placement == nil {
			continue
		}
		if !slices.ContainsFunc(u.Placement.Servers, func(s place.ExplainedServer) bool { return s.State+" "+s.Reason == want }) {
			e.t.Errorf("no server is %q: %+v", want, u.Placement.Servers)
		}
	}
	for _, refusal := range refusals {
		if refusal != nil && refusal.Status == 503 && refusal.RetryAfter <= 0 {
			e.t.Errorf("refusal %+v has no time to retry", refusal)
		}
	}
}

// checkQuiet checks that nothing was counted and that the answer does not hold the key.
func (e *explained) checkQuiet(answer forward.Explanation) {
	e.t.Helper()
	for name, counter := range e.scope.Snapshot().Counters() {
		if counter.Value() != 0 {
			e.t.Errorf("the explanation has counted %s", name)
		}
	}
	data, err := json.Marshal(answer)
	if err != nil || strings.Contains(string(data), "secret") {
		e.t.Errorf("the answer holds the key: %s, %v", data, err)
	}
}

// TestExplainedTokens guards against an explanation that hides a lack of tokens, or that opens
// an account or draws tokens for a workspace.
func TestExplainedTokens(t *testing.T) {
	e := newExplained(t)
	before := e.server.Holder.Totals()
	answer := e.explain("/a/x", "secret")
	if outcome := outcomeOf(answer); outcome != "waits s0" || answer.Tokens.State != forward.TokensShort || answer.Tokens.Needed != 900 || answer.Tokens.Wait <= 0 {
		t.Errorf("without tokens: %q, tokens %+v; want to wait for 900", outcome, answer.Tokens)
	}
	if after := e.server.Holder.Totals(); after != before {
		t.Errorf("the explanation has changed the tokens from %+v to %+v", before, after)
	}
	e.server.Holder = grantedHolder(t, 5000)
	answer = e.explain("/a/x", "secret")
	if outcome := outcomeOf(answer); outcome != "sent s0" || answer.Tokens.State != forward.TokensEnough || answer.Tokens.Available < 900 || answer.Tokens.Reserved != 0 {
		t.Errorf("with tokens: %q, tokens %+v; want to be sent to s0", outcome, answer.Tokens)
	}
	e.server.Holder = grantedHolder(t, 500)
	answer = e.explain("/a/x", "secret")
	if outcome := outcomeOf(answer); outcome != "refused budget_exhausted 402" || answer.Tokens.State != forward.TokensExhausted {
		t.Errorf("with an exhausted budget: %q, tokens %+v; want a refusal", outcome, answer.Tokens)
	}
}

// TestExplainedSplit guards against a random draw of the upstream: each of them is explained.
func TestExplainedSplit(t *testing.T) {
	e := newExplained(t)
	e.install(2, budgetless)
	answer := e.explain("/split/x", "secret")
	if len(answer.Upstreams) != 2 {
		t.Fatalf("got %d upstreams, want 2", len(answer.Upstreams))
	}
	pool, empty := answer.Upstreams[0], answer.Upstreams[1]
	if pool.Name != "pool" || pool.Share != 0.75 || pool.Outcome != forward.OutcomeSent || empty.Share != 0.25 || empty.Outcome != forward.OutcomeRefused {
		t.Errorf("got %+v and %+v, want pool with 0.75 that sends and empty with 0.25 that refuses", pool, empty)
	}
	if answer.Version != 2 || answer.ListAge != 400*time.Millisecond {
		t.Errorf("version %d and age of the list %s, want 2 and 400ms", answer.Version, answer.ListAge)
	}
}

// TestExplanationWithoutConfiguration guards against an explanation by an entry that would
// refuse every request.
func TestExplanationWithoutConfiguration(t *testing.T) {
	server := &forward.Server{Fleet: &place.Fleet{}}
	_, err := server.Explain(forward.Question{Host: "one.example", Path: "/a/"})
	if !errors.Is(err, forward.ErrNoConfiguration) {
		t.Errorf("got %v, want ErrNoConfiguration", err)
	}
}

// grantedHolder returns a holder of the workspace north that holds its whole budget.
func grantedHolder(t *testing.T, total int64) *escrow.Holder {
	t.Helper()
	h := &escrow.Holder{Exchanger: grants(total), Log: log.New(io.Discard), Epoch: "e"}
	h.Start()
	t.Cleanup(h.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reservation, err := h.Reserve(ctx, "north", 1)
	if err != nil {
		t.Fatal(err)
	}
	reservation.Settle(0)
	return h
}
