// Package capacity measures the resources that each role needs per request,
// budget, configuration change and instance. Everything runs on one machine,
// with fake backend servers. Each cost is measured at several sizes and
// fitted with a line, whose slope is the cost per unit.
package capacity

import "math"

// Point is the cost measured at one size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a least-squares line through the points of one measurement.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of the cost, and Per describes what Size counts.
	Unit string `json:"unit"`
	Per  string `json:"per"`

	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Error is the standard error of the slope, or zero for fewer than three
	// points.
	Error float64 `json:"slope_error"`
	// R2 is the coefficient of determination, the fraction of the variance of
	// the costs that the line explains.
	R2 float64 `json:"r2"`
}

// Fit returns the least-squares line through points. Without two different
// sizes, the slope and the intercept are zero.
func Fit(name, unit, per string, points []Point) Slope {
	fit := Slope{Name: name, Unit: unit, Per: per, Points: points}
	n := float64(len(points))
	meanSize, meanCost := meanSizeAndCost(points)
	var sizes, products, costs float64
	for _, p := range points {
		sizes += (p.Size - meanSize) * (p.Size - meanSize)
		products += (p.Size - meanSize) * (p.Cost - meanCost)
		costs += (p.Cost - meanCost) * (p.Cost - meanCost)
	}
	if sizes == 0 {
		return fit
	}
	fit.Slope = products / sizes
	fit.Intercept = meanCost - fit.Slope*meanSize
	residual := costs - fit.Slope*products
	if n > 2 {
		fit.Error = math.Sqrt(max(0, residual) / (n - 2) / sizes)
	}
	if costs > 0 {
		fit.R2 = 1 - residual/costs
	}
	return fit
}

func meanSizeAndCost(points []Point) (size, cost float64) {
	for _, p := range points {
		size += p.Size / float64(len(points))
		cost += p.Cost / float64(len(points))
	}
	return size, cost
}
