package budget

import (
	"math"
	"time"
)

const (
	// defaultTimeConstant is the time after which a spend weighs 1/e.
	defaultTimeConstant = time.Hour
	// warmUpDivisor gives the part of the memory that bounds the first estimate,
	// which has little to go by.
	warmUpDivisor = 60
)

// Demand is an exponentially weighted rate of spending; its zero value works.
type Demand struct {
	// TimeConstant is the time after which a spend weighs 1/e; 0 means an hour.
	TimeConstant time.Duration
	// WarmUp is the least time that a first estimate rests on; 0 means a
	// sixtieth of the memory.
	WarmUp time.Duration

	// decayedSum is the decayed sum of tokens.
	decayedSum float64
	started    time.Time
	updated    time.Time
}

// Observe adds tokens that were spent at now.
func (d *Demand) Observe(now time.Time, tokens int64) {
	if d.started.IsZero() {
		d.started = now
		d.updated = now
	}
	d.decayedSum = d.decayedSumAt(now) + float64(tokens)
	d.updated = now
}

// PerHour returns the estimate in tokens an hour.
func (d *Demand) PerHour(now time.Time) int64 {
	if d.started.IsZero() {
		return 0
	}
	timeConstant := d.timeConstant()
	age := max(d.warmUp(), now.Sub(d.started))
	observed := timeConstant.Hours() * (1 - math.Exp(-age.Hours()/timeConstant.Hours()))
	return int64(d.decayedSumAt(now) / observed)
}

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
