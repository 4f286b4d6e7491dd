package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// congested returns a controller whose delay was d for the last seconds, and the time.
func congested(d time.Duration) (*Controller, time.Time) {
	c := &Controller{LinkBytesPerSecond: simLink, Random: rand.New(rand.NewPCG(5, 6))}
	now := hold(c, simStart, d, 3*time.Second)
	return c, now
}

// hold keeps the delay of a controller at d, with requests that have a target of 0.5 s.
func hold(c *Controller, now time.Time, d, during time.Duration) time.Time {
	for end := now.Add(during); now.Before(end); now = now.Add(ProbeInterval) {
		c.RecordEcho(now, Sample{Delay: d})
		c.Admit(now, Request{Workspace: "usual", LatencyTarget: 500 * time.Millisecond, Remaining: time.Minute, Bytes: 2000})
	}
	return now
}

// refusedOf returns how many of a thousand requests are refused in one moment.
func refusedOf(c *Controller, now time.Time, r Request) int {
	refused := 0
	for range 1000 {
		if _, ok := c.Admit(now, r).(Refused); ok {
			refused++
		}
	}
	return refused
}

// TestShedsInOrder guards against shedding that hits urgent, small or modest requests before
// others, and against shedding all of a kind.
func TestShedsInOrder(t *testing.T) {
	c, now := congested(400 * time.Millisecond)
	c.level = 1.1
	usual := Request{Workspace: "new", LatencyTarget: 500 * time.Millisecond, Remaining: time.Minute, Bytes: 100}
	late, large := usual, usual
	late.Priority = 2
	large.Bytes = 500_000
	probability := func(r Request) float64 { return c.refusalProbability(now, r) }
	if probability(usual) >= probability(late) {
		t.Errorf("urgent %.2f, less urgent %.2f: want the less urgent refused first", probability(usual), probability(late))
	}
	if probability(usual) >= probability(large) {
		t.Errorf("small %.2f, large %.2f: want the large refused first", probability(usual), probability(large))
	}
	tight := usual
	tight.LatencyTarget = 150 * time.Millisecond
	if probability(tight) >= probability(usual) {
		t.Errorf("tight target %.2f, usual %.2f: want those refused first that can afford the detour", probability(tight), probability(usual))
	}
	c.usage.add(now, "greedy", 1_000_000)
	greedy := usual
	greedy.Workspace = "greedy"
	if probability(usual) >= probability(greedy) {
		t.Errorf("modest %.2f, greedy %.2f: want the greedy refused first", probability(usual), probability(greedy))
	}
	c.level = maxLevel
	worst := greedy
	worst.Priority, worst.Bytes = 9, 1_000_000
	if got := refusedOf(c, now, worst); got < 800 || got > 950 {
		t.Errorf("%d of 1000 of the worst kind are refused, want about 900", got)
	}
}

// TestResumedStreamsAreAdmitted guards against refusing the rest of a response that has begun.
func TestResumedStreamsAreAdmitted(t *testing.T) {
	c, now := congested(400 * time.Millisecond)
	c.level = maxLevel
	r := Request{Workspace: "usual", Priority: 9, LatencyTarget: 500 * time.Millisecond, Remaining: time.Minute, Resumes: true}
	if got := refusedOf(c, now, r); got != 0 {
		t.Errorf("%d of 1000 resumed streams are refused, want none", got)
	}
}

// TestOnlyHopelessWithoutRoom guards against refusing requests that find no better entry, and
// against holding those whose callers will have left.
func TestOnlyHopelessWithoutRoom(t *testing.T) {
	c := &Controller{LinkBytesPerSecond: simLink, Random: rand.New(rand.NewPCG(5, 6))}
	now := simStart
	for range 100 {
		for _, peer := range []string{"a", "b", "c"} {
			c.RecordPeer(now, peer, time.Second)
		}
		now = hold(c, now, 400*time.Millisecond, ProbeInterval)
	}
	if got := c.Status(now); got.Room != 0 || got.Level != 0 {
		t.Errorf("all peers are congested: got %+v, want no room and no level", got)
	}
	r := Request{Workspace: "usual", Priority: 2, LatencyTarget: 500 * time.Millisecond, Remaining: time.Second}
	if got := refusedOf(c, now, r); got != 0 {
		t.Errorf("%d of 1000 requests are refused although no peer has room", got)
	}
	r.Remaining = 300 * time.Millisecond
	got, ok := c.Admit(now, r).(Refused)
	if !ok || got.Reason != Hopeless {
		t.Errorf("a request with 0.3 s left behind 0.4 s: got %+v, want it refused as hopeless", got)
	}
	r.Resumes = true
	if _, ok := c.Admit(now, r).(Refused); !ok {
		t.Error("a hopeless resumption was admitted")
	}
}

