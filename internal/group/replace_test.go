package group

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/budget"
	"github.com/cactusbay/cactusbay/internal/check"
	"github.com/cactusbay/cactusbay/internal/config"
)

func replacement(t *testing.T, release, tokens int) ReplaceConfiguration {
	t.Helper()
	total := int64(tokens)
	document := &config.Document{Release: uint64(release), Workspaces: map[string]config.Workspace{"north": {Budget: &total}}}
	command, err := NewReplacement(document, fmt.Appendf(nil, "sent %d with %d", release, tokens), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return command
}

// TestHighestReleaseIsInForce guards against an older release that overtakes a
// newer one: releases arrive out of order, again and with different content
// under one number.
func TestHighestReleaseIsInForce(t *testing.T) {
	s := newState()
	steps := []struct {
		command ReplaceConfiguration
		code    Code
		source  string
		version uint64
	}{
		{replacement(t, 4, 400), CodeDone, "sent 4 with 400", 1},
		{replacement(t, 4, 400), CodeDone, "sent 4 with 400", 1},
		{replacement(t, 4, 999), CodeDone, "sent 4 with 400", 1},
		{replacement(t, 2, 200), CodeDone, "sent 4 with 400", 1},
		{replacement(t, 9, 900), CodeDone, "sent 9 with 900", 2},
		{replacement(t, 7, 700), CodeDone, "sent 9 with 900", 2},
	}
	for i, step := range steps {
		result := s.apply(step.command, nil)
		if result.Code != step.code || string(s.Configuration.Source) != step.source || s.Configuration.Number != step.version {
			t.Errorf("step %d: got result %+v, source %q and version %d, want those of the step", i, result, s.Configuration.Source, s.Configuration.Number)
		}
	}
	if total := s.Accounts["north"].Total; total != 900 {
		t.Errorf("budget %d, want the 900 of the highest release", total)
	}
}

func TestNewReplacementRejectsInvalidDocument(t *testing.T) {
	document := &config.Document{Release: 3, HostRoutes: map[string]config.HostRoute{"h/": {Host: "h", PathPrefix: "/"}}}
	_, err := NewReplacement(document, nil, time.Now())
	if err == nil {
		t.Error("a route without a timeout was accepted")
	}
}

// TestWatcherReceivesReplacementAsPatch guards against large documents sent
// whole after a small change: a watcher that has an earlier version gets only
// the patch from it.
func TestWatcherReceivesReplacementAsPatch(t *testing.T) {
	g := New(nil)
	document := &config.Document{HostRoutes: make(map[string]config.HostRoute), Upstreams: map[string]config.Upstream{"pool": {}}}
	timeout := check.Duration(time.Second)
	for release := 1; release <= 3; release++ {
		for i := range 100 + release {
			prefix := fmt.Sprintf("/p%d/", i)
			document.HostRoutes[config.HostRouteKey("h", prefix)] = config.HostRoute{
				Host: "h", PathPrefix: prefix, Repetition: config.RepeatOnce, Timeout: &timeout,
				Upstreams: []config.WeightedUpstream{{Upstream: "pool", Weight: 1}},
			}
		}
		document.Release = uint64(10 * release)
		command, err := NewReplacement(document, nil, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		g.state.apply(command, nil)
	}
	first := g.buildUpdate(&watchRequest{})
	if len(first.Document) == 0 {
		t.Fatal("a watcher without a version got no document")
	}
	before, err := g.Version(1)
	if err != nil {
		t.Fatal(err)
	}
	w := &Watcher{installed: config.Encoded{JSON: before.Document}}
	response := g.buildUpdate(&watchRequest{HaveVersion: 1})
	if len(response.CombinedPatch) == 0 || len(response.CombinedPatch) > len(first.Document)/10 {
		t.Fatalf("patch of %d bytes, want at most a tenth of the document's %d", len(response.CombinedPatch), len(first.Document))
	}
	merged, err := w.assemble(response, 1, 1)
	if err != nil || string(merged.JSON) != string(first.Document) {
		t.Errorf("the patched document differs from the newest: %v", err)
	}
	_, err = w.assemble(response, 1, 2)
	if !errors.Is(err, errPatchGap) {
		t.Errorf("patch applied to a version it was not made for: %v, want errPatchGap", err)
	}
}

func TestExchangeOpensAndClosesEpochsAndDraws(t *testing.T) {
	s := newState()
	s.apply(replacement(t, 1, 1_000_000), nil)
	exchange := func(epoch string, item ExchangeItem) Result {
		return s.apply(Exchange{Epoch: epoch, Instance: "entry", Workspaces: map[string]ExchangeItem{"north": item, "unknown": {Need: 5}}}, nil)
	}
	first := exchange("start-1", ExchangeItem{Need: 5000})
	granted := first.ExchangeResults["north"].Granted
	if first.Code != CodeDone || granted < 5000 || !reflect.DeepEqual(first.ExchangeResults["unknown"], ExchangeResult{}) {
		t.Fatalf("%+v", first)
	}
	again := exchange("start-1", ExchangeItem{Need: 5000})
	if again.ExchangeResults["north"].Granted != granted {
		t.Errorf("a resent exchange drew again: %d granted after %d", again.ExchangeResults["north"].Granted, granted)
	}
	granted = exchange("start-1", ExchangeItem{KnownGrant: granted, Counters: budget.Counters{Billed: 300}}).ExchangeResults["north"].Granted
	exchange("start-2", ExchangeItem{Need: 10})
	if !s.Epochs["start-1"].Closed {
		t.Error("the epoch of an earlier run is still open")
	}
	account := s.Accounts["north"]
	if account.InDoubt() != granted-300 {
		t.Errorf("%d tokens in doubt of %d granted and 300 billed, want all that are not billed", account.InDoubt(), granted)
	}
	if late := exchange("start-1", ExchangeItem{KnownGrant: granted, Need: 10}); late.Code != CodeNotFound {
		t.Errorf("exchange of a closed epoch: %+v, want not found", late)
	}
}
