package statechart

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestParse parses valid and invalid charts; testdata/parse holds the expected
// initial states and errors.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(_ *testing.T, d *datadriven.TestData) string {
		chart, err := Parse([]byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%s starts in %s\n", chart.Name, chart.Initial)
	})
}

// TestRequestChartRefusesSecondBill guards against a request that is billed twice:
// after it is settled, no event that bills or reserves again may be allowed.
func TestRequestChartRefusesSecondBill(t *testing.T) {
	chart := MustLoad("request")
	state := chart.Initial
	for _, event := range []Event{"reserve", "settle"} {
		next, err := chart.Next(state, event)
		if err != nil {
			t.Fatal(err)
		}
		state = next
	}
	for _, event := range []Event{"settle", "release", "reserve"} {
		_, err := chart.Next(state, event)
		if !errors.Is(err, ErrNoTransition) {
			t.Errorf("event %s after settle returned %v, want ErrNoTransition", event, err)
		}
	}
}
