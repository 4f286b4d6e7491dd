package process

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cactusbay/cactusbay/internal/forward"
)

// explainStatus calls the handler and returns the status.
func explainStatus(e *explainer) int {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, explainPath, strings.NewReader(`{"host":"h","path":"/a"}`)))
	return w.Code
}

// TestOneExplanationAtATime guards against calls that hold the lock of the fleet one after the
// other while requests wait, and against a handler that stays busy after one has ended.
func TestOneExplanationAtATime(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	e := &explainer{explain: func(forward.Question) (forward.Explanation, error) {
		close(begun)
		<-release
		return forward.Explanation{}, nil
	}}
	first := make(chan int)
	go func() { first <- explainStatus(e) }()
	<-begun
	if status := explainStatus(e); status != http.StatusTooManyRequests {
		t.Errorf("got status %d beside another call, want 429", status)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("got status %d for the first call, want 200", status)
	}
	e.explain = func(forward.Question) (forward.Explanation, error) {
		return forward.Explanation{}, forward.ErrNoConfiguration
	}
	for range 2 {
		if status := explainStatus(e); status != http.StatusServiceUnavailable {
			t.Errorf("got status %d without a configuration, want 503", status)
		}
	}
}
