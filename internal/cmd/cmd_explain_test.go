package cmd

import (
	"strings"
	"testing"

	"github.com/cactusbay/cactusbay/pkg/operator"
)

// TestExplanationText guards against a text that leaves out why a request is refused or waits,
// which servers were compared, or the terms of their costs.
func TestExplanationText(t *testing.T) {
	age := 35.5
	servers := []operator.ExplainedServer{
		{ID: "i-1", FailureDomain: "a", State: "chosen", Cost: 12.5, Terms: []operator.ExplainedTerm{{Name: "occupancy", Cost: 2.5}, {Name: "prefill", Cost: 10}}, Requests: 3, Slots: 8, CachedTokens: 500, ReportAge: &age},
		{ID: "i-2", FailureDomain: "b", State: "full", Reason: "cold", Wait: 100, InFlight: 1, Slots: 8, Cold: "the list says so"},
	}
	for range maxExplainedServers {
		servers = append(servers, operator.ExplainedServer{ID: "i-3", FailureDomain: "c", State: "excluded", Reason: "evacuated"})
	}
	refusal := &operator.ExplainedRefusal{Reason: "servers_full", Status: 503, RetryAfter: 100}
	for name, c := range map[string]struct {
		explanation operator.Explanation
		want        []string
	}{
		"sent": {operator.Explanation{
			Instance: "entry-1", FailureDomain: "a", ConfigurationVersion: 7, Release: 3, ListAge: 250, Workspace: "north",
			Route:     &operator.ExplainedRoute{Name: "chat", Host: "h", PathPrefix: "/a/", Timeout: 1500, Priority: 2, WorkspaceRegions: []string{"r1", "r2"}},
			Checks:    []operator.ExplainedCheck{{Name: "overload", Result: "random", Detail: "level 0.50"}},
			Tokens:    &operator.ExplainedTokens{State: "enough", Needed: 900, Available: 1000, Left: 5000, ExchangeAge: 20},
			Upstreams: []operator.ExplainedUpstream{{Name: "pool", Share: 1, Outcome: "sent", Placement: &operator.ExplainedPlacement{Server: "i-1", Address: "10.0.0.1:80", Adaptive: true, Servers: servers}}},
		}, []string{
			"outcome sent to i-1 at 10.0.0.1:80", "entry entry-1 in failure domain a", "configuration version 7, release 3", "list of servers 250ms old",
			"route chat for h/a/, priority 2, timeout 1500ms", "allowed regions route: any; workspace: r1 r2", "workspace north", "check overload random, level 0.50",
			"tokens enough: 900 needed, 1000 available, 0 reserved, target 0, 5000 left in the budget, exchanged 20ms ago",
			"upstream pool, for 100% of such requests", "servers chosen by estimates of load and speed",
			"i-1 a chosen 3 8 500 35.5ms 12.5ms occupancy 2.5ms, prefill 10ms", "i-2 b full cold 1 8 0 none may take it in 100ms, cold: the list says so", "2 more; see --json",
		}},
		"waits and is refused": {operator.Explanation{ListAge: -1, Upstreams: []operator.ExplainedUpstream{{Outcome: "waits", Refusal: refusal}}}, []string{
			"outcome waits for tokens; if they arrive in time: refused with status 503: servers_full, retry after 100ms", "list of servers none yet", "route none fits",
		}},
		"passed on": {operator.Explanation{Upstreams: []operator.ExplainedUpstream{{Outcome: "passed_on", Peers: []string{"10.0.0.2:7340"}}}}, []string{
			"outcome passed on to one of the entries 10.0.0.2:7340",
		}},
		"refused before placement": {operator.Explanation{Refusal: &operator.ExplainedRefusal{Reason: "unknown_key", Status: 401}, NoWorkspace: "no key was given", Route: &operator.ExplainedRoute{Host: "h", PathPrefix: "/"}}, []string{
			"outcome refused with status 401: unknown_key", "workspace none: no key was given", "route h/, priority 0, timeout 0ms",
		}},
		"split": {operator.Explanation{Upstreams: []operator.ExplainedUpstream{{Name: "x", Share: 0.25, Refusal: refusal}, {Name: "y", Share: 0.75, Refusal: refusal}}}, []string{
			"outcome by one of 2 upstreams, see below", "upstream x, for 25% of such requests", "upstream y, for 75% of such requests",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var output strings.Builder
			err := writeExplanation(&output, c.explanation)
			if err != nil {
				t.Fatal(err)
			}
			// Columns are separated by as many spaces as the other lines need.
			text := "\n"
			for line := range strings.Lines(output.String()) {
				text += strings.Join(strings.Fields(line), " ") + "\n"
			}
			for _, want := range c.want {
				if !strings.Contains(text, "\n"+want+"\n") {
					t.Errorf("the text lacks the line %q:\n%s", want, output.String())
				}
			}
		})
	}
}

// TestExplainedPromptIsChecked guards against malformed numbers that are taken for others.
func TestExplainedPromptIsChecked(t *testing.T) {
	prompt, err := parseExplainedPrompt("1200, 300", "a1:500,ff:20")
	if err != nil || prompt.Tokens != 1200 || prompt.OutputTokens != 300 || len(prompt.Prefix) != 2 || prompt.Prefix[1] != (operator.ExplainSegment{ID: "ff", Tokens: 20}) {
		t.Errorf("got %+v, %v", prompt, err)
	}
	prompt, err = parseExplainedPrompt("", "")
	if prompt != nil || err != nil {
		t.Errorf("got %+v, %v without tokens, want none", prompt, err)
	}
	for _, c := range [][2]string{{"1200", ""}, {"1,2,3", ""}, {"-1,2", ""}, {"1,", ""}, {"1e3,2", ""}, {"1,2", "xyz:1"}, {"1,2", "a1"}, {"1,2", "a1:-5"}, {"1,2", "a1:5,"}, {"1,2", "11112222333344445:5"}, {"", "a1:5"}} {
		_, err := parseExplainedPrompt(c[0], c[1])
		if err == nil {
			t.Errorf("--tokens %q --prefix %q is accepted", c[0], c[1])
		}
	}
}
