package place

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// limitedFleet returns a fleet of one server and a function that places a request there at
// the given time, or returns nil and the time after which a retry may succeed.
func limitedFleet(start time.Time) (*Fleet, func(at time.Time) (*Placement, time.Duration)) {
	f := &Fleet{}
	f.Update([]instances.Instance{{ID: "s", Upstream: "pool", Address: "a", Slots: 100}}, start)
	return f, func(at time.Time) (*Placement, time.Duration) {
		switch d := f.Pick(Query{Now: at, Upstream: "pool"}).(type) {
		case Chosen:
			return d.Placement, 0
		case Full:
			return nil, d.RetryAfter
		default:
			return nil, 0
		}
	}
}

// TestLimitedServerIsFullBeyondItsLimit checks that requests beyond a server's limit are
// refused at once, with the time after which one is allowed.
func TestLimitedServerIsFullBeyondItsLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	_, pick := limitedFleet(start)
	first, _ := pick(start)
	first.RecordLimit(Limit{Named: true, PerSecond: 2}, start)
	refused, wait := pick(start)
	if refused != nil || wait < 500*time.Millisecond || wait > 600*time.Millisecond {
		t.Errorf("placed %v with a wait of %s, want a wait of half a second and some", refused, wait)
	}
	allowed, _ := pick(start.Add(wait))
	if allowed == nil {
		t.Errorf("no request is placed after %s", wait)
	}
	refused, _ = pick(start.Add(wait))
	if refused != nil {
		t.Error("two requests are placed at once")
	}
}

// TestRequestThatDidNotReachTheServerCountsNotAgainstItsLimit checks that a placement
// without a send gives back what it took.
func TestRequestThatDidNotReachTheServerCountsNotAgainstItsLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	_, pick := limitedFleet(start)
	first, _ := pick(start)
	first.RecordLimit(Limit{Named: true, PerSecond: 1}, start)
	later := start.Add(2 * time.Second)
	second, _ := pick(later)
	second.Done(Unused{}, later)
	third, _ := pick(later)
	if third == nil {
		t.Error("no request is placed after an unused one")
	}
}

// TestEarlierResponseDoesNotEndALimit guards against a response that was overtaken by the
// one that names the limit.
func TestEarlierResponseDoesNotEndALimit(t *testing.T) {
	start := time.Unix(1000, 0)
	f, pick := limitedFleet(start)
	slow, _ := pick(start)
	fast, _ := pick(start)
	fast.RecordLimit(Limit{Named: true, PerSecond: 1}, start.Add(time.Second))
	slow.RecordLimit(Limit{}, start.Add(2*time.Second))
	if !f.servers["s"].limit.Named {
		t.Error("a response to a request that was sent before the limit was named has ended it")
	}
	later, _ := pick(start.Add(3 * time.Second))
	later.RecordLimit(Limit{}, start.Add(4*time.Second))
	if f.servers["s"].limit.Named {
		t.Error("the limit is in force after a later response without it")
	}
}

// TestLimitThatIsNotNamedAgainExpires guards against a server that gets no request any
// more because none brings news of its limit.
func TestLimitThatIsNotNamedAgainExpires(t *testing.T) {
	start := time.Unix(1000, 0)
	_, pick := limitedFleet(start)
	first, _ := pick(start)
	first.RecordLimit(Limit{Named: true}, start)
	refused, _ := pick(start.Add(minLimitTTL))
	allowed, _ := pick(start.Add(maxLimitTTL + time.Second))
	if refused != nil || allowed == nil {
		t.Errorf("placed %v within the time of the limit and %v after it", refused, allowed)
	}
}
