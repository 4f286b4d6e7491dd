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

func loadRun(t *testing.T) *settings.LoadRun {
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

func TestPlanIsDecidedByTheSeed(t *testing.T) {
	l := loadRun(t)
	first, second := plan(l, "run"), plan(l, "run")
	if len(first) != 20 || !reflect.DeepEqual(first, second) {
		t.Errorf("plans of %d and %d requests differ", len(first), len(second))
	}
	l.Seed = 2
	if reflect.DeepEqual(first, plan(l, "run")) {
		t.Error("another seed gives the same plan")
	}
}

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
	report, err := Run(t.Context(), Options{Settings: loadRun(t), Target: entry.URL, HTTP: entry.Client()})
	if err != nil {
		t.Fatal(err)
	}
	chat, lookup := report.Works["chat"], report.Works["lookup"]
	if chat.Requests+lookup.Requests != 20 || lookup.NotRun != lookup.Requests || lookup.Codes["no_capacity"] != lookup.NotRun {
		t.Errorf("chat %+v, lookup %+v", chat, lookup)
	}
	if chat.Unknown == 0 || chat.InTime+chat.Late+chat.Unknown != chat.Requests || chat.AnsweredTokens != int64(7*(chat.InTime+chat.Late)) {
		t.Errorf("chat %+v", chat)
	}
	var table bytes.Buffer
	err = Compare(&table, []string{"a"}, []*Report{report})
	if err != nil || !strings.Contains(table.String(), "lookup") {
		t.Errorf("table %s, %v", table.String(), err)
	}
}

func TestRunStaysOnThisMachine(t *testing.T) {
	for _, target := range []string{"http://192.0.2.1:80", "https://127.0.0.1:80", "http://localhost:80", "127.0.0.1:80"} {
		_, err := Run(t.Context(), Options{Settings: loadRun(t), Target: target})
		if err == nil {
			t.Errorf("%s is accepted", target)
		}
	}
}
