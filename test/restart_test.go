package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/check"
	"github.com/cactusbay/cactusbay/internal/fake"
	"github.com/cactusbay/cactusbay/internal/transport"
)

const (
	restartClients = 6
	balancerLag    = 2 * time.Second
)

// balancer spreads clients over the entries that were ready at its last readiness
// check, which is up to balancerLag ago.
type balancer struct {
	site         *site
	mu           sync.Mutex
	readyEntries []string
	nextIndex    int
	completed    int
	stop         chan struct{}
	done         chan struct{}
}

// newBalancer checks the entries once and starts a goroutine that checks them
// every balancerLag until stop is closed.
func newBalancer(s *site) *balancer {
	b := &balancer{site: s, stop: make(chan struct{}), done: make(chan struct{})}
	b.refresh()
	go b.run()
	return b
}

func (b *balancer) run() {
	defer close(b.done)
	for {
		select {
		case <-time.After(balancerLag):
			b.refresh()
		case <-b.stop:
			return
		}
	}
}

// refresh asks every entry for its readiness and replaces the list of ready
// entries.
func (b *balancer) refresh() {
	client := transport.Client(b.site.network.Host("balancer"))
	defer client.CloseIdleConnections()
	var readyEntries []string
	for _, domain := range b.site.domains {
		at := b.site.settings["entry-"+domain].CallerAddress
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/readyz", nil)
		if err != nil {
			b.site.t.Error(err)
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				readyEntries = append(readyEntries, at)
			}
		}
		cancel()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readyEntries = readyEntries
}

// nextEntry returns the address of the next ready entry, round robin.
func (b *balancer) nextEntry() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextIndex++
	return b.readyEntries[b.nextIndex%len(b.readyEntries)]
}

// sendLoad sends streamed requests over client's keep-alive connections until stop
// is closed. It returns the first error, or an error for the first response that
// isn't complete.
func (b *balancer) sendLoad(client *http.Client, stop <-chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		case <-time.After(time.Duration(37+i%300) * time.Millisecond):
		}
		// Every tenth stream takes longer than the shutdown lag of an entry.
		tokens := 8
		if i%10 == 9 {
			tokens = 4000
		}
		body := fmt.Sprintf(`{"model":"demo","stream":true,"messages":[{"role":"user","content":"hi"}],"max_tokens":%d}`, tokens)
		request, err := http.NewRequest(http.MethodPost, "http://"+b.nextEntry()+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+siteKey)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), "[DONE]\n\n") {
			return fmt.Errorf("incomplete response %d: %.200s", response.StatusCode, data)
		}
		b.mu.Lock()
		b.completed++
		b.mu.Unlock()
	}
}

// TestRollingRestartCutsNothing guards against requests that are cut or refused
// while the entries restart one after another behind a balancer that learns of a
// shutdown up to balancerLag late.
func TestRollingRestartCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000_000, "a", "b", "c")
		defer s.close()
		lag := check.Duration(2 * balancerLag)
		for _, domain := range s.domains {
			s.settings["entry-"+domain].Shutdown.Lag = &lag
			s.entries[domain].Close()
			s.startEntry(domain)
			<-s.entries[domain].Watcher.Ready()
		}
		b := newBalancer(s)
		stop := make(chan struct{})
		failures := make(chan error, restartClients)
		for i := range restartClients {
			client := transport.Client(s.network.Host(fmt.Sprintf("client-%d", i)))
			defer client.CloseIdleConnections()
			go func() { failures <- b.sendLoad(client, stop) }()
		}
		for _, domain := range s.domains {
			time.Sleep(3 * balancerLag)
			s.entries[domain].Shutdown(context.Background())
			s.startEntry(domain)
		}
		close(stop)
		for range restartClients {
			err := <-failures
			if err != nil {
				t.Errorf("a request was cut or refused: %v", err)
			}
		}
		close(b.stop)
		<-b.done
		if b.completed < restartClients*10 {
			t.Errorf("%d requests were completed, want at least 10 per client", b.completed)
		}
		t.Logf("%d complete responses", b.completed)
	})
}

// TestSecondSignalEndsAtOnce guards against a shutdown that a second signal can't
// end: with a canceled context, Shutdown must return within a second although a
// request is in progress.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000_000, "a")
		// The handlers of canceled requests settle their reservations after Shutdown.
		defer time.Sleep(callTimeout)
		defer s.close()
		long := make(chan callResponse, 1)
		go func() { long <- s.chat("a", "", 1000) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		start := time.Now()
		s.entries["a"].Shutdown(ctx)
		if time.Since(start) > time.Second {
			t.Errorf("Shutdown took %s, want at most 1s", time.Since(start))
		}
		<-long
	})
}

