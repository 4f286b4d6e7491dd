package overload

import (
	"slices"
	"time"
)

const (
	// windowDuration is how long a sample counts: 8 echoes at one each ProbeInterval.
	windowDuration = 400 * time.Millisecond
	// echoQuantile is the median, so that a few slow peers do not look like a queue.
	echoQuantile = 0.5
	// writeQuantile ignores the writes to slow callers, unless three quarters of all block.
	writeQuantile = 0.25
	// maxWindowSamples bounds the samples of a window; the oldest are dropped.
	maxWindowSamples = 64
	// minWindowSamples is the number of samples below which nothing is known.
	minWindowSamples = 3
)

// window holds the samples of the last windowDuration. Its zero value is ready to use.
type window struct {
	samples []windowSample
	sorted  []time.Duration
	// arrivedAt is when something last arrived, in place of being lost.
	arrivedAt time.Time
}

type windowSample struct {
	at    time.Time
	delay time.Duration
}

// add adds a sample.
func (w *window) add(now time.Time, delay time.Duration) {
	if len(w.samples) >= maxWindowSamples {
		w.samples = slices.Delete(w.samples, 0, 1)
	}
	w.samples = append(w.samples, windowSample{at: now, delay: delay})
}

// quantile returns a quantile of the samples, and false if there are too few or nothing has
// arrived.
func (w *window) quantile(now time.Time, q float64) (time.Duration, bool) {
	w.samples = slices.DeleteFunc(w.samples, func(s windowSample) bool { return now.Sub(s.at) > windowDuration })
	if len(w.samples) < minWindowSamples || now.Sub(w.arrivedAt) > windowDuration {
		return 0, false
	}
	w.sorted = w.sorted[:0]
	for _, s := range w.samples {
		w.sorted = append(w.sorted, s.delay)
	}
	slices.Sort(w.sorted)
	return w.sorted[int(q*float64(len(w.sorted)-1))], true
}
