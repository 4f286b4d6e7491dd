package overload

import (
	"math"
	"testing"
	"time"
)

// TestLinkMeter guards against a utilization that depends on how often it is updated, that a
// pause of the process or the first call distorts, or that mixes up the directions.
func TestLinkMeter(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond} {
		m := LinkMeter{BytesPerSecond: simLink, TimeConstant: utilizationTime}
		now := simStart
		total := Traffic{Received: 1 << 40, Sent: 1 << 41}
		if got := m.Update(now, total); got != (Utilization{}) {
			t.Errorf("after the first call: got %+v, want nothing", got)
		}
		var got Utilization
		advance := func(d time.Duration) {
			now = now.Add(d)
			total.Received += int64(0.9 * simLink * d.Seconds())
			total.Sent += int64(0.5 * simLink * d.Seconds())
			got = m.Update(now, total)
		}
		for range int(utilizationTime / interval) {
			advance(interval)
		}
		if share := got.Received / 0.9; share < 0.55 || share > 0.68 {
			t.Errorf("steps of %s: %.2f of the change shows after %s, want about 0.63", interval, share, utilizationTime)
		}
		for range 100 {
			advance(interval)
		}
		advance(10 * time.Second)
		if math.Abs(got.Received-0.9) > 0.01 || math.Abs(got.Sent-0.5) > 0.01 || got.Highest() != got.Received {
			t.Errorf("steps of %s: got %+v, want 0.9 and 0.5", interval, got)
		}
		if again := m.Update(now, total); again != got {
			t.Errorf("a second call at one time changed %+v to %+v", got, again)
		}
	}
}