// TestShutdownCutsNoRequestInFlight guards against a race between the shutdown of an
// entry and requests that arrive on keep-alive connections of a slow network: each
// request must be served whole or fail because its connection is refused.
func TestShutdownCutsNoRequestInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000_000, "a")
		defer s.close()
		s.network.SetDelay(5 * time.Millisecond)
		lag := check.Duration(time.Second)
		s.settings["entry-a"].Shutdown.Lag = &lag
		s.entries["a"].Close()
		s.startEntry("a")
		<-s.entries["a"].Watcher.Ready()
		failures := make(chan error, restartClients)
		for i := range restartClients {
			client := transport.Client(s.network.Host(fmt.Sprintf("client-%d", i)))
			defer client.CloseIdleConnections()
			go func() {
				b := &balancer{site: s, readyEntries: []string{s.settings["entry-a"].CallerAddress}}
				failures <- b.sendLoad(client, nil)
			}()
		}
		time.Sleep(3 * time.Second)
		s.entries["a"].Shutdown(context.Background())
		for range restartClients {
			err := <-failures
			if !errors.Is(err, fake.ErrRefused) {
				t.Errorf("a request failed with %v, want a refused connection", err)
			}
		}
	})
}

// TestRequestThatAShutdownWouldCutIsRefused guards against a request that arrives on
// an open connection after the shutdown lag and is cut by the end of the shutdown,
// with an unknown outcome: it must be refused as not run.
func TestRequestThatAShutdownWouldCutIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000_000, "a")
		defer s.close()
		lag := check.Duration(2 * time.Second)
		s.settings["entry-a"].Shutdown.Lag = &lag
		s.entries["a"].Close()
		s.startEntry("a")
		<-s.entries["a"].Watcher.Ready()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			s.entries["a"].Shutdown(ctx)
		}()
		time.Sleep(1900 * time.Millisecond)
		conn, err := s.network.Host("caller").DialContext(t.Context(), "tcp", s.settings["entry-a"].CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		time.Sleep(500 * time.Millisecond)
		body := `{"model":"demo","messages":[{"role":"user","content":"hi"}],"max_tokens":1000}`
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", siteKey, len(body), body)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("the response could not be read: %v", err)
		}
		data, err := io.ReadAll(response.Body)
		got := callResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
		if got.status != http.StatusServiceUnavailable || got.code() != "shutting_down" || !got.notRun() || got.header.Get("Retry-After") == "" {
			t.Errorf("got %+v, want 503 shutting_down, not run, with Retry-After", got)
		}
		<-ended
	})
}

// TestRequestThatAShutdownInterruptsIsAnswered guards against a request in progress whose
// connection the end of a shutdown closes without an answer.
func TestRequestThatAShutdownInterruptsIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000_000, "a")
		// The handlers of interrupted requests settle their reservations after Shutdown.
		defer time.Sleep(callTimeout)
		defer s.close()
		long := make(chan callResponse, 1)
		go func() { long <- s.chat("a", "", 4000) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		s.entries["a"].Shutdown(ctx)
		got := <-long
		if got.err != nil || got.code() != "outcome_unknown" || got.notRun() {
			t.Errorf("got %+v, want a response with code outcome_unknown", got)
		}
	})
}

// TestRollingRestartOfControlRefusesNothing guards against requests that are cut or
// refused, and configuration changes that don't reach the entries, while the control
// instances restart one after another: reservations move to other ledgers, another
// member leads, and the entries watch the configuration at another member.
func TestRollingRestartOfControlRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100_000_000, "a", "b", "c")
		defer time.Sleep(callTimeout)
		defer s.close()
		time.Sleep(reportTime)
		stop := make(chan struct{})
		failures := make(chan error, len(s.domains))
		for _, domain := range s.domains {
			client := transport.Client(s.network.Host("client-" + domain))
			defer client.CloseIdleConnections()
			go func() {
				b := &balancer{site: s, readyEntries: []string{s.settings["entry-"+domain].CallerAddress}}
				failures <- b.sendLoad(client, stop)
			}()
		}
		for i, domain := range s.domains {
			time.Sleep(3 * time.Second)
			s.controls[domain].Shutdown(context.Background())
			s.startControl(domain)
			time.Sleep(3 * time.Second)
			s.patch(domain, "during-"+domain, fmt.Sprintf(`{"limits":{"body_bytes":%d}}`, 100_000+i))
			time.Sleep(5 * time.Second)
			for _, entry := range s.domains {
				got := s.entries[entry].Watcher.Active().Document.Limits.BodyBytes
				if got != int64(100_000+i) {
					t.Errorf("after the restart in domain %s, the change is not active in domain %s", domain, entry)
				}
			}
		}
		close(stop)
		for range s.domains {
			err := <-failures
			if err != nil {
				t.Errorf("a request was cut or refused: %v", err)
			}
		}
	})
}

// TestInterruptedCallIsAnsweredWithoutItsLedger guards against a call that a shutdown
// interrupts and whose answer waits for a ledger until the connection is closed.
func TestInterruptedCallIsAnsweredWithoutItsLedger(t *testing.T) {
	for _, path := range []string{"/services/orders/new", "/services/records/door/7"} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, 100_000, "a")
			defer time.Sleep(callTimeout)
			defer s.close()
			s.services["a"].Inject(fake.Hang{})
			answered := make(chan callResponse, 1)
			go func() { answered <- s.send("a", path, "", "door 7") }()
			time.Sleep(100 * time.Millisecond)
			s.network.Cut("entry-a", "control-a")
			defer s.network.Heal("entry-a", "control-a")
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			s.entries["a"].Shutdown(ctx)
			got := <-answered
			if got.err != nil || got.code() != "outcome_unknown" || got.notRun() {
				t.Errorf("%s: got %+v, want a response with code outcome_unknown", path, got)
			}
		})
	}
}
