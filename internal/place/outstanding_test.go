package place

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// TestOutstandingBytesFillAServer guards against an entry that sends one server more bytes than
// the bound while others have room, against a bound without an end, and against a request
// without a body, or with a large one alone, that is refused for it.
func TestOutstandingBytesFillAServer(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &Fleet{MaxServerBytes: 100}
	f.Update([]instances.Instance{{ID: "a", Upstream: "pool", Address: "a", Slots: 100}, {ID: "b", Upstream: "pool", Address: "b", Slots: 100}}, now)
	pick := func(bytes int64) (*Placement, time.Duration) {
		switch d := f.Pick(Query{Now: now, Upstream: "pool", Bytes: bytes}).(type) {
		case Chosen:
			return d.Placement, 0
		case Full:
			return nil, d.RetryAfter
		default:
			return nil, 0
		}
	}
	large, _ := pick(300)
	var small []*Placement
	for range 3 {
		p, _ := pick(30)
		if p == nil || p.ID == large.ID {
			t.Fatalf("a request of 30 bytes was placed at %+v, want the server without 300 bytes", p)
		}
		small = append(small, p)
	}
	if p, wait := pick(11); p != nil || wait != outstandingRetryAfter {
		t.Errorf("a request beyond the bounds of both servers was placed at %+v, wait %v; want a wait of %v", p, wait, outstandingRetryAfter)
	}
	if p, _ := pick(0); p == nil {
		t.Error("a request without a body was refused")
	}
	if counts := f.Counts(now); counts.ServerBytes != 300 {
		t.Errorf("the most bytes at a server are %d, want 300", counts.ServerBytes)
	}
	for _, outcome := range []Outcome{Served{}, Abandoned{}, Unused{}} {
		small[0].Done(outcome, now)
		small = small[1:]
	}
	if p, _ := pick(100); p == nil || p.ID == large.ID {
		t.Errorf("after the small requests have ended one of 100 bytes was placed at %+v, want their server", p)
	}
}

// TestOutstandingBytesUnbounded guards against a bound where none was asked for.
func TestOutstandingBytesUnbounded(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &Fleet{}
	f.Update([]instances.Instance{{ID: "a", Upstream: "pool", Address: "a", Slots: 100}}, now)
	for range 10 {
		if _, ok := f.Pick(Query{Now: now, Upstream: "pool", Bytes: 1 << 30}).(Chosen); !ok {
			t.Fatal("a request was refused")
		}
	}
}
