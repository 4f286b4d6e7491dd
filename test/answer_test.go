package test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const streamBody = `{"model":"demo","stream":true,"messages":[{"role":"user","content":"hello"}],"max_tokens":16}`

// billed waits until the ledgers have reported their counters and returns
// the tokens that the control group counts as billed.
func (s *site) billed() int64 {
	time.Sleep(reportTime)
	account, _ := s.controls["a"].Group.Account(siteWorkspace)
	return account.Billed()
}

// stream sends a streamed completion request of 16 tokens to a domain's entry.
func (s *site) stream(domain, key string) callResponse {
	return s.send(domain, "/v1/chat/completions", key, streamBody)
}

// isCompleteStream reports whether a is a stream of exactly 16 tokens with its
// end marker.
func isCompleteStream(a callResponse) bool {
	return a.status == http.StatusOK && strings.Count(a.body, "content") == 16 &&
		strings.Contains(a.body, "t15 ") && strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

// TestBrokenAnswerIsResumed guards against a broken or repeated response when an
// engine fails in the middle of a stream: the entry must resume the stream
// without a gap and the bill must cover the prompt and 16 tokens once.
func TestBrokenAnswerIsResumed(t *testing.T) {
	faults := map[string]fake.Fault{
		"truncated":       fake.Truncate{After: 5},
		"truncated early": fake.Truncate{After: 0},
		"crashed":         fake.Crash{After: 5},
		"silent":          fake.Hang{After: 5},
		"silent early":    fake.Hang{After: 0},
		"crossed":         fake.WrongAttempt{},
		"crossed chunks":  fake.WrongAttemptChunks{After: 5},
		"stalled":         fake.Stall{After: 5, For: time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 100_000, "a")
				defer s.close()
				s.engines["a"].KeepsRunning = true
				s.engines["a"].Inject(fault, fault)
				got := s.stream("a", "")
				if !isCompleteStream(got) || strings.Contains(got.body, "another-attempt") {
					t.Errorf("got response %+v, want the complete stream of one attempt", got)
				}
				if billed := s.billed(); billed != 17 {
					t.Errorf("billed %d, want 17", billed)
				}
			})
		})
	}
}

// TestAnswerThatCannotBeResumedEndsInAnError guards against a stream that looks
// complete although the engine truncated or duplicated it or exceeded
// max_tokens: it must end in an error event, a retry must get the same response,
// and the bill must not exceed the reservation.
func TestAnswerThatCannotBeResumedEndsInAnError(t *testing.T) {
	faults := map[string]fake.Fault{
		"truncated":  fake.Truncate{After: 5},
		"duplicated": fake.Duplicate{},
		"overrun":    fake.Overrun{Tokens: 3},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 100_000, "a")
				defer s.close()
				s.engines["a"].Inject(fault)
				got := s.stream("a", "report-1")
				if !strings.Contains(got.body, "event: error") || strings.Contains(got.body, "[DONE]") {
					t.Errorf("got response %+v, want an error event and no [DONE]", got)
				}
				if strings.Contains(got.body, "t16 ") {
					t.Error("the caller got more than max_tokens tokens")
				}
				time.Sleep(reportTime)
				again := s.stream("a", "report-1")
				if again.body != got.body {
					t.Errorf("first response %q, retry got %q, want the same", got.body, again.body)
				}
				if billed := s.billed(); billed > 17 || billed < 5 {
					t.Errorf("billed %d, want 5 to 17", billed)
				}
			})
		})
	}
}

// TestRefusedResumptionLeavesNoTextInTheStream guards against the text of an engine's error
// in the middle of a stream, and against a stream that looks complete after it.
func TestRefusedResumptionLeavesNoTextInTheStream(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusBadRequest, http.StatusNotFound, http.StatusPartialContent} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, 100_000, "a")
			defer s.close()
			s.engines["a"].KeepsRunning = true
			refuse := fake.Refuse{Status: status}
			s.engines["a"].Inject(fake.Crash{After: 5}, refuse, refuse, refuse, refuse, refuse, refuse)
			got := s.stream("a", "")
			if strings.Contains(got.body, "overloaded") || strings.Contains(got.body, "[DONE]") || strings.Count(got.body, "content") != 5 || !strings.Contains(got.body, "event: error") {
				t.Errorf("status %d: got response %+v, want five tokens and an error event of the entry's own", status, got)
			}
		})
	}
}

