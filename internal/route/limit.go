package route

import "time"

const (
	// targetTokenGap is the mean time between tokens above which the limit of a
	// server is reduced.
	targetTokenGap = 42 * time.Millisecond
	// targetFirstToken is the time from dispatch to first token above which the
	// limit of a server is reduced.
	targetFirstToken = 2 * time.Second
	// decreaseInterval is the least time between two reductions, so that one
	// can take effect before the next.
	decreaseInterval = time.Second
	decreaseFactor   = 0.85
	minLimit         = 2
)

// adaptiveLimit is an additive-increase, multiplicative-decrease limit on the
// requests at a server. It grows by one for each limit's worth of fast
// responses and is multiplied by decreaseFactor after a slow response or a
// refusal. Its zero value imposes no limit.
type adaptiveLimit struct {
	allowed      float64
	lastDecrease time.Time
}

// value returns the smaller of the adaptive limit and limit.
func (a *adaptiveLimit) value(limit int) float64 {
	if a.allowed == 0 {
		return float64(limit)
	}
	return min(a.allowed, float64(limit))
}

// LatencyObserved records the time from dispatch to first token and the mean
// time between tokens of a response.
func (s *Server) LatencyObserved(first, gap time.Duration, now time.Time) {
	if gap > targetTokenGap || first > targetFirstToken {
		s.reduceLimit(now)
		return
	}
	if s.adaptive.allowed > 0 {
		s.adaptive.allowed += 1 / s.adaptive.allowed
	}
}

// Refused records that the server refused a request. It reduces the server's limit and
// counts against the server for refusalMemory.
func (s *Server) Refused(now time.Time) {
	s.refusedAt = now.UnixNano()
	s.reduceLimit(now)
}

// refusal returns 1 right after a refusal and 0 after refusalMemory.
func (s *Server) refusal(now int64) float64 {
	if s.refusedAt == 0 {
		return 0
	}
	return max(0, 1-float64(now-s.refusedAt)/float64(refusalMemory))
}

// reduceLimit reduces the limit because the server refused a request or responded too
// slowly.
func (s *Server) reduceLimit(now time.Time) {
	if now.Sub(s.adaptive.lastDecrease) < decreaseInterval {
		return
	}
	s.adaptive.lastDecrease = now
	current := s.adaptive.value(s.Limit(now))
	s.adaptive.allowed = max(minLimit, current*decreaseFactor)
}
