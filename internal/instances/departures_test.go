package instances_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

const server = "10.0.0.1:7000"

func TestOneSourceMarksServerAsLeaving(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	d := &instances.Departures{}
	leaving := map[string]bool{server: true}
	steps := []struct {
		name    string
		report  func()
		leaving bool
	}{
		{"nothing known", func() {}, false},
		{"load report", func() { d.Report(instances.SourceLoadReport, server, true, now) }, true},
		{"configuration too", func() { d.ReportAll(instances.SourceConfiguration, leaving, now) }, true},
		{"load report withdrawn", func() { d.Report(instances.SourceLoadReport, server, false, now) }, true},
		{"platform too", func() { d.ReportListed(server, true, now) }, true},
		{"configuration withdrawn", func() { d.ReportAll(instances.SourceConfiguration, nil, now) }, true},
		{"the platform drops it", func() { d.Prune(now) }, true},
		{"the platform shows it live", func() { d.ReportListed(server, false, now) }, false},
	}
	for _, step := range steps {
		step.report()
		if d.IsLeaving(server) != step.leaving {
			t.Errorf("%s: leaving %t, want %t", step.name, !step.leaving, step.leaving)
		}
	}
}

// The number of remembered servers must stay bounded while servers come and go.
func TestLeavingServersAreForgotten(t *testing.T) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	d := &instances.Departures{}
	d.ReportListed(server, true, now)
	d.Prune(now.Add(time.Hour))
	if !d.IsLeaving(server) {
		t.Error("a server was forgotten after an hour, want it to be kept")
	}
	d.Prune(now.Add(time.Hour + time.Second))
	if d.IsLeaving(server) {
		t.Error("a server that no list has shown for over an hour is still remembered")
	}
}
