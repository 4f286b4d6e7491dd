package budget

import (
	"math"
	"time"
)

const (
	// defaultMemory is the time after which a spend weighs 1/e.
	defaultMemory = time.Hour
	// warmUpDivisor gives the part of the memory that bounds the first estimate,
	// which has little to go by.
	warmUpDivisor = 60
)

// Demand is an exponentially weighted rate of spending; its zero value works.
type Demand struct {
	// Memory is the time after which a spend weighs 1/e; 0 means an hour.
	Memory time.Duration
	// WarmUp is the least time that a first estimate rests on; 0 means a
	// sixtieth of the memory.
	WarmUp time.Duration

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
	memory := d.memory()
	age := max(d.warmUp(), now.Sub(d.started))
	observed := memory.Hours() * (1 - math.Exp(-age.Hours()/memory.Hours()))
	return int64(d.decayed(now) / observed)
}

func (d *Demand) decayed(now time.Time) float64 {
	age := max(0, now.Sub(d.updated))
	return d.weight * math.Exp(-age.Hours()/d.memory().Hours())
}

func (d *Demand) warmUp() time.Duration {
	if d.WarmUp == 0 {
		return d.memory() / warmUpDivisor
	}
	return d.WarmUp
}

func (d *Demand) memory() time.Duration {
	if d.Memory == 0 {
		return defaultMemory
	}
	return d.Memory
}
