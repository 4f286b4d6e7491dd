package place

import (
	"math"
	"time"
)

const (
	// slowdownLifetime is the time constant with which a stated slowdown loses its weight.
	// Slowdowns change several times a second.
	slowdownLifetime = 150 * time.Millisecond
	// The time constants of the other figures of a report are learned within these bounds,
	// and start at the defaults.
	minReportLifetime = 20 * time.Millisecond
	maxReportLifetime = 10 * time.Second
	defaultHoldTime   = 2 * time.Second
	defaultFirstEvent = 200 * time.Millisecond
	// meanTimeWeight is the weight of a new value in a moving average.
	meanTimeWeight = 0.05
	// maxSlowdown and minSlowdown bound what a server may state.
	maxSlowdown = 16
	minSlowdown = 1.0 / maxSlowdown
	// typicalLoadInterval is the age at which the mean load of an upstream is computed
	// again.
	typicalLoadInterval = 10 * time.Millisecond
	// priorWeight is the weight, in fresh reports, of a server without load and slowdown
	// in the mean load of an upstream. It counts where there is hardly any fresh report.
	priorWeight = 0.1
)

// meanTime is a moving average of times.
type meanTime time.Duration

// record adds a time.
func (m *meanTime) record(d time.Duration) {
	d = min(max(d, minReportLifetime), maxReportLifetime)
	if *m == 0 {
		*m = meanTime(d)
		return
	}
	*m += meanTime(meanTimeWeight * float64(d-time.Duration(*m)))
}

// or returns the mean, or initial before the first time.
func (m *meanTime) or(initial time.Duration) time.Duration {
	if *m == 0 {
		return initial
	}
	return time.Duration(*m)
}

// loadReport is the last load that a server has reported.
type loadReport struct {
	at time.Time
	// running and waiting count the requests of other entries; slowdown is 1 if the server
	// stated none.
	running  float64
	waiting  float64
	slowdown float64
	// announced counts the prompts that other entries have announced since.
	announced int
	// load is the load as the server stated it.
	load Load
}

// newLoadReport returns the report of a server that has own requests of this entry.
func newLoadReport(load Load, own int, now time.Time) loadReport {
	// This entry's requests are subtracted from the running ones first: a request waits only
	// for a short part of its time.
	running := max(0, load.Running-own)
	waiting := max(0, load.Waiting-max(0, own-load.Running))
	slowdown := 1.0
	if load.Slowdown > 0 {
		slowdown = min(maxSlowdown, max(minSlowdown, load.Slowdown))
	}
	return loadReport{at: now, running: float64(running), waiting: float64(waiting), slowdown: slowdown, load: load}
}

// recordReport records the load that a server stated at the given time.
func (u *upstreamState) recordReport(s *server, load Load, at time.Time) {
	s.report = newLoadReport(load, s.inFlight, at)
	if load.Slowdown > 0 {
		u.slowdownStatedAt = later(u.slowdownStatedAt, at)
	}
}

// reportWeights are the weights of the figures of a report, from 0 to 1.
type reportWeights struct {
	running  float64
	waiting  float64
	slowdown float64
}

// weights returns the weights of a report. A request that a report counts as running has
// ended after the mean time for which servers hold requests, and one that waits has begun
// after the mean time to the first event. By Little's law, these are the numbers of requests
// at a server divided by the rate at which it gets them.
func (u *upstreamState) weights(r *loadReport, now time.Time) reportWeights {
	if r.at.IsZero() {
		return reportWeights{}
	}
	age := max(0, now.Sub(r.at))
	return reportWeights{
		running:  math.Exp(-age.Seconds() / u.holdTime.or(defaultHoldTime).Seconds()),
		waiting:  math.Exp(-age.Seconds() / u.firstEventTime.or(defaultFirstEvent).Seconds()),
		slowdown: math.Exp(-age.Seconds() / slowdownLifetime.Seconds()),
	}
}

// typicalLoad is the mean load of an upstream's servers by their weighted reports.
type typicalLoad struct {
	at       time.Time
	running  float64
	waiting  float64
	slowdown float64
}

// updateTypical computes the mean load again if it is older than typicalLoadInterval.
func (u *upstreamState) updateTypical(now time.Time) {
	if !u.typical.at.IsZero() && now.Sub(u.typical.at) < typicalLoadInterval {
		return
	}
	sum := typicalLoad{slowdown: priorWeight}
	weight := reportWeights{running: priorWeight, waiting: priorWeight, slowdown: priorWeight}
	for _, s := range u.servers {
		if s.report.at.IsZero() {
			continue
		}
		w := u.weights(&s.report, now)
		sum.running += float64(w.running * s.report.running)
		sum.waiting += float64(w.waiting * s.report.waiting)
		sum.slowdown += float64(w.slowdown * s.report.slowdown)
		weight.running += w.running
		weight.waiting += w.waiting
		weight.slowdown += w.slowdown
	}
	u.typical = typicalLoad{
		at:       now,
		running:  sum.running / weight.running,
		waiting:  sum.waiting / weight.waiting,
		slowdown: sum.slowdown / weight.slowdown,
	}
}

// estimate is the estimated load of a server.
type estimate struct {
	// requests counts the requests at the server, running and waiting.
	requests float64
	// slowdown is how much longer than usual work takes at the upstream's servers in the
	// mean, and excess how much longer than that it takes at this one for a moment.
	slowdown float64
	excess   float64
}

// duration returns how long the server takes for work that takes the given time at usual speed
// and begins now. Its excess falls with slowdownLifetime.
func (e estimate) duration(work time.Duration) time.Duration {
	work = time.Duration(e.slowdown * float64(work))
	if work == 0 || e.excess == 0 {
		return work
	}
	passed := 1 - math.Exp(-work.Seconds()/slowdownLifetime.Seconds())
	return work + time.Duration(e.excess*passed*float64(slowdownLifetime))
}

// estimate returns the estimated load of a server: what its last report, and announcements
// since, still say of other entries' requests, for the rest the mean of all servers, and this
// entry's own requests.
func (u *upstreamState) estimate(s *server, now time.Time) estimate {
	u.updateTypical(now)
	w := u.weights(&s.report, now)
	others := float64(w.running*(s.report.running+float64(s.report.announced))) + float64((1-w.running)*u.typical.running) +
		float64(w.waiting*s.report.waiting) + float64((1-w.waiting)*u.typical.waiting)
	return estimate{
		requests: others + float64(s.inFlight),
		slowdown: u.typical.slowdown,
		excess:   w.slowdown * (s.report.slowdown/u.typical.slowdown - 1),
	}
}

// slotWait returns the expected wait for a slot of a server with the given number of
// requests.
func (u *upstreamState) slotWait(requests float64, slots int) time.Duration {
	excess := requests + 1 - float64(slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / float64(slots) * float64(u.holdTime.or(defaultHoldTime)))
}
