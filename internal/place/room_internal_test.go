package place

import (
	"testing"
	"time"
)

// A server must count as full sooner for less urgent requests: otherwise they hold the slots
// that urgent ones need.
func TestOccupancyFallsWithThePriority(t *testing.T) {
	f := engineFleet(1)
	u := f.upstreamOf("pool")
	u.recordReport(u.servers[0], Load{Running: 32, Waiting: 8, Slots: 32, Slowdown: 1}, internalStart)
	for priority, want := range []bool{true, true, false, false} {
		decision := f.Pick(Query{Now: internalStart, Upstream: "pool", Priority: priority})
		chosen, got := decision.(Chosen)
		if got != want {
			t.Errorf("priority %d: %#v, want a server: %t", priority, decision, want)
		}
		if got {
			chosen.Placement.Done(Unused{}, internalStart)
		}
	}
}

// A request that would get its first event too late must be refused at once, and the time
// after which its caller may come again must be true.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	f := engineFleet(2)
	for _, s := range f.upstreamOf("pool").servers {
		f.RecordRemotePrompt(s.id, 3*time.Second, nil, internalStart)
	}
	query := func(now time.Time, left time.Duration) Query {
		return Query{Now: now, Upstream: "pool", Prompt: &Prompt{Tokens: 1000, Output: 10}, TimeLeft: left}
	}
	full, ok := f.Pick(query(internalStart, time.Second)).(Full)
	if !ok || !full.Late {
		t.Fatalf("%+v, want the request to be refused as late", full)
	}
	if full.RetryAfter < 1900*time.Millisecond || full.RetryAfter > 2100*time.Millisecond {
		t.Errorf("it may come again after %s, want about 2 s", full.RetryAfter)
	}
	if _, ok := f.Pick(query(internalStart.Add(full.RetryAfter-200*time.Millisecond), time.Second)).(Full); !ok {
		t.Error("it was served 200 ms before the stated time")
	}
	if _, ok := f.Pick(query(internalStart.Add(full.RetryAfter+10*time.Millisecond), time.Second)).(Chosen); !ok {
		t.Error("it was refused after the stated time")
	}
	if _, ok := f.Pick(query(internalStart, 0)).(Chosen); !ok {
		t.Error("a request was refused whose time is not known")
	}
}

// The least urgent requests must get a few servers while more urgent ones take all the room,
// and must be stated as urgent there: otherwise the server would serve them last.
func TestLeastUrgentRequestsAreNotStarved(t *testing.T) {
	f := engineFleet(4)
	u := f.upstreamOf("pool")
	granted := 0
	now := internalStart
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for _, s := range u.servers {
			u.recordReport(s, Load{Running: 32, Waiting: 20, Slots: 32, Slowdown: 1}, now)
		}
		if chosen, ok := f.Pick(Query{Now: now, Upstream: "pool", Priority: 3}).(Chosen); ok {
			granted++
			if !chosen.Placement.Granted {
				t.Error("the placement does not say that the request uses the room of urgent ones")
			}
			chosen.Placement.Done(Served{}, now)
		}
	}
	if granted < 8 || granted > 12 {
		t.Errorf("%d of 200 requests were served, want about 10", granted)
	}
}

// While urgent requests miss their time, those that are less urgent must yield, and must not
// do so for longer than that lasts.
func TestLessUrgentRequestsYieldWhileUrgentOnesAreMissed(t *testing.T) {
	f := engineFleet(4)
	u := f.upstreamOf("pool")
	now := internalStart
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		chosen := f.Pick(Query{Now: now, Upstream: "pool", Prompt: &Prompt{Tokens: 1000}, TimeLeft: time.Second}).(Chosen)
		chosen.Placement.expected.timeLeft = time.Millisecond
		chosen.Placement.RecordFirstEvent(now.Add(2 * time.Millisecond))
		chosen.Placement.Done(Served{}, now.Add(2*time.Millisecond))
	}
	less := Query{Now: now, Upstream: "pool", Prompt: &Prompt{Tokens: 1000}, Priority: 1, TimeLeft: time.Second}
	if _, ok := f.Pick(less).(Full); !ok {
		t.Error("a less urgent request was served while all urgent ones missed their time")
	}
	less.Now = now.Add(10 * missMemory)
	if _, ok := f.Pick(less).(Chosen); !ok {
		t.Error("a less urgent request was refused long after urgent ones missed their time")
	}
	if u.room.yieldFor(class{}, time.Second) != 0 {
		t.Error("the most urgent requests yield")
	}
}
