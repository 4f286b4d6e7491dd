package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

// poolDocument returns a configuration with one engine, which runs the interactive
// work "chat" and the batch work "draft".
func poolDocument(concurrency int) *config.Document {
	return &config.Document{
		BackendServers: map[string]config.BackendServer{
			"engine": {Address: "10.0.0.1:1", FailureDomain: "a", Kind: config.KindModel, Concurrency: concurrency},
		},
		Works: map[string]config.Work{
			"chat":  {Kind: config.KindModel, BackendServers: []string{"engine"}, Priority: config.PriorityInteractive},
			"draft": {Kind: config.KindModel, BackendServers: []string{"engine"}, Priority: config.PriorityBatch},
		},
	}
}

// acquireFor acquires a lease, marks the request as sent and releases the lease
// after duration.
func acquireFor(t *testing.T, p *Pool, req PlacementRequest, duration time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	lease, busy := p.Acquire(ctx, req)
	if busy != nil {
		t.Errorf("Acquire: got busy %+v, want a lease", busy)
		return
	}
	lease.Result.Sent = true
	time.Sleep(duration)
	lease.Release()
}

// inBackground runs f in a goroutine until it blocks. The returned function waits
// until f returns.
func inBackground(f func()) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	synctest.Wait()
	return func() { <-done }
}

// A request that cannot meet its deadline must be refused at once instead of
// waiting in the queue. One request takes 10 s, so the pool expects the same of
// the next one; while that runs, a request with a deadline of 15 s comes too late.
func TestPoolRefusesAtOnceWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{}
		req := PlacementRequest{Document: poolDocument(1), WorkName: "chat", Workspace: "north"}
		acquireFor(t, p, req, 10*time.Second)
		defer inBackground(func() { acquireFor(t, p, req, 10*time.Second) })()
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		before := time.Now()
		_, busy := p.Acquire(ctx, req)
		if busy == nil || busy.RetryAfter < time.Second || time.Since(before) > 0 {
			t.Errorf("Acquire: got busy %+v after %v, want busy at once with RetryAfter of at least 1s", busy, time.Since(before))
		}
	})
}

// Leases that are released before the request is sent must not shorten the
// expected duration of a request. If they did, the pool would queue a request that
// cannot meet its deadline.
func TestPoolIgnoresTheDurationOfAnUnsentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{}
		req := PlacementRequest{Document: poolDocument(1), WorkName: "chat", Workspace: "north"}
		acquireFor(t, p, req, 10*time.Second)
		for range 100 {
			lease, _ := p.Acquire(t.Context(), req)
			time.Sleep(time.Millisecond)
			lease.Release()
		}
		defer inBackground(func() { acquireFor(t, p, req, 10*time.Second) })()
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		_, busy := p.Acquire(ctx, req)
		if busy == nil {
			t.Error("Acquire: got a lease for a request that cannot meet its deadline, want busy")
		}
	})
}

// An interactive request must not wait behind a batch request that was queued
// before it.
func TestPoolPlacesInteractiveBeforeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{}
		document := poolDocument(1)
		order := make(chan string, 3)
		wait := func(work string) {
			acquireFor(t, p, PlacementRequest{Document: document, WorkName: work, Workspace: "north"}, time.Second)
			order <- work
		}
		go wait("chat")
		synctest.Wait()
		go wait("draft")
		synctest.Wait()
		go wait("chat")
		if got := <-order + " " + <-order + " " + <-order; got != "chat chat draft" {
			t.Errorf("got order %s, want chat chat draft", got)
		}
	})
}

// A queued request must not be placed on a server that starts leaving while the
// request waits, although a slot there becomes free.
func TestPoolPlacesNoWaitingRequestOnALeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &Pool{}
		req := PlacementRequest{Document: poolDocument(1), WorkName: "chat", Workspace: "north"}
		defer inBackground(func() { acquireFor(t, p, req, time.Second) })()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go func() {
			leaving := poolDocument(1)
			leaving.BackendServers["engine"] = config.BackendServer{Address: "10.0.0.1:1", FailureDomain: "a", Kind: config.KindModel, Concurrency: 1, State: config.StateLeaving}
			p.Update(leaving)
		}()
		lease, _ := p.Acquire(ctx, req)
		if lease != nil {
			t.Errorf("Acquire: got a lease of leaving server %s, want none", lease.Name)
		}
	})
}
