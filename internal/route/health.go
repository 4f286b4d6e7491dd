package route

import "time"

const (
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	// rampTime is how long a server that comes back is held below its limit.
	rampTime  = 10 * time.Second
	rampStart = 0.1
)

// health ejects a server after failures in a row and takes it back in slowly;
// its zero value is healthy.
type health struct {
	failures  int
	ejections int
	until     time.Time
}

func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.until)
}

// ramp returns the part of the limit that is open after an ejection.
func (h *health) ramp(now time.Time) float64 {
	if h.until.IsZero() {
		return 1
	}
	since := now.Sub(h.until)
	if since >= rampTime {
		return 1
	}
	return max(rampStart, float64(since)/float64(rampTime))
}

// Succeeded records an answer.
func (s *Server) Succeeded(now time.Time) {
	s.health.failures = 0
	if !s.health.isEjected(now) && s.health.ramp(now) == 1 {
		s.health.ejections = 0
	}
}

// Failed records a failure that is the server's own. One that comes back is
// ejected again at its first failure, for twice the time.
func (s *Server) Failed(now time.Time) {
	h := &s.health
	if h.isEjected(now) {
		return
	}
	h.failures++
	if h.failures < failuresToEject && h.ramp(now) == 1 {
		return
	}
	h.failures = 0
	h.until = now.Add(min(maxEjection, firstEjection<<min(h.ejections, 8)))
	h.ejections++
}
