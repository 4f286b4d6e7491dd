package route

import "time"

const (
	// targetTokenGap is the time between tokens above which a server gets less.
	targetTokenGap = 42 * time.Millisecond
	// targetFirstToken is the time from a dispatch to the first token above which a
	// server gets less.
	targetFirstToken = 2 * time.Second
	// decreaseInterval lets a cut take effect before the next.
	decreaseInterval = time.Second
	decreaseFactor   = 0.85
	minLimit         = 2
)

// adaptiveLimit follows what a server bears: it grows by one for each limit's
// worth of good answers and is cut after a slow or refused one. Its zero value
// allows everything.
type adaptiveLimit struct {
	allowed      float64
	lastDecrease time.Time
}

func (a *adaptiveLimit) value(limit int) float64 {
	if a.allowed == 0 {
		return float64(limit)
	}
	return min(a.allowed, float64(limit))
}

// LatencyObserved records the time from a dispatch to the first token and the mean
// time between the tokens of an answer.
func (s *Server) LatencyObserved(first, gap time.Duration, now time.Time) {
	if gap > targetTokenGap || first > targetFirstToken {
		s.Overloaded(now)
		return
	}
	if s.adaptive.allowed > 0 {
		s.adaptive.allowed += 1 / s.adaptive.allowed
	}
}

// Overloaded records that the server refused a request or was too slow.
func (s *Server) Overloaded(now time.Time) {
	if now.Sub(s.adaptive.lastDecrease) < decreaseInterval {
		return
	}
	s.adaptive.lastDecrease = now
	current := s.adaptive.value(s.Limit(now))
	s.adaptive.allowed = max(minLimit, current*decreaseFactor)
}
