package budget

import (
	"math"
	"time"
)

const (
	// demandMemory is the time after which a spend weighs 1/e.
	demandMemory = time.Hour
	// warmUp bounds the first estimate, which has little to go by.
	warmUp = time.Minute
)

// Demand is an exponentially weighted rate of spending; its zero value works.
type Demand struct {
	// weight is the decayed sum of tokens.
	weight  float64
	started time.Time
	updated time.Time
}

// Observe adds tokens that were spent at now.
func (d *Demand) Observe(now time.Time, tokens int64) {
	if d.started.IsZero() {
		d.started = now
		d.updated = now
	}
	d.weight = d.decayed(now) + float64(tokens)
	d.updated = now
}

// PerHour returns the estimate in tokens an hour.
func (d *Demand) PerHour(now time.Time) int64 {
	if d.started.IsZero() {
		return 0
	}
	age := max(warmUp, now.Sub(d.started))
	observed := demandMemory.Hours() * (1 - math.Exp(-age.Hours()/demandMemory.Hours()))
	return int64(d.decayed(now) / observed)
}

func (d *Demand) decayed(now time.Time) float64 {
	age := max(0, now.Sub(d.updated))
	return d.weight * math.Exp(-age.Hours()/demandMemory.Hours())
}
