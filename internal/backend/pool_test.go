package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
)

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

// acquireFor takes a place for a time and sends the request.
func acquireFor(t *testing.T, p *Pool, req PlacementRequest, duration time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	lease, busy := p.Acquire(ctx, req)
	if busy != nil {
		t.Errorf("refused: %+v", busy)
		return
	}
	lease.Result.Sent = true
	time.Sleep(duration)
	lease.Release()
}

// inBackground runs f until it blocks; the function that it returns waits for
// its end.
func inBackground(f func()) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	synctest.Wait()
	return func() { <-done }
}

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
			t.Errorf("busy %+v after %v", busy, time.Since(before))
		}
	})
}

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
			t.Error("a request that can't keep its deadline is not refused")
		}
	})
}

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
			t.Errorf("order %s", got)
		}
	})
}

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
			t.Errorf("placed at %s, which is leaving", lease.Name)
		}
	})
}
