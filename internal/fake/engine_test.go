package fake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":8}`

func callEngine(ctx context.Context, e *Engine, method, path, attempt string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(chatBody))
	request.Header.Set(attemptHeader, attempt)
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, request)
	return recorder
}

func fetchAttempt(t *testing.T, e *Engine, attempt string) engineAttempt {
	t.Helper()
	var got engineAttempt
	recorder := callEngine(t.Context(), e, http.MethodGet, "/v1/attempts/"+attempt, "")
	err := json.NewDecoder(recorder.Body).Decode(&got)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestEngineResumesFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{KeepsRunning: true}
		e.Inject(Truncate{After: 3})
		truncated := callEngine(t.Context(), e, http.MethodPost, "/v1/chat/completions", "a")
		if strings.Contains(truncated.Body.String(), "[DONE]") {
			t.Fatal("a truncated answer has its end mark")
		}
		resumed := callEngine(t.Context(), e, http.MethodGet, "/v1/streams/a", "")
		if !strings.HasPrefix(resumed.Body.String(), truncated.Body.String()) || !strings.Contains(resumed.Body.String(), "[DONE]") {
			t.Errorf("resumed answer: %s", resumed.Body.String())
		}
		want := engineAttempt{State: "done", PromptTokens: 1, CompletionTokens: 8}
		if got := fetchAttempt(t, e, "a"); got != want {
			t.Errorf("attempt %+v, want %+v", got, want)
		}
		if got := fetchAttempt(t, e, "b"); got.State != "absent" {
			t.Errorf("unknown attempt %+v", got)
		}
	})
}

func TestEngineCancelsWhenTheConnectionBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{}
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Millisecond)
		defer cancel()
		callEngine(ctx, e, http.MethodPost, "/v1/chat/completions", "a")
		synctest.Wait()
		want := engineAttempt{State: "done", PromptTokens: 1, CompletionTokens: 3}
		if got := fetchAttempt(t, e, "a"); got != want {
			t.Errorf("attempt %+v, want %+v", got, want)
		}
	})
}

func TestEngineStepGrowsAndReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{StepGrowth: time.Millisecond, MaxBatch: 2, LoadLag: 10 * time.Millisecond}
		start := time.Now()
		done := make(chan time.Duration, 3)
		for _, attempt := range []string{"a", "b", "c"} {
			go func() {
				callEngine(t.Context(), e, http.MethodPost, "/v1/chat/completions", attempt)
				done <- time.Since(start)
			}()
		}
		time.Sleep(5 * time.Millisecond)
		body, _ := io.ReadAll(callEngine(t.Context(), e, http.MethodGet, "/load", "").Body)
		if !strings.Contains(string(body), `"running":0`) {
			t.Errorf("the report does not lag: %s", body)
		}
		var last time.Duration
		for range 3 {
			last = <-done
		}
		if last != 40*time.Millisecond {
			t.Errorf("two batches took %v, want 8 steps of 3ms and 8 of 2ms", last)
		}
	})
}

func TestEngineCacheEvicts(t *testing.T) {
	c := &prefixCache{limit: 2}
	words := strings.Fields(strings.Repeat("w ", 32))
	if got := c.lookupAndStore(words); got != 0 {
		t.Errorf("cold cache gave %d", got)
	}
	if got := c.lookupAndStore(words); got != 32 {
		t.Errorf("warm cache gave %d", got)
	}
	c.lookupAndStore(strings.Fields(strings.Repeat("x ", 32)))
	if got := c.lookupAndStore(words); got != 0 {
		t.Errorf("evicted prompt gave %d", got)
	}
}
