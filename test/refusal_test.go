package test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// refusalLimit is the users' bound on the answer to a refused request.
const refusalLimit = 50 * time.Millisecond

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
			t.Errorf("refusal %d %s, Retry-After %d", got.status, got.body, after)
		}
		if took > refusalLimit {
			t.Errorf("the refusal took %v", took)
		}
		for range flood {
			<-responses
		}
		time.Sleep(time.Minute)
	})
}
