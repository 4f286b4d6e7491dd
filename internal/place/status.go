package place

import (
	"math"
	"time"
)

// AdaptiveCounts sums up the upstreams whose servers are chosen by estimates of their load
// and speed.
type AdaptiveCounts struct {
	// Upstreams counts them.
	Upstreams int
	// ReportAge is the mean age of the last load reports of their servers; negative if
	// there is none.
	ReportAge time.Duration
	// SpeedSpread is how many times as fast as the slowest engine the fastest one of the
	// same upstream is, by what was learned: the largest of the upstreams. It is 0 before
	// the speed of two engines of an upstream is known.
	SpeedSpread float64
}

// adaptiveCounts returns the state of these upstreams, and reports those that have begun or
// ceased to be among them; mu is held.
func (f *Fleet) adaptiveCounts(now time.Time) AdaptiveCounts {
	var counts AdaptiveCounts
	var age time.Duration
	reports := 0
	for name, u := range f.upstreams {
		adaptive := len(u.servers) > 0 && f.isAdaptive(u, now)
		if adaptive != u.adaptive {
			u.adaptive = adaptive
			if f.AdaptiveChanged != nil {
				f.AdaptiveChanged(name, adaptive, len(u.servers))
			}
		}
		if !adaptive {
			continue
		}
		counts.Upstreams++
		counts.SpeedSpread = max(counts.SpeedSpread, u.speedSpread())
		for _, s := range u.servers {
			if !s.report.at.IsZero() {
				age += now.Sub(s.report.at)
				reports++
			}
		}
	}
	counts.ReportAge = -1
	if reports > 0 {
		counts.ReportAge = age / time.Duration(reports)
	}
	return counts
}

// speedSpread returns how many times as fast as the slowest engine the fastest one is; 0 if
// the speed of fewer than two is known.
func (u *upstreamState) speedSpread() float64 {
	known := 0
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, s := range u.servers {
		if s.pace.samples > 0 {
			known++
			lowest = min(lowest, s.pace.log)
			highest = max(highest, s.pace.log)
		}
	}
	if known < 2 {
		return 0
	}
	return math.Exp(highest - lowest)
}
