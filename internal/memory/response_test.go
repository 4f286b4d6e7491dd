package memory

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// TestResponsesWait guards against responses above the bound, against one that fails although
// memory becomes free in time, and against one that waits beyond its deadline or is then
// still counted.
func TestResponsesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 100}}
		first, second, third := a.Response("a"), a.Response("b"), a.Response("c")
		err := first.Grow(t.Context(), 80)
		if err != nil || first.HasWaited() {
			t.Errorf("a response of 80 of 100 bytes waited or failed: %v", err)
		}
		time.AfterFunc(time.Second, first.Release)
		start := time.Now()
		short, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		err = second.Grow(short, 60)
		if !errors.Is(err, ErrNoRoom) || !second.HasWaited() || time.Since(start) != time.Second/2 {
			t.Errorf("got %v after %v, want %v after 0.5 s", err, time.Since(start), ErrNoRoom)
		}
		err = third.Grow(t.Context(), 60)
		if err != nil || time.Since(start) != time.Second {
			t.Errorf("got %v after %v, want memory after 1 s", err, time.Since(start))
		}
		if held := a.Held(); held != (Held{Total: 60, Caller: 60, CallerLimit: 50}) {
			t.Errorf("held %+v, want 60 bytes", held)
		}
	})
}

// TestLargeResponseIsNotStarved guards against a large response that waits for ever because
// small ones that came later take all memory that becomes free.
func TestLargeResponseIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 100}}
		for i := range 200 {
			time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() {
				go func() {
					small := a.Response(strconv.Itoa(i))
					_ = small.Grow(t.Context(), 20)
					time.Sleep(time.Second)
					small.Release()
				}()
			})
		}
		time.Sleep(5 * time.Second)
		start := time.Now()
		large := a.Response("large")
		err := large.Grow(t.Context(), 90)
		if err != nil || time.Since(start) > 10*time.Second {
			t.Errorf("got %v after %v, want memory within 10 s", err, time.Since(start))
		}
		large.Release()
		time.Sleep(time.Minute)
	})
}

// TestGrowingResponsesEnd guards against responses without a length, to one caller or to many,
// that hold parts and wait for each other until their deadlines, and against more than one that
// exceeds a bound.
func TestGrowingResponsesEnd(t *testing.T) {
	for _, callers := range []int{1, 3, 20} {
		t.Run(strconv.Itoa(callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { growResponses(t, callers) })
		})
	}
}

// growResponses lets 20 responses to the given number of callers grow at once.
func growResponses(t *testing.T, callers int) {
	const total, largest = 100, 64
	a := &Account{Bounds: Bounds{Total: total}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var highest, highestCaller atomic.Int64
	var running sync.WaitGroup
	for i := range 20 {
		running.Go(func() {
			r := a.Response(strconv.Itoa(i % callers))
			defer r.Release()
			for bytes := int64(4); bytes <= largest; bytes *= 2 {
				err := r.Grow(ctx, bytes)
				if err != nil {
					t.Error(err)
					return
				}
				held := a.Held()
				highest.Store(max(highest.Load(), held.Total))
				highestCaller.Store(max(highestCaller.Load(), held.Caller))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	running.Wait()
	if highest.Load() > total+largest || highestCaller.Load() > total/callerDivisor+largest {
		t.Errorf("%d bytes were held, and %d for a caller; want at most %d and %d", highest.Load(), highestCaller.Load(), total+largest, total/callerDivisor+largest)
	}
	if held := a.Held(); held != (Held{CallerLimit: total / callerDivisor}) {
		t.Errorf("held %+v at the end, want nothing", held)
	}
}

// TestSlowReaderLeavesRoom guards against a caller who does not read its responses, and so
// keeps those to others waiting: for memory, or behind its own in the queue.
func TestSlowReaderLeavesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bounds: Bounds{Total: 100}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var running sync.WaitGroup
		for range 10 {
			running.Go(func() {
				r := a.Response("slow")
				defer r.Release()
				if r.Grow(ctx, 20) == nil {
					<-ctx.Done()
				}
			})
		}
		synctest.Wait()
		if held := a.Held(); held.Total != 40 || held.Waiting != 8 {
			t.Errorf("held %+v, want 2 responses of 20 bytes to the slow reader and 8 that wait", held)
		}
		for range 100 {
			r := a.Response("fast")
			err := r.Grow(ctx, 40)
			if err != nil || r.HasWaited() {
				t.Fatalf("a response to the fast reader waited or failed: %v", err)
			}
			time.Sleep(10 * time.Millisecond)
			r.Release()
		}
		running.Wait()
	})
}

// TestResponseToALargeRequest guards against a response that waits for ever because its own
// request holds all memory.
func TestResponseToALargeRequest(t *testing.T) {
	a := &Account{Bounds: Bounds{Total: 100, Requests: 50}}
	request, response := a.Request("a"), a.Response("a")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if !request.TryGrow(100) {
		t.Fatal("the only request was refused")
	}
	err := response.Grow(ctx, 10)
	if err != nil {
		t.Error(err)
	}
}
