package backend_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/upstream"
)

// leavingServers implements backend.Departures; every server is leaving.
type leavingServers struct{}

func (leavingServers) IsLeaving(string) bool { return true }

func (leavingServers) ReportLoad(string, bool) {}

func (leavingServers) CheckDispatch(string) error { return errors.New("leaving") }

// TestDispatchToALeavingServerIsNotSent guards against reporting an unknown outcome
// for a dispatch that was refused because the server is leaving. Nothing was
// written, so the error must be an upstream.NotSentError and the caller gets not_run.
func TestDispatchToALeavingServerIsNotSent(t *testing.T) {
	client := &backend.Client{Departures: leavingServers{}}
	_, err := client.Open(context.Background(), backend.Chat{})
	if !upstream.IsNotSent(err) {
		t.Errorf("chat: got error %v, want upstream.NotSentError", err)
	}
	_, err = client.Do(context.Background(), backend.Call{})
	if !upstream.IsNotSent(err) {
		t.Errorf("call: got error %v, want upstream.NotSentError", err)
	}
}
