package memory

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestStalledBodiesGiveWay guards against bodies that don't go on and take the memory of others
// for as long as they like, and against one that goes on, is complete or has just begun and gives
// way.
func TestStalledBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 400, Requests: 200}}
		stopped := make(map[string]bool)
		begin := func(name string) *Request {
			r := a.Request(name)
			if !r.TryGrow(50) {
				t.Fatalf("no memory for %s", name)
			}
			r.Begin(func() { stopped[name] = true })
			return r
		}
		stalled, advancing, complete := begin("stalled"), begin("advancing"), begin("complete")
		if !complete.Complete() {
			t.Error("a complete body has given way")
		}
		time.Sleep(bodyStallTime)
		advancing.Advance(stallBytes)
		begin("new")
		last := a.Request("last")
		if !last.TryGrow(50) || len(stopped) != 1 || !stopped["stalled"] {
			t.Errorf("memory was given up by %v, want by the stalled body alone", stopped)
		}
		if last.TryGrow(60) || len(stopped) != 1 {
			t.Errorf("memory was given up by %v although no other body stalls", stopped)
		}
		if stalled.TryGrow(1) || stalled.Complete() || !stalled.HasGivenWay() {
			t.Error("a body that has given way got memory or counts as complete")
		}
		stalled.Release()
		if held := a.Held(); held.Requests != 200 || held.GivenWay != 1 {
			t.Errorf("held %+v, want 200 bytes of requests and one body that gave way", held)
		}
	})
}

// TestStalledBodyOfOthersStays guards against a caller at its own bound who makes the bodies of
// others give way.
func TestStalledBodyOfOthersStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 400, Requests: 200}}
		other, first, second := a.Request("other"), a.Request("one"), a.Request("one")
		if !other.TryGrow(50) || !first.TryGrow(100) {
			t.Fatal("no memory")
		}
		other.Begin(func() { t.Error("the body of another caller has given way") })
		time.Sleep(bodyStallTime)
		if second.TryGrow(10) {
			t.Error("a caller got more than its bound")
		}
		first.Begin(func() {})
		time.Sleep(bodyStallTime)
		if !second.TryGrow(10) || !first.HasGivenWay() {
			t.Error("the stalled body of the same caller has not given way")
		}
	})
}

// TestTricklingBodyStalls guards against a body that holds memory by sending a few bytes now and
// then.
func TestTricklingBodyStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 200, Requests: 100}}
		trickling := a.Request("one")
		if !trickling.TryGrow(100) {
			t.Fatal("no memory")
		}
		trickling.Begin(func() {})
		for range 10 {
			time.Sleep(bodyStallTime / 5)
			trickling.Advance(1)
		}
		if !a.Request("two").TryGrow(50) {
			t.Error("a body that hardly goes on has not given way")
		}
	})
}

// TestUnreadResponsesGiveWay guards against responses that are not read and take the memory of
// others until they are, and against one that is read slowly and gives way, or one of a caller whose
// own bound is what others lack.
func TestUnreadResponsesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 100, Requests: 50}}
		unread, slow, last := a.Response("unread"), a.Response("slow"), a.Response("last")
		if unread.Grow(t.Context(), 45) != nil || slow.Grow(t.Context(), 45) != nil {
			t.Fatal("no memory")
		}
		stopped := false
		unread.Begin(func() { stopped = true })
		slow.Begin(func() { t.Error("a response that is read slowly has given way") })
		go func() {
			for range 10 {
				time.Sleep(time.Second)
				slow.Advance(stallBytes)
			}
		}()
		start := time.Now()
		err := last.Grow(t.Context(), 40)
		if err != nil || !stopped || time.Since(start) > 2*responseStallTime {
			t.Errorf("got %v after %s, unread response ended %t; want memory once it has stalled", err, time.Since(start), stopped)
		}
		unread.Release()
		if held := a.Held(); held.Total != 85 || held.GivenWay != 1 {
			t.Errorf("held %+v, want 85 bytes and one response that gave way", held)
		}
		slow.Release()
		time.Sleep(10 * time.Second)
	})
}

// TestEndedTransferIsNotStopped guards against a stop that comes after its transfer has ended, when
// the connection may carry the next one.
func TestEndedTransferIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 100, Requests: 50}}
		r := a.Request("one")
		if !r.TryGrow(50) {
			t.Fatal("no memory")
		}
		r.Begin(func() { t.Error("a transfer was stopped after its end") })
		time.Sleep(bodyStallTime)
		_, stops := a.Request("two").tryGrow(10)
		if r.Complete() {
			t.Error("a body that has given way counts as complete")
		}
		for _, stop := range stops {
			stop()
		}
		if len(stops) != 1 {
			t.Errorf("%d transfers were stopped, want one", len(stops))
		}
	})
}
