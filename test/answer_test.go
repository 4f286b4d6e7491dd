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

// billed waits for the reports and returns what the group knows.
func (s *site) billed() int64 {
	time.Sleep(reportWithin)
	account, _ := s.controls["a"].Group.Account(siteWorkspace)
	return account.Billed()
}

func (s *site) stream(domain, key string) answer {
	return s.call(domain, "/v1/chat/completions", key, streamBody)
}

func isWhole(a answer) bool {
	return a.status == http.StatusOK && strings.Count(a.body, "content") == 16 &&
		strings.Contains(a.body, "t15 ") && strings.HasSuffix(a.body, "data: [DONE]\n\n")
}

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
				if !isWhole(got) || strings.Contains(got.body, "another-attempt") {
					t.Errorf("answer %+v", got)
				}
				if billed := s.billed(); billed != 17 {
					t.Errorf("billed %d, want 17", billed)
				}
			})
		})
	}
}

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
					t.Errorf("answer %+v", got)
				}
				if strings.Contains(got.body, "t16 ") {
					t.Error("the caller got more than it asked for")
				}
				time.Sleep(reportWithin)
				again := s.stream("a", "report-1")
				if again.body != got.body {
					t.Errorf("first %q, retry %q", got.body, again.body)
				}
				if billed := s.billed(); billed > 17 || billed < 5 {
					t.Errorf("billed %d", billed)
				}
			})
		})
	}
}

func TestUnstreamedAnswerRestartsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.engines["a"].Inject(fake.Crash{After: 5})
		got := s.chat("a", "", 16)
		if got.status != http.StatusOK || strings.Count(got.body, "t5 ") != 1 {
			t.Errorf("answer %+v", got)
		}
		if billed := s.billed(); billed != 17 {
			t.Errorf("billed %d, want 17", billed)
		}
	})
}

func TestRefusedRequestRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.engines["a"].SetDraining(true)
		got := s.stream("a", "")
		if !isWhole(got) {
			t.Errorf("answer %+v", got)
		}
		s.engines["b"].SetDraining(true)
		refused := s.stream("a", "")
		if refused.status != http.StatusServiceUnavailable || !strings.Contains(refused.body, `"not_run":true`) || refused.header.Get("Retry-After") == "" {
			t.Errorf("refusal %+v", refused)
		}
		if billed := s.billed(); billed != 17 {
			t.Errorf("billed %d, want 17", billed)
		}
	})
}

// leave sends a request and hangs up after a while. It returns what came.
func (s *site) leave(domain, key string, after time.Duration) string {
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

func TestAnswerEndsInAnErrorAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].StepTime = 9 * time.Second
		s.engines["a"].KeepsRunning = true
		began := time.Now()
		body := s.leave("a", "", 2*time.Minute)
		if !strings.Contains(body, `"code":"deadline_exceeded","not_run":false`) || strings.Contains(body, "[DONE]") {
			t.Errorf("answer %s", body)
		}
		if took := time.Since(began); took > 62*time.Second {
			t.Errorf("the error came after %v", took)
		}
		if billed := s.billed(); billed != 7 {
			t.Errorf("billed %d, want the prompt and 6 tokens", billed)
		}
	})
}

func TestCallerThatLeavesIsBilledWhatWasGenerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].StepTime = 100 * time.Millisecond
		s.engines["a"].KeepsRunning = true
		s.leave("a", "", 450*time.Millisecond)
		time.Sleep(2 * time.Second)
		attempts := s.engines["a"].Attempts()
		generated := s.engines["a"].Generated(attempts[0])
		if generated < 3 || generated > 6 {
			t.Errorf("the engine generated %d tokens after the caller left", generated)
		}
		if billed := s.billed(); billed != generated+1 {
			t.Errorf("billed %d, want %d", billed, generated+1)
		}
	})
}

func TestRetryAfterLeavingFindsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].StepTime = 100 * time.Millisecond
		s.leave("a", "report-1", 450*time.Millisecond)
		time.Sleep(2 * time.Second)
		got := s.stream("a", "report-1")
		if !isWhole(got) || len(s.engines["a"].Attempts()) != 1 {
			t.Errorf("answer %+v after %d attempts", got, len(s.engines["a"].Attempts()))
		}
	})
}

func TestRefusalAfterAnUnclearDispatchIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWith(t, 100_000, []string{"b"}, "a")
		defer s.close()
		s.engines["a"].Inject(fake.Crash{After: 5})
		s.engines["b"].Inject(fake.Refuse{Status: http.StatusServiceUnavailable})
		got := s.chat("a", "", 16)
		if got.code() != "outcome_unknown" || strings.Contains(got.body, `"not_run":true`) {
			t.Errorf("answer %+v", got)
		}
		if billed := s.billed(); billed < 6 || billed > 17 {
			t.Errorf("billed %d, want what the first engine generated", billed)
		}
	})
}

func TestAnswerComesDespiteSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000, "a")
		defer s.close()
		s.engines["a"].KeepsRunning = true
		if got := s.stream("a", ""); !isWhole(got) {
			t.Fatalf("answer %+v", got)
		}
		s.network.Blackhole()
		got := s.stream("a", "")
		for try := 0; try < 5 && got.code() == "ledger_unreachable"; try++ {
			got = s.stream("a", "")
		}
		if !isWhole(got) {
			t.Errorf("answer %+v", got)
		}
	})
}
