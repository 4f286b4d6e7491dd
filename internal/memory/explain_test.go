package memory_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cactusbay/cactusbay/internal/memory"
)

// TestHasRoomAgreesWithTryGrow guards against a statement about free memory that differs from
// what a request then gets, or that reserves any.
func TestHasRoomAgreesWithTryGrow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	a := &memory.Account{Bounds: memory.Bounds{Total: 1000, Requests: 500}}
	var held []*memory.Request
	granted := 0
	for range 2000 {
		caller, bytes := strconv.Itoa(random.IntN(3)), int64(random.IntN(400))
		before := a.Held()
		room := a.HasRoom(caller, bytes)
		if after := a.Held(); after != before {
			t.Fatalf("HasRoom has changed what is held from %+v to %+v", before, after)
		}
		r := a.Request(caller)
		if got := r.TryGrow(bytes); got != room {
			t.Fatalf("HasRoom says %t, but TryGrow %t", room, got)
		}
		if room {
			granted++
			held = append(held, r)
		}
		if len(held) > 0 && random.IntN(3) == 0 {
			held[0].Release()
			held = held[1:]
		}
	}
	if granted == 0 || granted == 2000 {
		t.Errorf("%d of 2000 requests got memory, want some", granted)
	}
}
