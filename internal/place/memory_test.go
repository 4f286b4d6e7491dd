package place_test

import (
	"testing"
)

// playMemory runs a site whose engines cannot keep the prefixes of all documents. stated is
// what the configuration says of their memory.
func playMemory(t *testing.T, name string, reporting reporting, stated int64) result {
	t.Helper()
	m := play(t, name, reporting, func(m *model) {
		m.memory = 250_000
		m.documents = 2
		m.stated = stated
		m.restartEntries()
	})
	return m.totals()
}

// Engines whose memory is too small for all prefixes must not read more prompt tokens again
// than with the former choice, and must send more first events in time.
func TestScarceMemoryKeepsPrefixes(t *testing.T) {
	former := playMemory(t, "former choice", reportsDropped, 250_000)
	unknown := playMemory(t, "memory unknown", reportsWithSlowdown, 0)
	known := playMemory(t, "memory known", reportsWithSlowdown, 250_000)
	for _, r := range []result{unknown, known} {
		if r.shareInTime() < former.shareInTime()+0.2 {
			t.Errorf("%.3f in time, want 0.2 more than %.3f", r.shareInTime(), former.shareInTime())
		}
		if r.readShare() > former.readShare()+0.02 {
			t.Errorf("%.3f of the prompt tokens were read, want at most 0.02 more than %.3f", r.readShare(), former.readShare())
		}
	}
}
