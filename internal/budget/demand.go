package budget

import (
	"math"
	"time"
)

const (
	// defaultTimeConstant is the default of Demand.TimeConstant.
	defaultTimeConstant = time.Hour
	// warmUpDivisor is the ratio of the time constant to the default warm-up,
	// which limits the first estimates because they rest on few observations.
	warmUpDivisor = 60
)

// Demand estimates a rate of spending as an exponentially weighted moving
// average. The zero value is ready to use.
type Demand struct {
	// TimeConstant is the age at which spent tokens have the weight 1/e; 0 means
	// an hour.
	TimeConstant time.Duration
	// WarmUp is the minimum observation time that an estimate assumes; 0 means
	// 1/60 of the time constant.
	WarmUp time.Duration

	// decayedSum is the weighted sum of spent tokens at the time updated.
	decayedSum float64
	started    time.Time
	updated    time.Time
}

// Observe records tokens that were spent at the time now.
func (d *Demand) Observe(now time.Time, tokens int64) {
	if d.started.IsZero() {
		d.started = now
		d.updated = now
	}
	d.decayedSum = d.decayedSumAt(now) + float64(tokens)
	d.updated = now
}

// PerHour returns the estimated rate at the time now, in tokens per hour. It is 0
// before the first observation.
func (d *Demand) PerHour(now time.Time) int64 {
	if d.started.IsZero() {
		return 0
	}
	timeConstant := d.timeConstant()
	age := max(d.warmUp(), now.Sub(d.started))
	observed := timeConstant.Hours() * (1 - math.Exp(-age.Hours()/timeConstant.Hours()))
	return int64(d.decayedSumAt(now) / observed)
}

// decayedSumAt returns the weighted sum of spent tokens at the time now.
func (d *Demand) decayedSumAt(now time.Time) float64 {
	age := max(0, now.Sub(d.updated))
	return d.decayedSum * math.Exp(-age.Hours()/d.timeConstant().Hours())
}

func (d *Demand) warmUp() time.Duration {
	if d.WarmUp == 0 {
		return d.timeConstant() / warmUpDivisor
	}
	return d.WarmUp
}

func (d *Demand) timeConstant() time.Duration {
	if d.TimeConstant == 0 {
		return defaultTimeConstant
	}
	return d.TimeConstant
}
