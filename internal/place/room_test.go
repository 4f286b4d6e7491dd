package place_test

import (
	"fmt"
	"testing"

	"time"
)

// mixedKinds has small and large requests of three priorities. The least urgent callers wait
// longest.
var mixedKinds = []*kind{
	{name: "urgent, large", share: 0.2, priority: 0, shared: 4000, own: 10_000, fresh: 5000, documents: 300, output: 300, firstEvent: 1500 * time.Millisecond, timeLeft: 1500 * time.Millisecond},
	{name: "urgent, small", share: 0.15, priority: 0, shared: 1000, fresh: 1500, documents: 1, output: 100, firstEvent: 1500 * time.Millisecond, timeLeft: 1500 * time.Millisecond},
	{name: "normal, large", share: 0.2, priority: 1, shared: 4000, own: 10_000, fresh: 5000, documents: 300, output: 300, firstEvent: 2 * time.Second, timeLeft: 2 * time.Second},
	{name: "normal, small", share: 0.15, priority: 1, shared: 1000, fresh: 1500, documents: 1, output: 100, firstEvent: 2 * time.Second, timeLeft: 2 * time.Second},
	{name: "low, large", share: 0.15, priority: 2, shared: 4000, own: 10_000, fresh: 5000, documents: 300, output: 300, firstEvent: 3 * time.Second, timeLeft: 3 * time.Second},
	{name: "low, small", share: 0.15, priority: 2, shared: 1000, fresh: 1500, documents: 1, output: 100, firstEvent: 3 * time.Second, timeLeft: 3 * time.Second},
}

// playMixed runs a site that gets requests of mixedKinds.
func playMixed(t *testing.T, name string, rate float64, reporting reporting) *model {
	t.Helper()
	return play(t, fmt.Sprintf("%s at %.0f/s", name, rate), reporting, func(m *model) {
		m.setKinds(mixedKinds)
		m.rate = rate
		m.stated = m.memory
		m.restartEntries()
	})
}

// Below capacity, hardly any request may be refused to keep room for others.
func TestNoRoomIsKeptBelowCapacity(t *testing.T) {
	total := playMixed(t, "room for urgent requests", 400, reportsWithSlowdown).totals()
	if total.refused > total.requests/100 {
		t.Errorf("%d of %d requests were refused, want at most 1 in 100", total.refused, total.requests)
	}
	if total.shareInTime() < 0.95 {
		t.Errorf("%.3f in time, want at least 0.95", total.shareInTime())
	}
}

// Above capacity, requests of a less urgent kind must never be served better than more urgent
// ones, small or large, and none must get nothing. Serving all in order of arrival queues
// requests until hardly any gets its first event in time.
func TestRoomIsKeptForUrgentRequests(t *testing.T) {
	for _, rate := range []float64{600, 900, 1300} {
		former := playMixed(t, "former choice", rate, reportsDropped).totals()
		m := playMixed(t, "room for urgent requests", rate, reportsWithSlowdown)
		total := m.totals()
		if total.shareInTime() < 1.3*former.shareInTime() {
			t.Errorf("%.0f/s: %.3f in time, want 1.3 times %.3f", rate, total.shareInTime(), former.shareInTime())
		}
		for _, urgent := range m.kinds {
			if share := m.results[urgent].shareInTime(); share < 0.02 {
				t.Errorf("%.0f/s: %.3f of %s in time, want at least 0.02", rate, share, urgent.name)
			}
			for _, other := range m.kinds {
				if other.priority > urgent.priority && m.results[other].shareInTime() > m.results[urgent].shareInTime() {
					t.Errorf("%.0f/s: %.3f of %s in time, want at most the %.3f of %s", rate, m.results[other].shareInTime(), other.name, m.results[urgent].shareInTime(), urgent.name)
				}
			}
		}
	}
}
