package load

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/check"
	"github.com/cactusbay/cactusbay/internal/settings"
)

func testSettings(t *testing.T) *settings.LoadRun {
	t.Setenv("LOAD_TEST_KEY", "k")
	duration := check.Duration(time.Second)
	return &settings.LoadRun{
		Seed: 1, Rate: 1000, Duration: &duration, MaxRequests: 20, Retries: 1,
		Callers: []settings.Caller{{Workspace: "north", Key: settings.Secret{Environment: "LOAD_TEST_KEY"}}},
		Works: []settings.LoadWork{
			{Name: "chat", Kind: settings.LoadKindModel, Route: "demo", Share: 1, Deadline: &duration, PromptWords: 20, PrefixWords: 10, Prefixes: 2},
			{Name: "lookup", Kind: settings.LoadKindService, Route: "records", Share: 1, Deadline: &duration, Path: "/door"},
		},
	}
}

// Runs can only be compared if the same seed gives the same requests at the
// same times.
func TestPlanIsDecidedByTheSeed(t *testing.T) {
	l := testSettings(t)
	first, second := plan(l, "run"), plan(l, "run")
	if len(first) != 20 || !reflect.DeepEqual(first, second) {
		t.Errorf("plans of %d and %d requests with one seed, want 20 equal requests", len(first), len(second))
	}
	l.Seed = 2
	if reflect.DeepEqual(first, plan(l, "run")) {
		t.Error("plans with seeds 1 and 2 are equal, want them to differ")
	}
}

// Each request must be counted once, as in time, late, refused or unknown. The
// server refuses service requests and breaks off the chat streams whose key
// contains "-1".
func TestRunCountsWhatCallersSaw(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/services/") {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"error":{"code":"no_capacity","not_run":true}}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
		if strings.Contains(r.Header.Get("Idempotency-Key"), "-1") {
			_, _ = fmt.Fprint(w, "event: error\ndata: {\"error\":{\"code\":\"outcome_unknown\"}}\n\n")
			return
		}
		_, _ = fmt.Fprint(w, "data: {\"usage\":{\"total_tokens\":7}}\n\ndata: [DONE]\n\n")
	}))
	defer entry.Close()
	report, err := Run(t.Context(), Options{Settings: testSettings(t), Target: entry.URL, HTTP: entry.Client()})
	if err != nil {
		t.Fatal(err)
	}
	chat, lookup := report.Works["chat"], report.Works["lookup"]
	if chat.Requests+lookup.Requests != 20 || lookup.NotRun != lookup.Requests || lookup.Codes["no_capacity"] != lookup.NotRun {
		t.Errorf("chat %+v, lookup %+v, want 20 requests and every lookup refused with no_capacity", chat, lookup)
	}
	if chat.Unknown == 0 || chat.InTime+chat.Late+chat.Unknown != chat.Requests || chat.ResponseTokens != int64(7*(chat.InTime+chat.Late)) {
		t.Errorf("chat %+v, want broken streams counted as unknown and 7 tokens for each complete response", chat)
	}
	var table bytes.Buffer
	err = Compare(&table, []string{"a"}, []*Report{report})
	if err != nil || !strings.Contains(table.String(), "lookup") {
		t.Errorf("table %s, error %v, want a line for lookup", table.String(), err)
	}
}

// A load run must not reach another machine by mistake: Run accepts only http
// URLs with a loopback IP address and a port.
func TestRunStaysOnThisMachine(t *testing.T) {
	for _, target := range []string{"http://192.0.2.1:80", "https://127.0.0.1:80", "http://localhost:80", "127.0.0.1:80"} {
		_, err := Run(t.Context(), Options{Settings: testSettings(t), Target: target})
		if err == nil {
			t.Errorf("target %s is accepted, want an error", target)
		}
	}
}