// TestUnstreamedAnswerRestartsElsewhere guards against a failed or doubly billed
// request when the engine crashes while it generates a response that isn't
// streamed: the entry must send the request to another engine.
func TestUnstreamedAnswerRestartsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.engines["a"].Inject(fake.Crash{After: 5})
		got := s.chat("a", "", 16)
		if got.status != http.StatusOK || strings.Count(got.body, "t5 ") != 1 {
			t.Errorf("got response %+v, want status 200 with every token once", got)
		}
		if billed := s.billed(); billed != 17 {
			t.Errorf("billed %d, want 17", billed)
		}
	})
}

// TestRefusedRequestRunsElsewhere guards against returning a draining engine's
// refusal to the caller while another engine accepts requests. Once all engines
// drain, the caller must get a 503 that says that the request did not run.
func TestRefusedRequestRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.engines["a"].SetDraining(true)
		got := s.stream("a", "")
		if !isCompleteStream(got) {
			t.Errorf("got response %+v, want a complete stream", got)
		}
		s.engines["b"].SetDraining(true)
		refused := s.stream("a", "")
		if refused.status != http.StatusServiceUnavailable || !strings.Contains(refused.body, `"not_run":true`) || refused.header.Get("Retry-After") == "" {
			t.Errorf("got refusal %+v, want 503 with not_run and Retry-After", refused)
		}
		if billed := s.billed(); billed != 17 {
			t.Errorf("billed %d, want 17", billed)
		}
	})
}

// streamAndHangUp sends a streamed request, cancels it after the given time and
// returns the part of the body that arrived.
func (s *site) streamAndHangUp(domain, key string, after time.Duration) string {
	client := transport.Client(s.network.Host("caller"))
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings["entry-"+domain].CallerAddress+"/v1/chat/completions", strings.NewReader(streamBody))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+siteKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// TestAnswerEndsInAnErrorAtItsDeadline guards against a stream that runs past the
// deadline of its request: it must end in an error event, and the bill must cover
// what was generated until then.
func TestAnswerEndsInAnErrorAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].StepTime = 9 * time.Second
		s.engines["a"].KeepsRunning = true
		began := time.Now()
		body := s.streamAndHangUp("a", "", 2*time.Minute)
		if !strings.Contains(body, `"code":"deadline_exceeded","not_run":false`) || strings.Contains(body, "[DONE]") {
			t.Errorf("got body %s, want deadline_exceeded and no [DONE]", body)
		}
		if took := time.Since(began); took > 62*time.Second {
			t.Errorf("the error event came after %v, want at most 62s", took)
		}
		if billed := s.billed(); billed != 7 {
			t.Errorf("billed %d, want the prompt and 6 tokens", billed)
		}
	})
}

// TestCallerThatLeavesIsBilledWhatWasGenerated guards against an engine that keeps
// generating after the caller canceled the request, and against a bill that
// differs from the tokens generated.
func TestCallerThatLeavesIsBilledWhatWasGenerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].StepTime = 100 * time.Millisecond
		s.engines["a"].KeepsRunning = true
		s.streamAndHangUp("a", "", 450*time.Millisecond)
		time.Sleep(2 * time.Second)
		attempts := s.engines["a"].Attempts()
		generated := s.engines["a"].Generated(attempts[0])
		if generated < 3 || generated > 6 {
			t.Errorf("the engine generated %d tokens for the canceled request, want 3 to 6", generated)
		}
		if billed := s.billed(); billed != generated+1 {
			t.Errorf("billed %d, want %d", billed, generated+1)
		}
	})
}

