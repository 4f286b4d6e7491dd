package capacity

import (
	"math"
	"testing"
)

func TestFitFindsTheLineAndItsError(t *testing.T) {
	exact := Fit("exact", "s", "request", []Point{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(exact.Slope-2) > 1e-9 || math.Abs(exact.Intercept-3) > 1e-9 || exact.Error > 1e-6 || math.Abs(exact.R2-1) > 1e-9 {
		t.Errorf("exact line: %+v", exact)
	}
	noisy := Fit("rough", "s", "request", []Point{{0, 0}, {1, 2}, {2, 1}})
	if math.Abs(noisy.Slope-0.5) > 1e-9 || math.Abs(noisy.Error-math.Sqrt(0.75)) > 1e-9 {
		t.Errorf("rough line: %+v", noisy)
	}
}
