package route

import "time"

const (
	// failuresToEject is the number of consecutive failures that eject a
	// server.
	failuresToEject = 3
	// firstEjection is the duration of the first ejection. Each further
	// ejection lasts twice as long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// rampTime is how long after an ejection the limit of a server grows from
	// rampStart to its full value.
	rampTime = 10 * time.Second
	// rampStart is the fraction of the limit that is available right after an
	// ejection.
	rampStart = 0.1
)

// ramp returns the fraction of the limit that is available at now, in Unix
// nanoseconds: less than 1 for rampTime after an ejection.
func (s *Server) ramp(now int64) float64 {
	since := now - s.ejectedUntil
	if s.ejectedUntil == 0 || since >= int64(rampTime) {
		return 1
	}
	return max(rampStart, float64(since)/float64(rampTime))
}

// Succeeded records a complete response. It ends a run of failures and, once the
// limit is back at its full value, forgets earlier ejections.
func (s *Server) Succeeded(now time.Time) {
	s.failures = 0
	if s.ramp(now.UnixNano()) == 1 {
		s.ejections = 0
		s.ejectedUntil = 0
	}
}

// Failed records a failure caused by the server. The first failure while the
// limit is reduced after an ejection ejects the server again, for twice as
// long.
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
