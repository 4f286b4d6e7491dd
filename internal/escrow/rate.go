package escrow

import (
	"math"
	"time"
)

// rate is an exponentially weighted sum of tokens over demandMemory; its zero
// value works.
type rate struct {
	weight  float64
	started time.Time
	updated time.Time
}

func (r *rate) add(now time.Time, tokens int64) {
	if r.started.IsZero() {
		r.started = now
	}
	r.weight = r.decayed(now) + float64(tokens)
	r.updated = now
}

func (r *rate) decayed(now time.Time) float64 {
	age := max(0, now.Sub(r.updated).Seconds())
	return r.weight * math.Exp(-age/demandMemory.Seconds())
}

// perHour returns the estimate in tokens an hour. A rate that has just begun
// counts as if it had lasted for a second.
func (r *rate) perHour(now time.Time) int64 {
	if r.started.IsZero() {
		return 0
	}
	age := max(1, now.Sub(r.started).Seconds())
	observed := demandMemory.Seconds() * (1 - math.Exp(-age/demandMemory.Seconds()))
	return int64(r.decayed(now) / observed * time.Hour.Seconds())
}
