package route

import "time"

const (
	// targetGap is the time between tokens above which a server gets less.
	targetGap = 42 * time.Millisecond
	// targetFirst is the time from a dispatch to the first token above which a
	// server gets less.
	targetFirst = 2 * time.Second
	// cutPause lets a cut take effect before the next.
	cutPause  = time.Second
	cutFactor = 0.85
	minLimit  = 2
)

// adaptiveLimit follows what a server bears: it grows by one for each limit's
// worth of good answers and is cut after a slow or refused one. Its zero value
// allows everything.
type adaptiveLimit struct {
	allowed float64
	cutAt   time.Time
}

func (a *adaptiveLimit) value(limit int) float64 {
	if a.allowed == 0 {
		return float64(limit)
	}
	return min(a.allowed, float64(limit))
}

// Observed records the time from a dispatch to the first token and the mean
// time between the tokens of an answer.
func (s *Server) Observed(first, gap time.Duration, now time.Time) {
	if gap > targetGap || first > targetFirst {
		s.Overloaded(now)
		return
	}
	if s.adapt.allowed > 0 {
		s.adapt.allowed += 1 / s.adapt.allowed
	}
}

// Overloaded records that the server refused a request or was too slow.
func (s *Server) Overloaded(now time.Time) {
	if now.Sub(s.adapt.cutAt) < cutPause {
		return
	}
	s.adapt.cutAt = now
	current := s.adapt.value(s.Limit(now))
	s.adapt.allowed = max(minLimit, current*cutFactor)
}
