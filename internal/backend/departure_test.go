package backend

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// TestDispatchAfterMaxDelayViolatesInvariant guards against new requests to a server
// that has been leaving for longer than maxDispatchDelay.
func TestDispatchAfterMaxDelayViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Client{Departures: leavingServer("")}
		time.Sleep(3 * time.Second)
		if c.checkLeaving("") != nil {
			t.Error("a dispatch within the bound was refused")
		}
		time.Sleep(time.Millisecond)
		if c.checkLeaving("") == nil {
			t.Error("a dispatch after the bound was allowed")
		}
	})
}

// TestDispatchToALeavingServerIsNotSent guards against reporting an unknown outcome
// for a dispatch that was refused because the server is leaving. Nothing was
// written, so the error must be an upstream.NotSentError and the caller gets not_run.
func TestDispatchToALeavingServerIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{Departures: leavingServer("")}
		time.Sleep(time.Minute)
		_, err := client.Open(t.Context(), Chat{})
		if !upstream.IsNotSent(err) {
			t.Errorf("chat: got error %v, want upstream.NotSentError", err)
		}
		_, err = client.Do(t.Context(), Call{})
		if !upstream.IsNotSent(err) {
			t.Errorf("call: got error %v, want upstream.NotSentError", err)
		}
	})
}

// leavingServer returns Departures whose server at address is leaving from now on.
func leavingServer(address string) *instances.Departures {
	d := &instances.Departures{}
	d.Report(instances.SourceLoadReport, address, true, time.Now())
	return d
}