// TestMeasureOnlyRefusesNothing guards against an entry that may only divert and refuses
// requests, or reports a level.
func TestMeasureOnlyRefusesNothing(t *testing.T) {
	c := &Controller{LinkBytesPerSecond: simLink, Random: rand.New(rand.NewPCG(5, 6)), MeasureOnly: true}
	now := hold(c, simStart, 400*time.Millisecond, 3*time.Second)
	for _, remaining := range []time.Duration{time.Millisecond, time.Minute} {
		if got := refusedOf(c, now, Request{Workspace: "usual", Priority: 9, Bytes: 1_000_000, Remaining: remaining}); got != 0 {
			t.Errorf("%d of 1000 requests with %s left are refused, want none", got, remaining)
		}
	}
	if got := c.Status(now); got.Level != 0 || !got.Known || got.Delay != 400*time.Millisecond || got.Target != 500*time.Millisecond/targetDivisor {
		t.Errorf("got %+v, want level 0 and what was measured", got)
	}
}

// TestShortBurstIsNotShed guards against shedding while a queue drains by itself.
func TestShortBurstIsNotShed(t *testing.T) {
	c, now := congested(0)
	now = hold(c, now, 300*time.Millisecond, 200*time.Millisecond)
	hold(c, now, 0, time.Second)
	if c.level != 0 {
		t.Errorf("level %.2f after a burst of 0.2 s, want 0", c.level)
	}
}

// TestRecovers guards against shedding that goes on after the queue is gone.
func TestRecovers(t *testing.T) {
	c, now := congested(500 * time.Millisecond)
	if c.level < 0.5 {
		t.Errorf("level %.2f after 3 s of congestion, want at least 0.5", c.level)
	}
	now = hold(c, now, 0, 10*time.Second)
	if got := c.Status(now); got.Level != 0 {
		t.Errorf("10 s without a delay: got %+v, want level 0", got)
	}
}

// TestTighterTargetOfUrgentWork guards against a target that does not follow the tightest
// route, and one that never relaxes.
func TestTighterTargetOfUrgentWork(t *testing.T) {
	c, now := congested(0)
	urgent := c.Status(now).Target
	for range 200 {
		now = now.Add(ProbeInterval)
		c.Admit(now, Request{LatencyTarget: 2 * time.Second, Remaining: time.Minute})
	}
	if relaxed := c.Status(now).Target; urgent != 500*time.Millisecond/targetDivisor || relaxed != 2*time.Second/targetDivisor {
		t.Errorf("targets %s and then %s, want those of 0.5 s and 2 s", urgent, relaxed)
	}
}

// TestSlowReadersAreNoQueue guards against shedding because a part of the callers read slowly,
// and against missing a link on which nearly all writes block.
func TestSlowReadersAreNoQueue(t *testing.T) {
	for _, test := range []struct {
		blocked int
		sheds   bool
	}{{6, false}, {10, true}} {
		c, now := congested(0)
		for range 40 {
			now = hold(c, now, 0, ProbeInterval)
			for i := range 10 {
				blocked := time.Duration(0)
				if i < test.blocked {
					blocked = 400 * time.Millisecond
				}
				c.RecordWrite(now, blocked)
			}
		}
		if sheds := c.Status(now).Level > 0; sheds != test.sheds {
			t.Errorf("%d of 10 writes block: sheds %v, want %v", test.blocked, sheds, test.sheds)
		}
	}
}

// TestFullLinkIsShedFurther guards against an entry that ceases to shed when its link is so
// full that no echo arrives any more, and against one that sheds in a partition.
func TestFullLinkIsShedFurther(t *testing.T) {
	lose := func(c *Controller, now time.Time, during time.Duration) time.Time {
		for end := now.Add(during); now.Before(end); now = now.Add(ProbeInterval) {
			c.RecordEcho(now, Sample{Delay: lossTimeout, Lost: true})
			c.RecordWrite(now, 0)
			c.Admit(now, Request{Workspace: "usual", LatencyTarget: 500 * time.Millisecond, Remaining: time.Minute, Bytes: 2000})
		}
		return now
	}
	c, now := congested(100 * time.Millisecond)
	before := c.Status(now).Level
	now = lose(c, now, 3*time.Second)
	if level := c.Status(now).Level; level < before {
		t.Errorf("the level falls from %.2f to %.2f when the link is full, want no less", before, level)
	}
	now = lose(c, now, 20*time.Second)
	if level := c.Status(now).Level; level != 0 {
		t.Errorf("the level is %.2f after 23 s without an echo, want 0", level)
	}
	c = &Controller{LinkBytesPerSecond: simLink, Random: rand.New(rand.NewPCG(5, 6))}
	now = hold(c, simStart, 0, time.Second)
	now = lose(c, now, 3*time.Second)
	if level := c.Status(now).Level; level != 0 {
		t.Errorf("the level is %.2f in a partition, want 0", level)
	}
}
