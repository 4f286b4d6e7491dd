package capacity

import (
	"math"
	"testing"
)

// The fit must reproduce an exact line without error and give the standard
// error of points off the line.
func TestFitFindsTheLineAndItsError(t *testing.T) {
	exact := Fit("exact", "s", "request", []Point{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(exact.Slope-2) > 1e-9 || math.Abs(exact.Intercept-3) > 1e-9 || exact.Error > 1e-6 || math.Abs(exact.R2-1) > 1e-9 {
		t.Errorf("points on a line: fit %+v, want slope 2, intercept 3, error 0 and R2 1", exact)
	}
	noisy := Fit("rough", "s", "request", []Point{{0, 0}, {1, 2}, {2, 1}})
	if math.Abs(noisy.Slope-0.5) > 1e-9 || math.Abs(noisy.Error-math.Sqrt(0.75)) > 1e-9 {
		t.Errorf("points off the line: fit %+v, want slope 0.5 and error sqrt(0.75)", noisy)
	}
}
