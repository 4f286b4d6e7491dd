package test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/fake"
)

// keptLog keeps what is written to it.
type keptLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *keptLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// hasLine reports whether a line holds all of parts.
func (l *keptLog) hasLine(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}

// TestFailedDispatchIsLogged guards against a broken response of a backend server that no line of
// the log tells of, because another dispatch then served the request.
func TestFailedDispatchIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		server string
		fault  func(s *site)
		send   func(s *site) callResponse
	}{
		"service": {
			server: "service-a",
			fault:  func(s *site) { s.services["a"].Inject(fake.Crash{}) },
			send:   func(s *site) callResponse { return s.send("a", "/services/records/door/7", "", "") },
		},
		"chat that is resumed": {
			server: "engine-a",
			fault: func(s *site) {
				s.engines["a"].KeepsRunning = true
				s.engines["a"].Inject(fake.Truncate{After: 5})
			},
			send: func(s *site) callResponse { return s.stream("a", "") },
		},
		"chat that moves": {
			server: "engine-a",
			fault:  func(s *site) { s.engines["a"].Inject(fake.Crash{}) },
			send:   func(s *site) callResponse { return s.stream("a", "") },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSiteWith(t, 100_000, []string{"b"}, "a")
				defer s.close()
				kept := &keptLog{}
				s.entries["a"].Server.Log = log.NewWithOptions(kept, log.Options{Formatter: log.LogfmtFormatter})
				c.fault(s)
				got := c.send(s)
				if got.status != http.StatusOK || strings.Contains(got.body, "event: error") {
					t.Errorf("got response %+v, want a whole one", got)
				}
				if !kept.hasLine("request_id=", "server="+c.server, "err=") {
					t.Errorf("the log names no request, server and error:\n%s", kept.text.String())
				}
			})
		})
	}
}
