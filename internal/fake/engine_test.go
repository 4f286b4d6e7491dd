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

// A stream that breaks off must be readable again from its first token under
// the same attempt id.
func TestEngineResumesFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{KeepsRunning: true}
		e.Inject(Truncate{After: 3})
		truncated := callEngine(t.Context(), e, http.MethodPost, "/v1/chat/completions", "a")
		if strings.Contains(truncated.Body.String(), "[DONE]") {
			t.Fatal("truncated response contains [DONE], want it cut off before")
		}
		resumed := callEngine(t.Context(), e, http.MethodGet, "/v1/streams/a", "")
		if !strings.HasPrefix(resumed.Body.String(), truncated.Body.String()) || !strings.Contains(resumed.Body.String(), "[DONE]") {
			t.Errorf("resumed response %s, want the truncated one continued up to [DONE]", resumed.Body.String())
		}
		want := engineAttempt{State: "done", PromptTokens: 1, CompletionTokens: 8}
		if got := fetchAttempt(t, e, "a"); got != want {
			t.Errorf("attempt %+v, want %+v", got, want)
		}
		if got := fetchAttempt(t, e, "b"); got.State != "absent" {
			t.Errorf("unknown attempt %+v, want state absent", got)
		}
	})
}

// Without KeepsRunning, a generation must stop when its caller disconnects.
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

// Steps must take longer in a larger batch, and the load must be as old as
// LoadLag. The requests start 1 ms apart, so that no two steps end at the same time.
func TestEngineStepGrowsAndReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{StepGrowth: time.Millisecond, MaxBatch: 2, LoadLag: 10 * time.Millisecond}
		start := time.Now()
		done := make(chan time.Duration, 3)
		for i, attempt := range []string{"a", "b", "c"} {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				callEngine(t.Context(), e, http.MethodPost, "/v1/chat/completions", attempt)
				done <- time.Since(start)
			}()
		}
		time.Sleep(5 * time.Millisecond)
		body, _ := io.ReadAll(callEngine(t.Context(), e, http.MethodGet, "/load", "").Body)
		if !strings.Contains(string(body), `"running":0`) {
			t.Errorf("load %s, want running 0 as before the requests", body)
		}
		var last time.Duration
		for range 3 {
			last = <-done
		}
		if last != 40*time.Millisecond {
			t.Errorf("the last request ended after %v, want 40ms: at 23ms it follows the first, then 1 step of 3ms and 7 of 2ms", last)
		}
	})
}

// The prefix cache must count cached prompt tokens and evict the least recently
// used blocks.
func TestEngineCacheEvicts(t *testing.T) {
	c := &prefixCache{limit: 2}
	words := strings.Fields(strings.Repeat("w ", 32))
	if got := c.lookupAndStore(words); got != 0 {
		t.Errorf("empty cache: %d cached words, want 0", got)
	}
	if got := c.lookupAndStore(words); got != 32 {
		t.Errorf("cached prompt: %d cached words, want 32", got)
	}
	c.lookupAndStore(strings.Fields(strings.Repeat("x ", 32)))
	if got := c.lookupAndStore(words); got != 0 {
		t.Errorf("evicted prompt: %d cached words, want 0", got)
	}
}
