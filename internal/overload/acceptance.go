package overload

import "time"

// AcceptInterval is the time between two decisions of an AcceptLimiter. It is short because
// each request that is received before a decision uses the full link.
const AcceptInterval = 10 * time.Millisecond

const (
	// acceptUtilizationTime is the time constant of the utilization that decides: callers
	// that were refused come back at once, so that a longer one would overshoot.
	acceptUtilizationTime = 100 * time.Millisecond
	// pauseUtilization is the utilization of the incoming link from which an entry accepts no
	// connections, and resumeUtilization the one below which it does again.
	pauseUtilization  = 0.92
	resumeUtilization = 0.85
	// maxPause is the longest time without accepting. An entry that is ready and accepts
	// nothing for 4 s counts as failed.
	maxPause = time.Second
	// minAcceptTime is how long connections are accepted at least after a pause of maxPause.
	minAcceptTime = 100 * time.Millisecond
)

// AcceptLimiter decides when an entry accepts no connections, because requests fill its
// incoming link. A refused connection uses the link for a few small packets only, a refused
// request for its whole header and body.
type AcceptLimiter struct {
	link        LinkMeter
	paused      bool
	pausedAt    time.Time
	acceptUntil time.Time
}

// NewAcceptLimiter returns a limiter for a link with the given bandwidth in one direction.
func NewAcceptLimiter(bytesPerSecond float64) *AcceptLimiter {
	return &AcceptLimiter{link: LinkMeter{BytesPerSecond: bytesPerSecond, TimeConstant: acceptUtilizationTime}}
}

// Step decides and returns whether the entry refuses connections. total is the traffic since the
// start, and peersHaveRoom tells whether peers can take the refused connections. It is called
// every AcceptInterval.
func (l *AcceptLimiter) Step(now time.Time, total Traffic, peersHaveRoom bool) bool {
	utilization := l.link.Update(now, total).Received
	switch {
	case l.paused && now.Sub(l.pausedAt) >= maxPause:
		l.paused, l.acceptUntil = false, now.Add(minAcceptTime)
	case l.paused:
		l.paused = peersHaveRoom && utilization >= resumeUtilization
	case peersHaveRoom && utilization >= pauseUtilization && !now.Before(l.acceptUntil):
		l.paused, l.pausedAt = true, now
	}
	return l.paused
}

// Utilization returns the share of the incoming link's bandwidth in use at the last step.
func (l *AcceptLimiter) Utilization() float64 {
	return l.link.average.Received
}
