package test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// refusalLimit is the time within which the users require the response to a refused
// request.
const refusalLimit = 50 * time.Millisecond

// TestRefusalUnderOverloadIsAnsweredAtOnce guards against refused requests that wait
// in a queue: with 400 requests in progress at a slow engine, the next one must get
// a 503 within refusalLimit.
func TestRefusalUnderOverloadIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 10_000_000, "a")
		defer s.close()
		s.engines["a"].StepTime = time.Second
		s.chat("a", "", 16)
		const flood = 400
		responses := make(chan callResponse, flood)
		for range flood {
			go func() { responses <- s.chat("a", "", 16) }()
		}
		time.Sleep(time.Second)
		began := time.Now()
		got := s.chat("a", "", 16)
		took := time.Since(began)
		after, _ := strconv.Atoi(got.header.Get("Retry-After"))
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"not_run":true`) || after < 1 {
			t.Errorf("got refusal %d %s, Retry-After %d, want 503 with not_run and a positive Retry-After", got.status, got.body, after)
		}
		if took > refusalLimit {
			t.Errorf("the refusal took %v, want at most 50ms", took)
		}
		for range flood {
			<-responses
		}
		time.Sleep(time.Minute)
	})
}
