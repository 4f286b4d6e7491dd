package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

// evacuationDocument returns a configuration with an engine in each of the failure domains
// a and b, of which the given ones are evacuated.
func evacuationDocument(evacuated ...string) *config.Document {
	document := &config.Document{
		BackendServers: map[string]config.BackendServer{
			"engine-a": {Address: "10.0.0.1:1", FailureDomain: "a", Kind: config.KindModel, Concurrency: 1},
			"engine-b": {Address: "10.0.0.2:1", FailureDomain: "b", Kind: config.KindModel, Concurrency: 1},
		},
		Works:          map[string]config.Work{"chat": {Kind: config.KindModel, BackendServers: []string{"engine-a", "engine-b"}}},
		FailureDomains: make(map[string]config.FailureDomain),
	}
	for _, name := range evacuated {
		document.FailureDomains[name] = config.FailureDomain{Evacuated: true}
	}
	return document
}

// acquire returns a lease for a request that waits at most for the given time, or nil.
func acquire(t *testing.T, p *Pool, document *config.Document, wait time.Duration) (*Lease, *Busy) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	return p.Acquire(ctx, PlacementRequest{Document: document, WorkName: "chat", Workspace: "north"})
}

// TestPoolSendsNothingToEvacuatedFailureDomains guards against requests, new ones and ones
// that wait, that go to a server of an evacuated failure domain, against ones that wait
// where no other server is left, and against servers that get none after the withdrawal.
func TestPoolSendsNothingToEvacuatedFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{FailureDomain: "a"}
		document := evacuationDocument("a")
		p.Update(document)
		first, busy := acquire(t, p, document, time.Minute)
		if busy != nil || first.Name != "engine-b" {
			t.Fatalf("got %+v, %+v, want a lease of engine-b", first, busy)
		}
		if counts := p.Counts(); counts.Ready != 1 || counts.Evacuated != 1 || counts.EvacuatedDomains != 1 {
			t.Errorf("got counts %+v, want one server ready and one evacuated", counts)
		}
		var second *Lease
		wait := inBackground(func() { second, busy = acquire(t, p, document, time.Minute) })
		if waiting := p.Counts().Waiting; waiting != 1 {
			t.Fatalf("%d requests wait while the only server is full, want 1", waiting)
		}
		document = evacuationDocument("b")
		p.Update(document)
		wait()
		if busy != nil || second.Name != "engine-a" {
			t.Fatalf("the waiting request got %+v, %+v, want a lease of engine-a", second, busy)
		}
		first.Release()
		second.Release()
		document = evacuationDocument("a", "b")
		p.Update(document)
		before := time.Now()
		_, busy = acquire(t, p, document, time.Minute)
		if busy == nil || busy.RetryAfter <= 0 || time.Since(before) > 0 {
			t.Errorf("got %+v after %s with all evacuated, want a refusal at once", busy, time.Since(before))
		}
		document = evacuationDocument()
		p.Update(document)
		served := make(map[string]bool)
		for range 2 {
			lease, busy := acquire(t, p, document, time.Minute)
			if busy != nil {
				t.Fatalf("got %+v after the withdrawal, want a lease", busy)
			}
			served[lease.Name] = true
		}
		if len(served) != 2 {
			t.Errorf("only %v got requests after the withdrawal", served)
		}
	})
}
