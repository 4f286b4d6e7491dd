package place

import (
	"testing"
	"time"
)

// An operator must see when an upstream begins and ceases to be placed by estimates, once
// each, and on how old reports and how uneven speeds the choice rests.
func TestAdaptivePlacementIsReported(t *testing.T) {
	f := engineFleet(3)
	f.Adaptive = false
	var changes []bool
	f.AdaptiveChanged = func(upstream string, adaptive bool, servers int) {
		if upstream != "pool" || servers != 3 {
			t.Errorf("upstream %s with %d servers, want pool with 3", upstream, servers)
		}
		changes = append(changes, adaptive)
	}
	if got := f.Counts(internalStart).Adaptive; got.Upstreams != 0 || got.ReportAge >= 0 || got.SpeedSpread != 0 {
		t.Errorf("%+v before any report", got)
	}
	u := f.upstreamOf("pool")
	u.recordReport(u.servers[0], Load{Slots: 32, Slowdown: 1}, internalStart)
	u.recordReport(u.servers[1], Load{Slots: 32, Slowdown: 1}, internalStart.Add(time.Second))
	for range 100 {
		u.recordPrefill(u.servers[0], 100*time.Millisecond, 0, 100*time.Millisecond)
		u.recordPrefill(u.servers[1], 200*time.Millisecond, 0, 100*time.Millisecond)
	}
	now := internalStart.Add(2 * time.Second)
	for range 2 {
		got := f.Counts(now).Adaptive
		if got.Upstreams != 1 || got.ReportAge != 1500*time.Millisecond || got.SpeedSpread < 1.9 || got.SpeedSpread > 2.1 {
			t.Errorf("%+v, want one upstream, reports 1.5 s old and engines that differ by a factor of 2", got)
		}
	}
	if got := f.Counts(now.Add(slowdownTTL)).Adaptive; got.Upstreams != 0 {
		t.Errorf("%+v after no server has stated a slowdown for %s", got, slowdownTTL)
	}
	if len(changes) != 2 || !changes[0] || changes[1] {
		t.Errorf("reported changes: %v, want a begin and an end", changes)
	}
}
