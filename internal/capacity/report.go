package capacity

import (
	"runtime"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is the result of a capacity run, as stored in docs/capacity.json.
type Report struct {
	Commit    string    `json:"commit"`
	Command   string    `json:"command"`
	Started   time.Time `json:"started"`
	GoVersion string    `json:"go_version"`
	Cores     int       `json:"cores"`
	// SyncMillis is the mean time of one disk sync at the ledger, in
	// milliseconds.
	SyncMillis float64 `json:"sync_millis"`
	Slopes     []Slope `json:"slopes"`
}

func (r *Report) add(slope Slope) {
	r.Slopes = append(r.Slopes, slope)
}

// Measure runs the measurements one after the other and returns their slopes,
// sorted by name. It calls done after each measurement with the report so far,
// whose slopes are in the order of the measurements. If only is not empty, it
// runs just the measurement with that name.
func Measure(only string, done func(step string, took time.Duration, report *Report)) (*Report, error) {
	report := &Report{Started: time.Now().UTC(), GoVersion: runtime.Version(), Cores: runtime.NumCPU()}
	steps := []struct {
		name string
		run  func(*Report) error
	}{
		{"requests through an entry", measureRequests},
		{"requests at a ledger", measureLedger},
		{"backend servers in view", measurePlacement},
		{"configuration changes", measureChanges},
		{"budgets", measureBudgets},
		{"reports to the group", measureReports},
		{"idle entries", measureIdleEntries},
		{"polls of backend servers", measurePolls},
		{"idle control groups", measureControlGroups},
	}
	for _, step := range steps {
		if only != "" && only != step.name {
			continue
		}
		start := time.Now()
		err := step.run(report)
		if err != nil {
			return nil, errors.Newf("measure %s: %w", step.name, err)
		}
		done(step.name, time.Since(start), report)
	}
	sort.Slice(report.Slopes, func(i, j int) bool { return report.Slopes[i].Name < report.Slopes[j].Name })
	return report, nil
}