// TestRetryAfterLeavingFindsTheAnswer guards against a second run when a caller
// with an idempotency key disconnects and retries: the entry must finish the
// first run and answer the retry with its response.
func TestRetryAfterLeavingFindsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].StepTime = 100 * time.Millisecond
		s.streamAndHangUp("a", "report-1", 450*time.Millisecond)
		time.Sleep(2 * time.Second)
		got := s.stream("a", "report-1")
		if !isCompleteStream(got) || len(s.engines["a"].Attempts()) != 1 {
			t.Errorf("got response %+v after %d attempts, want a complete stream after 1", got, len(s.engines["a"].Attempts()))
		}
	})
}

// TestRefusalAfterAnUnclearDispatchIsNotCalledNotRun guards against a false
// not_run: the first engine crashes after it generated tokens and the second
// refuses the retry, so the caller must get outcome_unknown.
func TestRefusalAfterAnUnclearDispatchIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.engines["a"].Inject(fake.Crash{After: 5})
		s.engines["b"].Inject(fake.Refuse{Status: http.StatusServiceUnavailable})
		got := s.chat("a", "", 16)
		if got.code() != "outcome_unknown" || strings.Contains(got.body, `"not_run":true`) {
			t.Errorf("got response %+v, want outcome_unknown without not_run", got)
		}
		if billed := s.billed(); billed < 6 || billed > 17 {
			t.Errorf("billed %d, want the 6 to 17 tokens that the first engine generated", billed)
		}
	})
}

// TestRefusalAfterAnUnclearDispatchAtTheOnlyEngine guards against a false not_run where
// the engine that crashed is the one that refuses the retry.
func TestRefusalAfterAnUnclearDispatchAtTheOnlyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].Inject(fake.Crash{After: 5}, fake.Refuse{Status: http.StatusServiceUnavailable})
		got := s.chat("a", "", 16)
		if strings.Contains(got.body, `"not_run":true`) {
			t.Errorf("got response %+v, want one without not_run", got)
		}
		if billed := s.billed(); billed < 6 {
			t.Errorf("billed %d, want the 6 tokens or more that the engine generated", billed)
		}
	})
}

// TestAnswerComesDespiteSilentConnections guards against requests that wait on
// keep-alive connections whose packets are dropped without a reset: at most 5 retries
// may be refused with ledger_unreachable before the entry uses new connections.
func TestAnswerComesDespiteSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].KeepsRunning = true
		if got := s.stream("a", ""); !isCompleteStream(got) {
			t.Fatalf("got response %+v before the fault, want a complete stream", got)
		}
		s.network.Blackhole()
		got := s.stream("a", "")
		for try := 0; try < 5 && got.code() == "ledger_unreachable"; try++ {
			got = s.stream("a", "")
		}
		if !isCompleteStream(got) {
			t.Errorf("got response %+v, want a complete stream", got)
		}
	})
}

// TestSlowCallerGetsTheWholeStream guards against a stream of a sound engine that is cut
// because its caller reads nothing for a while.
func TestSlowCallerGetsTheWholeStream(t *testing.T) {
	for _, keepsRunning := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, 100_000, "a")
			defer time.Sleep(callTimeout)
			defer s.close()
			s.engines["a"].KeepsRunning = keepsRunning
			s.engines["a"].StepTime = 500 * time.Millisecond
			body := s.streamReadSlowly("a", 5*time.Second)
			got := callResponse{status: http.StatusOK, body: body}
			if !isCompleteStream(got) {
				t.Errorf("engine that keeps running %v: got body %s, want 16 tokens and [DONE]", keepsRunning, body)
			}
		})
	}
}

// streamReadSlowly sends a streamed request, pauses after the first bytes of the body and
// returns all of it.
func (s *site) streamReadSlowly(domain string, pause time.Duration) string {
	client := transport.Client(s.network.Host("caller"))
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.settings["entry-"+domain].CallerAddress+"/v1/chat/completions", strings.NewReader(streamBody))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+siteKey)
	response, err := client.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 64)
	_, err = io.ReadFull(response.Body, first)
	if err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(pause)
	rest, _ := io.ReadAll(response.Body)
	return string(first) + string(rest)
}
