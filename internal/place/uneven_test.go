package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

// warmUp is how long a modelled site runs before its results count.
const warmUp = 4 * time.Second

// play runs a site and returns its results. prepare changes the site before its start.
func play(t *testing.T, name string, reporting reporting, prepare func(m *model)) *model {
	t.Helper()
	return playSite(t, name, unevenSite, reporting, prepare)
}

// playSite is play for another site.
func playSite(t *testing.T, name string, site site, reporting reporting, prepare func(m *model)) *model {
	t.Helper()
	m := newModel(site, 1, reporting)
	m.measureFrom = start.Add(warmUp)
	if prepare != nil {
		prepare(m)
	}
	m.run(warmUp + 8*time.Second)
	total := m.totals()
	t.Logf("%s: in time %.3f, refused %d, prompt tokens read %.3f, again %.3f, new connections %.3f", name, total.shareInTime(), total.refused, total.readShare(), total.rereadShare(), float64(total.connections)/float64(total.requests))
	for _, k := range m.kinds {
		t.Logf("    %s: in time %.3f of %d, refused %d", k.name, m.results[k].shareInTime(), m.results[k].requests, m.results[k].refused)
	}
	return m
}

// Servers of uneven speed that slow down for moments must not be chosen as if all were
// alike, or by the last report whatever its age: both queue requests at slow servers. The
// estimates must serve every kind of request at least as well, and must not buy this by
// reading prompts again.
func TestUnevenServersAreChosenByLoadAndSpeed(t *testing.T) {
	today := play(t, "no reports", reportsDropped, nil)
	withoutAge := play(t, "reports without age", reportsWithoutAge, nil)
	estimated := play(t, "estimates", reportsWithSlowdown, nil)
	alone := play(t, "estimates of entries that exchange no loads", reportsWithSlowdown, func(m *model) { m.alone = true })
	share := func(m *model) float64 { total := m.totals(); return total.shareInTime() }
	for _, old := range []*model{today, withoutAge} {
		if share(estimated) < share(old)+0.2 {
			t.Errorf("%.3f in time, want 0.2 more than %.3f", share(estimated), share(old))
		}
		if share(alone) < share(old)+0.1 {
			t.Errorf("%.3f in time without an exchange, want 0.1 more than %.3f", share(alone), share(old))
		}
		for _, k := range kinds {
			if estimated.results[k].shareInTime() < old.results[k].shareInTime() {
				t.Errorf("%s: %.3f in time, want at least %.3f", k.name, estimated.results[k].shareInTime(), old.results[k].shareInTime())
			}
		}
	}
	estimatedTotal, todayTotal := estimated.totals(), today.totals()
	if estimatedTotal.readShare() > todayTotal.readShare()+0.03 {
		t.Errorf("%.3f of the prompt tokens were read, want at most 0.03 more than %.3f", estimatedTotal.readShare(), todayTotal.readShare())
	}
}

// A server that states no load although it is busy must not draw the requests of all
// entries.
func TestServerThatStatesNoLoadDrawsFewRequests(t *testing.T) {
	received := 0
	m := play(t, "a lying server", reportsWithSlowdown, func(m *model) {
		m.lies = func(s *modelServer, load place.Load) *place.Load {
			if s.id != "e07" {
				return &load
			}
			received++
			return &place.Load{Slots: unevenSite.slots, Slowdown: 0.01}
		}
	})
	total := m.totals()
	if total.shareInTime() < 0.85 {
		t.Errorf("%.3f in time, want at least 0.85", total.shareInTime())
	}
	if limit := 3 * total.requests / modelServers * 3 / 2; received > limit {
		t.Errorf("the server got %d requests, want at most %d: three times a fair share", received, limit)
	}
}

// Servers that report nothing must be neither overloaded nor avoided.
func TestServersThatReportNothingAreUsed(t *testing.T) {
	received := 0
	m := play(t, "ten silent servers", reportsWithSlowdown, func(m *model) {
		m.lies = func(s *modelServer, load place.Load) *place.Load {
			if s.id < "e10" {
				received++
				return nil
			}
			return &load
		}
	})
	total := m.totals()
	if total.shareInTime() < 0.85 {
		t.Errorf("%.3f in time, want at least 0.85", total.shareInTime())
	}
	fair := total.requests * 3 / 2 / 6
	if received < fair/2 || received > 2*fair {
		t.Errorf("the servers got %d requests, want about %d", received, fair)
	}
}

// Entries that all started a moment ago know neither loads nor speeds. They must soon
// serve as well as others.
func TestEntriesThatJustStarted(t *testing.T) {
	m := play(t, "entries that started 3 s ago", reportsWithSlowdown, func(m *model) {
		m.after(warmUp, m.restartEntries)
		m.measureFrom = start.Add(warmUp + 3*time.Second)
	})
	total := m.totals()
	if total.shareInTime() < 0.85 {
		t.Errorf("%.3f in time, want at least 0.85", total.shareInTime())
	}
}

// A prefix must weigh enough that requests stay where it is cached while first events are in
// time. The bounds on the tokens that are read again are exceeded without groups of servers and
// with the Affinity of engineWeights.
func TestSharedPrefixesAreRarelyReadAgain(t *testing.T) {
	for _, c := range []struct {
		load, again, inTime float64
	}{{1, 0.036, 0.985}, {1.5, 0.048, 0.98}} {
		total := playSite(t, fmt.Sprintf("deployment C at %.1f times its load", c.load), siteC, reportsWithSlowdown, func(m *model) {
			m.rate *= c.load
			m.stated = m.memory
			m.restartEntries()
		}).totals()
		if total.rereadShare() > c.again {
			t.Errorf("%.4f of the prompt tokens were read again, want at most %.4f", total.rereadShare(), c.again)
		}
		if total.shareInTime() < c.inTime {
			t.Errorf("%.4f in time, want at least %.4f", total.shareInTime(), c.inTime)
		}
	}
}

// Estimates must serve more than the earlier placement at deployment B, whose servers state no
// slowdown, and must not buy it by reading more prompts again while nearly all first events
// are in time. Above that load, they may read a few more again.
func TestEstimatesServeMoreWhereNoSlowdownIsStated(t *testing.T) {
	for _, c := range []struct{ load, gain, again float64 }{{1, 0, 0}, {1.5, 0.1, 0}, {2, 0.2, 0.03}} {
		playB := func(name string, adaptive bool) result {
			return playSite(t, fmt.Sprintf("deployment B at %.1f times its load, %s", c.load, name), siteB, reportsWithoutAge, func(m *model) {
				m.rate *= c.load
				m.adaptive = adaptive
				m.stated = m.memory
				m.restartEntries()
			}).totals()
		}
		former, estimated := playB("earlier placement", false), playB("estimates", true)
		if estimated.shareInTime() < former.shareInTime()+c.gain {
			t.Errorf("%.4f in time, want %.2f more than %.4f", estimated.shareInTime(), c.gain, former.shareInTime())
		}
		if estimated.rereadShare() > former.rereadShare()+c.again {
			t.Errorf("%.4f of the prompt tokens were read again, want at most %.2f more than %.4f", estimated.rereadShare(), c.again, former.rereadShare())
		}
	}
}
