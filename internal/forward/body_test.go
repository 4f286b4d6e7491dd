package forward_test

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
)

// endlessBody is a request body without a length that doesn't end.
type endlessBody struct{}

// Read fills p.
func (endlessBody) Read(p []byte) (int, error) {
	return len(p), nil
}

// TestLongRequestBodyIsNotCopied guards against a body without a length that takes several
// times its length of memory while it grows, as copies that are not collected yet.
func TestLongRequestBodyIsNotCopied(t *testing.T) {
	// limit is the default one of the length of a body.
	const limit = 4 << 20
	f := newFixture(t, onceRoute)
	request := httptest.NewRequest(http.MethodPost, "http://one.example/a/x", endlessBody{})
	request.Header.Set("Key", "secret")
	request.ContentLength = -1
	response := httptest.NewRecorder()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f.server.ServeHTTP(response, request)
	runtime.ReadMemStats(&after)
	if response.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", response.Code)
	}
	if taken := after.TotalAlloc - before.TotalAlloc; taken > limit+limit/4 {
		t.Errorf("%d bytes were allocated for a body that was read up to %d", taken, limit)
	}
}
