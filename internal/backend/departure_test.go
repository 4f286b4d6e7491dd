package backend_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
)

type leavingServers struct{}

func (leavingServers) IsLeaving(string) bool { return true }

func (leavingServers) ReportLoad(string, bool) {}

func (leavingServers) CheckDispatch(string) error { return errors.New("leaving") }

// TestDispatchToALeavingServerIsNotSent keeps the refusal honest: nothing was
// written, so the caller is told "not run".
func TestDispatchToALeavingServerIsNotSent(t *testing.T) {
	client := &backend.Client{Departures: leavingServers{}}
	_, err := client.Open(context.Background(), backend.Chat{})
	if !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("chat: %v", err)
	}
	_, err = client.Do(context.Background(), backend.Call{})
	if !errors.Is(err, backend.ErrNotSent) {
		t.Errorf("call: %v", err)
	}
}
