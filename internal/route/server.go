// Package route picks a backend server for a request. It does no I/O and reads
// no clock: the present time is an argument.
package route

import (
	"time"
)

const (
	// maxReportAge is the age at which a load report is no longer used.
	maxReportAge = 15 * time.Second
	// maxRunningSamples bounds the own dispatches that a server remembers.
	maxRunningSamples = 256
	// defaultLimit bounds the requests in progress at a server that tells no
	// bound.
	defaultLimit = 64
)

// Report is a backend server's load at a time in the past.
type Report struct {
	At      time.Time
	Running int
	Waiting int
	// MaxBatch is the number of requests that it runs at once; 0 is unknown.
	MaxBatch int
	Draining bool
}

// Server is what an instance knows of one backend server; make it with
// NewServer. The fields that every decision reads come first.
type Server struct {
	// domain is the hash of the failure domain.
	domain uint64
	// Leaving takes the server out.
	Leaving  bool
	draining bool
	running  int
	// otherLoad is the reported load without the own requests that it counts.
	otherLoad int
	// staleAt and ejectedUntil are times in nanoseconds; 0 is never.
	staleAt      int64
	ejectedUntil int64
	maxBatch     int
	// Concurrency is the configured bound; 0 means none.
	Concurrency int
	adaptive    adaptiveLimit
	hash        uint64
	Name        string
	Address     string

	failures       int
	ejections      int
	report         Report
	runningSamples []runningSample
}

// runningSample is the number of own requests in progress from a time on.
type runningSample struct {
	at      time.Time
	running int
}

// NewServer returns a server of which nothing is known but its name and its
// failure domain.
func NewServer(name, failureDomain string) *Server {
	return &Server{Name: name, hash: Hash(name), domain: Hash(failureDomain)}
}

// Running returns the own requests in progress.
func (s *Server) Running() int {
	return s.running
}

// Dispatch counts a request that is about to be sent.
func (s *Server) Dispatch(now time.Time) {
	s.running++
	s.recordRunning(now)
}

// Finish counts the end of a request.
func (s *Server) Finish(now time.Time) {
	s.running--
	s.recordRunning(now)
}

func (s *Server) recordRunning(now time.Time) {
	if len(s.runningSamples) == maxRunningSamples {
		copy(s.runningSamples, s.runningSamples[1:])
		s.runningSamples = s.runningSamples[:maxRunningSamples-1]
	}
	s.runningSamples = append(s.runningSamples, runningSample{at: now, running: s.running})
}

// SetReport takes a load report in. An older one than the last is ignored.
func (s *Server) SetReport(r Report) {
	if r.At.Before(s.report.At) {
		return
	}
	s.report = r
	s.draining = r.Draining
	s.maxBatch = r.MaxBatch
	keep := 0
	for keep+1 < len(s.runningSamples) && !s.runningSamples[keep+1].at.After(r.At) {
		keep++
	}
	s.runningSamples = append(s.runningSamples[:0], s.runningSamples[keep:]...)
	s.otherLoad = r.Running + r.Waiting - s.runningAt(r.At)
	s.staleAt = r.At.Add(maxReportAge).UnixNano()
}

// Load returns the estimated requests at the server: what it reported, and the
// own dispatches and ends since that report.
func (s *Server) Load(now time.Time) int {
	return s.load(now.UnixNano())
}

func (s *Server) load(now int64) int {
	if now >= s.staleAt {
		return s.running
	}
	return max(s.running, s.running+s.otherLoad)
}

// runningAt returns the own requests in progress at a time in the past.
func (s *Server) runningAt(at time.Time) int {
	running := 0
	if len(s.runningSamples) == maxRunningSamples {
		running = s.runningSamples[0].running
	}
	for _, c := range s.runningSamples {
		if c.at.After(at) {
			break
		}
		running = c.running
	}
	return running
}

// Limit returns the bound on Load: the smaller of the configured, the reported
// and the adaptive one, less while the server is taken back in slowly.
func (s *Server) Limit(now time.Time) int {
	return s.limit(now.UnixNano())
}

func (s *Server) limit(now int64) int {
	limit := s.baseLimit()
	if s.adaptive.allowed == 0 && s.ejectedUntil == 0 {
		return limit
	}
	return max(1, int(s.adaptive.value(limit)*s.ramp(now)))
}

// baseLimit returns the smaller of the configured and the reported limit.
func (s *Server) baseLimit() int {
	switch {
	case s.maxBatch > 0 && s.Concurrency > 0:
		return min(s.maxBatch, s.Concurrency)
	case s.maxBatch > 0:
		return s.maxBatch
	case s.Concurrency > 0:
		return s.Concurrency
	default:
		return defaultLimit
	}
}

// Usable tells whether new work may go to the server.
func (s *Server) Usable(now time.Time) bool {
	return !s.isLeaving() && !s.IsEjected(now)
}

func (s *Server) isLeaving() bool {
	return s.Leaving || s.draining
}

// IsEjected tells whether the server is out because of its failures.
func (s *Server) IsEjected(now time.Time) bool {
	return now.UnixNano() < s.ejectedUntil
}
