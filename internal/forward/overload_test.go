package forward_test

import (
	"net/http"
	"testing"
	"time"
)

// TestOverloadedEntryLetsHalfOfItsConnectionsGo guards against an overloaded entry that
// keeps all connections of a large caller, and against one that closes them all, so that
// the next entry is overloaded instead.
func TestOverloadedEntryLetsHalfOfItsConnectionsGo(t *testing.T) {
	const connections = 64
	responders := make([]responder, 2*connections)
	for i := range responders {
		responders[i] = respond(http.StatusOK, signatureHeader, "done")
	}
	f := newFixture(t, onceRoute, responders...)
	closed := func() (count int) {
		for range connections {
			_, _, _, header := f.send("/a/x", "secret")
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			if header.Get("Connection") == "close" {
				count++
			}
		}
		return count
	}
	if got := closed(); got > 0 {
		t.Errorf("%d of %d connections closed without overload, want none", got, connections)
	}
	for second := range 4 {
		for range 20 {
			f.server.Overload.RecordDial(time.Second, time.Now().Add(time.Duration(second-4)*time.Second))
		}
	}
	f.server.Overload.RecordDial(time.Second, time.Now())
	got := closed()
	if got < connections/4 || got > connections*3/4 {
		t.Errorf("%d of %d connections closed under overload, want about half", got, connections)
	}
}
