package departure_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/departure"
)

const server = "10.0.0.1:7000"

func document(state string) *config.Document {
	return &config.Document{BackendServers: map[string]config.BackendServer{"one": {Address: server, State: state}}}
}

func TestOneSourceMarksServerAsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &departure.Departures{}
		steps := []struct {
			name    string
			report  func()
			leaving bool
		}{
			{"nothing known", func() {}, false},
			{"load report", func() { d.ReportLoad(server, true) }, true},
			{"configuration too", func() { d.ReportConfiguration(document(config.StateLeaving)) }, true},
			{"load report withdrawn", func() { d.ReportLoad(server, false) }, true},
			{"platform too", func() { d.ReportPlatform(map[string]bool{server: true}) }, true},
			{"configuration withdrawn", func() { d.ReportConfiguration(document("")) }, true},
			{"the platform drops it", func() { d.ReportPlatform(nil) }, true},
			{"the platform shows it live", func() { d.ReportPlatform(map[string]bool{server: false}) }, false},
		}
		for _, step := range steps {
			step.report()
			if d.IsLeaving(server) != step.leaving {
				t.Errorf("%s: leaving %t, want %t", step.name, !step.leaving, step.leaving)
			}
		}
	})
}

func TestDispatchAfterMaxDelayViolatesInvariant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &departure.Departures{}
		d.ReportLoad(server, true)
		time.Sleep(3 * time.Second)
		if d.CheckDispatch(server) != nil {
			t.Error("a dispatch within the bound was refused")
		}
		time.Sleep(time.Millisecond)
		if d.CheckDispatch(server) == nil {
			t.Error("a dispatch after the bound was allowed")
		}
	})
}
