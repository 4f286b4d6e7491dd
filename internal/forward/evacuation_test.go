package forward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/instances"
)

// spread puts the backend servers of a fixture into failure domains of their own, a, b
// and c.
func (f *fixture) spread() {
	var list []instances.Instance
	for address := range f.listeners {
		domain := string(rune('a' + len(list)))
		list = append(list, instances.Instance{ID: "in-" + domain, Upstream: "pool", Address: address, FailureDomain: domain, Slots: 8})
	}
	f.server.Fleet.Update(list, time.Now())
}

// evacuate installs a version of the configuration with the given failure domains
// evacuated.
func (f *fixture) evacuate(version uint64, route config.HostRoute, failureDomains ...string) {
	d := document(f.t, route)
	d.FailureDomains = make(map[string]config.FailureDomain)
	for _, name := range failureDomains {
		d.FailureDomains[name] = config.FailureDomain{Evacuated: true}
	}
	f.server.Install(version, d)
}

// TestEvacuatedRequestsAreRefusedAsNotRun guards against requests that wait, run, or are
// passed to another entry while all failure domains are evacuated, and against refusals
// that go on after the withdrawal.
func TestEvacuatedRequestsAreRefusedAsNotRun(t *testing.T) {
	peer := newFixture(t, onceRoute, respond(200, signatureHeader, "elsewhere"))
	f := relayFixture(t, onceRoute, peer)
	for _, cutOff := range []bool{true, false} {
		f.spread()
		if !cutOff {
			f.server.Fleet.Reached("pool", time.Now())
		}
		f.evacuate(2, onceRoute, "a", "b", "c")
		status, body, _, header := f.send("/a/x", "secret")
		retryAfter, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if status != http.StatusServiceUnavailable || body != "evacuated\n" || retryAfter <= 0 {
			t.Errorf("cut off %v: got status %d, body %q and Retry-After %v, want 503 with one", cutOff, status, body, retryAfter)
		}
		if f.attempts() != 0 || peer.attempts() != 0 {
			t.Errorf("cut off %v: %d attempts here and %d at the peer, want none", cutOff, f.attempts(), peer.attempts())
		}
	}
	peer.close()
	served := newFixture(t, onceRoute, respond(200, signatureHeader, "done"))
	served.spread()
	served.evacuate(2, onceRoute, "a", "b", "c")
	served.evacuate(3, onceRoute)
	if status, _, _, _ := served.send("/a/x", "secret"); status != http.StatusOK {
		t.Errorf("got status %d after the withdrawal, want 200", status)
	}
}

// TestRepeatsAvoidEvacuatedServers guards against a repeat, or the rest of a broken stream,
// that is sent to an evacuated failure domain.
func TestRepeatsAvoidEvacuatedServers(t *testing.T) {
	for name, c := range map[string]struct {
		route      config.HostRoute
		responders []responder
		attempts   int
	}{
		"repeat":         {idempotentRoute, []responder{resetConn, respond(200, signatureHeader, "done")}, 1},
		"declined":       {onceRoute, []responder{respond(503, notRunHeader, ""), respond(200, signatureHeader, "done")}, 1},
		"resumed stream": {resumableRoute, []responder{streamEvents(1, 2, "", false), streamEvents(3, 4, "", true)}, 1},
		"successor":      {idempotentRoute, []responder{hang, respond(200, signatureHeader, "done")}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.route, c.responders...)
			f.spread()
			f.evacuate(2, c.route, "a", "b")
			_, _, _, _ = f.send("/a/x", "secret")
			if got := f.attempts(); got != c.attempts {
				t.Errorf("%d attempts with one server that may be used, want %d", got, c.attempts)
			}
		})
	}
}
