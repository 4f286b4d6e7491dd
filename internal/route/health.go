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

// ramp returns the part of the limit that is open after an ejection.
func (s *Server) ramp(now int64) float64 {
	since := now - s.ejectedUntil
	if s.ejectedUntil == 0 || since >= int64(rampTime) {
		return 1
	}
	return max(rampStart, float64(since)/float64(rampTime))
}

// Succeeded records an answer.
func (s *Server) Succeeded(now time.Time) {
	s.failures = 0
	if s.ramp(now.UnixNano()) == 1 {
		s.ejections = 0
		s.ejectedUntil = 0
	}
}

// Failed records a failure that is the server's own. One that comes back is
// ejected again at its first failure, for twice the time.
func (s *Server) Failed(now time.Time) {
	if s.IsEjected(now) {
		return
	}
	s.failures++
	if s.failures < failuresToEject && s.ramp(now.UnixNano()) == 1 {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(s.ejections, 8))).UnixNano()
	s.ejections++
}
