package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/escrow"
	"github.com/cactusbay/cactusbay/internal/group"
)

// grantAll is a control group that grants a million tokens of each workspace.
type grantAll struct{}

func (grantAll) Exchange(_ context.Context, exchange *group.Exchange) (map[string]group.ExchangeResult, error) {
	results := make(map[string]group.ExchangeResult)
	for workspace := range exchange.Workspaces {
		results[workspace] = group.ExchangeResult{Granted: 1_000_000, Target: 1_000_000, Unspent: 1_000_000}
	}
	return results, nil
}

// newBudgetedFixture is newFixture for a workspace with a budget and for prompts of 100
// tokens and up to 100 output tokens.
func newBudgetedFixture(t *testing.T, route config.HostRoute, responders ...responder) *fixture {
	t.Helper()
	f := newFixture(t, route, responders...)
	f.server.Translator = segmentTranslator{}
	f.server.Holder = &escrow.Holder{Exchanger: grantAll{}, Log: log.New(io.Discard), Epoch: "e"}
	f.server.Holder.Start()
	t.Cleanup(f.server.Holder.Close)
	parsed := document(t, route)
	workspace := parsed.Workspaces["north"]
	budget := int64(1_000_000)
	workspace.Budget = &budget
	parsed.Workspaces["north"] = workspace
	f.server.Install(2, parsed)
	return f
}

// TestRequestsAreBilledForWhatRan checks what a request whose response did not arrive in
// whole is billed. It guards against a total that is overspent: a request that was sent may
// have run, also if its caller left before a server began to respond.
func TestRequestsAreBilledForWhatRan(t *testing.T) {
	const (
		prompt     = 100
		eventsLost = 4
	)
	silent := func(conn net.Conn, _ *http.Request) { _, _ = conn.Read(make([]byte, 1)) }
	oneEvent := func(conn net.Conn, request *http.Request) {
		streamEvents(1, 1, "", true)(dropFinalChunk{conn}, request)
		silent(conn, request)
	}
	for name, test := range map[string]struct {
		route      config.HostRoute
		responders []responder
		// leaves is when the caller leaves; it stays if this is 0.
		leaves time.Duration
		billed int64
	}{
		"complete":                         {streamRoute, []responder{streamEvents(1, 3, "", true)}, 0, prompt + 3},
		"caller leaves before a response":  {streamRoute, []responder{silent}, 100 * time.Millisecond, prompt + eventsLost},
		"caller leaves after an event":     {streamRoute, []responder{oneEvent}, 100 * time.Millisecond, prompt + 1 + eventsLost},
		"server breaks off":                {streamRoute, []responder{resetConn}, 0, prompt + eventsLost},
		"caller leaves the second attempt": {resumableRoute, []responder{resetConn, silent}, 100 * time.Millisecond, prompt + eventsLost},
	} {
		t.Run(name, func(t *testing.T) {
			f := newBudgetedFixture(t, test.route, test.responders...)
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.entry.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET /a/x HTTP/1.1\r\nHost: one.example\r\nId: a1\r\nKey: secret\r\nConnection: close\r\n\r\n")
			if test.leaves > 0 {
				f.awaitAttempts(len(test.responders))
				time.Sleep(test.leaves)
				_ = conn.Close()
			} else {
				_, _ = io.Copy(io.Discard, conn)
			}
			balance := f.settledBalance()
			if balance.Billed != test.billed || balance.Reserved != 0 {
				t.Errorf("%d tokens billed and %d reserved after %d attempts, want %d and 0", balance.Billed, balance.Reserved, f.attempts(), test.billed)
			}
		})
	}
}

// awaitAttempts waits until that many attempts have reached servers. On a busy machine, a
// caller that leaves after a fixed time would leave before the first one.
func (f *fixture) awaitAttempts(count int) {
	for deadline := time.Now().Add(10 * time.Second); f.attempts() < count && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// settledBalance returns the balance of the workspace once no request runs.
func (f *fixture) settledBalance() escrow.Balance {
	deadline := time.Now().Add(time.Second)
	balance := f.server.Holder.Balance("north")
	for time.Now().Before(deadline) && (f.attempts() == 0 || balance.Reserved > 0 || f.server.Running() > 0) {
		time.Sleep(5 * time.Millisecond)
		balance = f.server.Holder.Balance("north")
	}
	return balance
}
