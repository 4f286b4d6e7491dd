package overload

import (
	"testing"
	"time"
)

// acceptTrial steps a limiter with constant inputs.
type acceptTrial struct {
	*AcceptLimiter
	now   time.Time
	total Traffic
}

func newAcceptTrial() *acceptTrial {
	return &acceptTrial{AcceptLimiter: NewAcceptLimiter(simLink), now: simStart}
}

// hold returns how long connections were refused in all, and the longest time in a row.
func (a *acceptTrial) hold(during time.Duration, received, sent float64, room bool) (all, longest time.Duration) {
	current := time.Duration(0)
	for end := a.now.Add(during); a.now.Before(end); {
		a.now = a.now.Add(AcceptInterval)
		a.total.Received += int64(received * simLink * AcceptInterval.Seconds())
		a.total.Sent += int64(sent * simLink * AcceptInterval.Seconds())
		if !a.Step(a.now, a.total, room) {
			current = 0
			continue
		}
		all += AcceptInterval
		current += AcceptInterval
		longest = max(longest, current)
	}
	return all, longest
}

// TestAcceptLimiterFollowsTheIncomingLink guards against connections that are accepted while
// requests fill the link, and against refusals while there is room, or for what is sent.
func TestAcceptLimiterFollowsTheIncomingLink(t *testing.T) {
	a := newAcceptTrial()
	if all, _ := a.hold(5*time.Second, resumeUtilization, 1.2, true); all > 0 {
		t.Errorf("connections were refused for %s at a utilization of %.2f", all, resumeUtilization)
	}
	if all, _ := a.hold(time.Second, 1.1, 0.2, true); all < 500*time.Millisecond {
		t.Errorf("connections were refused for %s of a second with a full link, want over half", all)
	}
	a.hold(300*time.Millisecond, 0.5, 0.2, true)
	if all, _ := a.hold(5*time.Second, resumeUtilization-0.02, 0.2, true); all > 0 {
		t.Errorf("connections were refused for %s after the load was gone", all)
	}
}

// TestAcceptLimiterPausesAreShort guards against an entry that is ready and accepts nothing for
// so long that it counts as failed.
func TestAcceptLimiterPausesAreShort(t *testing.T) {
	a := newAcceptTrial()
	all, longest := a.hold(20*time.Second, 1.1, 0, true)
	if longest > maxPause {
		t.Errorf("nothing was accepted for %s, want at most %s", longest, maxPause)
	}
	if least := 20 * time.Second * 8 / 10; all < least {
		t.Errorf("connections were refused for %s of 20 s, want at least %s", all, least)
	}
}

// TestAcceptLimiterWithoutRoom guards against refusing callers that find no better entry.
func TestAcceptLimiterWithoutRoom(t *testing.T) {
	a := newAcceptTrial()
	if all, _ := a.hold(5*time.Second, 1.1, 0, false); all > 0 {
		t.Errorf("connections were refused for %s although no peer has room", all)
	}
	a = newAcceptTrial()
	a.hold(500*time.Millisecond, 1.1, 0, true)
	if all, _ := a.hold(time.Second, 1.1, 0, false); all > 0 {
		t.Errorf("connections were refused for %s after the peers had no room left", all)
	}
}
