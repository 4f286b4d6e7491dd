package group

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/check"
	"github.com/cactusbay/cactusbay/internal/config"
)

// evacuatedIn returns the sorted names of the evacuated failure domains of a group's
// configuration.
func evacuatedIn(t testing.TB, g *Group) []string {
	t.Helper()
	current, _ := g.Current()
	parsed, err := config.Parse(current.Document)
	if err != nil {
		t.Fatal(err)
	}
	return slices.Sorted(maps.Keys(parsed.EvacuatedDomains()))
}

func evacuate(t testing.TB, g *Group, failureDomain string, evacuated bool) Result {
	t.Helper()
	result, err := Propose(t.Context(), directLog{group: g}, ChangeEvacuation{ID: "order", FailureDomain: failureDomain, Evacuated: evacuated})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func replace(t testing.TB, g *Group, document *config.Document) {
	t.Helper()
	command, err := NewReplacement(document, fmt.Appendf(nil, "text of %d", document.Release), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	result, err := Propose(t.Context(), directLog{group: g}, command)
	if err != nil || result.Code != CodeDone {
		t.Fatalf("replace: %+v, %v", result, err)
	}
}

// TestRepeatedOrdersAreAcknowledged guards against an order that is refused, or makes a new
// version, when the operator sends it again after an acknowledgement that was lost, or
// after the evacuation was withdrawn.
func TestRepeatedOrdersAreAcknowledged(t *testing.T) {
	g := New(nil)
	if result := evacuate(t, g, "a", true); result.Code != CodeNotFound {
		t.Errorf("order before the first configuration: %+v, want not found", result)
	}
	replace(t, g, &config.Document{Release: 5})
	steps := []struct {
		failureDomain string
		evacuated     bool
		version       uint64
		want          []string
	}{
		{"a", false, 1, nil},
		{"a", true, 2, []string{"a"}},
		{"a", true, 2, []string{"a"}},
		{"b", true, 3, []string{"a", "b"}},
		{"a", false, 4, []string{"b"}},
		{"a", false, 4, []string{"b"}},
		{"a", true, 5, []string{"a", "b"}},
		{"b", false, 6, []string{"a"}},
		{"a", false, 7, nil},
	}
	for i, step := range steps {
		result := evacuate(t, g, step.failureDomain, step.evacuated)
		if got := evacuatedIn(t, g); result.Code != CodeDone || result.Version != step.version || !slices.Equal(got, step.want) {
			t.Errorf("step %d: got %+v and %v evacuated, want version %d and %v", i, result, got, step.version, step.want)
		}
	}
	if result := evacuate(t, g, "", true); result.Code != CodeInvalid {
		t.Errorf("order without a name: %+v, want invalid", result)
	}
}

// TestReplacementKeepsEvacuations guards against requests sent to an evacuated failure
// domain after operators have replaced the whole configuration, which names none, and
// against a text that differs from what they sent.
func TestReplacementKeepsEvacuations(t *testing.T) {
	g := New(nil)
	replace(t, g, &config.Document{Release: 1, Upstreams: map[string]config.Upstream{"pool": {}}})
	evacuate(t, g, "a", true)
	ignored := map[string]config.FailureDomain{"b": {Evacuated: true}}
	replace(t, g, &config.Document{Release: 2, FailureDomains: ignored, Upstreams: map[string]config.Upstream{"other": {}}})
	if got := evacuatedIn(t, g); !slices.Equal(got, []string{"a"}) {
		t.Errorf("after a replacement %v are evacuated, want a", got)
	}
	if source := string(g.ReleasedDocument().Source); source != "text of 2" {
		t.Errorf("got source %q, want the text of release 2", source)
	}
	evacuate(t, g, "a", false)
	replace(t, g, &config.Document{Release: 3, FailureDomains: ignored})
	if got := evacuatedIn(t, g); len(got) > 0 {
		t.Errorf("a document evacuated %v", got)
	}
}

// TestRestoredGroupKeepsEvacuations guards against an evacuation that ends when a control
// instance restores a snapshot, and against a version that differs there from that of the
// others.
func TestRestoredGroupKeepsEvacuations(t *testing.T) {
	g := New(nil)
	replace(t, g, &config.Document{Release: 1})
	evacuate(t, g, "a", true)
	snapshot, err := g.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(nil)
	err = restored.Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		failureDomain string
		evacuated     bool
	}{{"a", true}, {"b", true}, {"a", false}} {
		want, got := evacuate(t, g, step.failureDomain, step.evacuated), evacuate(t, restored, step.failureDomain, step.evacuated)
		if want.Version != got.Version || !slices.Equal(evacuatedIn(t, g), evacuatedIn(t, restored)) {
			t.Errorf("%+v: version %d and %v evacuated, want %d and %v", step, got.Version, evacuatedIn(t, restored), want.Version, evacuatedIn(t, g))
		}
	}
}

// TestWatchersLearnEvacuationsByPatches guards against whole documents sent to all entries
// at each order, and against entries whose document differs from that of the group.
func TestWatchersLearnEvacuationsByPatches(t *testing.T) {
	g := New(nil)
	replace(t, g, largeDocument(200))
	evacuate(t, g, "a", true)
	before, _ := g.Current()
	first, err := config.Encoded{JSON: before.Document}.Apply(nil)
	if err != nil {
		t.Fatal(err)
	}
	w := &Watcher{installed: first}
	for i, evacuated := range []bool{false, true} {
		have := before.Number + uint64(i)
		evacuate(t, g, "a", evacuated)
		response := g.buildUpdate(&watchRequest{HaveVersion: have})
		if len(response.Patches) != 1 || len(response.Document) > 0 {
			t.Fatalf("update with %d patches and %d bytes of document, want one patch", len(response.Patches), len(response.Document))
		}
		next, err := w.assemble(response, have, have)
		if err != nil || next.Document.EvacuatedDomains()["a"] != evacuated {
			t.Fatalf("got %v evacuated, %v, want %v for a", next.Document.EvacuatedDomains(), err, evacuated)
		}
		w.installed = next
	}
}

// largeDocument returns a document with the given number of routes.
func largeDocument(routes int) *config.Document {
	timeout := check.Duration(time.Second)
	document := &config.Document{Release: 1, HostRoutes: make(map[string]config.HostRoute), Upstreams: map[string]config.Upstream{"pool": {}}}
	for i := range routes {
		prefix := fmt.Sprintf("/part-%d/", i)
		document.HostRoutes[config.HostRouteKey("host.example", prefix)] = config.HostRoute{
			Name: fmt.Sprintf("route-%d", i), Host: "host.example", PathPrefix: prefix, Repetition: config.RepeatStream, Timeout: &timeout,
			LatencyTarget: &timeout, Upstreams: []config.WeightedUpstream{{Upstream: "pool", Weight: 1}},
		}
	}
	return document
}

// BenchmarkEvacuationOfLargeDocument measures what each control instance does to apply an
// order to a document of 1,600 routes that it has not parsed, as after a replacement.
func BenchmarkEvacuationOfLargeDocument(b *testing.B) {
	g := New(nil)
	replace(b, g, largeDocument(1600))
	evacuated := false
	for b.Loop() {
		evacuated = !evacuated
		evacuate(b, g, "a", evacuated)
	}
}
