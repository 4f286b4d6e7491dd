package memory

import (
	"context"
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
		first, second, third := a.Response(), a.Response(), a.Response()
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
		if held := a.Held(); held != (Held{Total: 60}) {
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
					small := a.Response()
					_ = small.Grow(t.Context(), 20)
					time.Sleep(time.Second)
					small.Release()
				}()
			})
		}
		time.Sleep(5 * time.Second)
		start := time.Now()
		large := a.Response()
		err := large.Grow(t.Context(), 90)
		if err != nil || time.Since(start) > 10*time.Second {
			t.Errorf("got %v after %v, want memory within 10 s", err, time.Since(start))
		}
		large.Release()
		time.Sleep(time.Minute)
	})
}

// TestGrowingResponsesEnd guards against responses without a length that hold parts and wait
// for each other until their deadlines, and against more than one that exceeds the bound.
func TestGrowingResponsesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const total, largest = 100, 64
		a := &Account{Bounds: Bounds{Total: total}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var highest atomic.Int64
		var running sync.WaitGroup
		for range 20 {
			running.Go(func() {
				r := a.Response()
				defer r.Release()
				for bytes := int64(4); bytes <= largest; bytes *= 2 {
					err := r.Grow(ctx, bytes)
					if err != nil {
						t.Error(err)
						return
					}
					highest.Store(max(highest.Load(), a.Held().Total))
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		running.Wait()
		if highest.Load() > total+largest {
			t.Errorf("%d bytes were held, want at most %d", highest.Load(), total+largest)
		}
		if held := a.Held(); held != (Held{}) {
			t.Errorf("held %+v at the end, want nothing", held)
		}
	})
}
