// Package route picks a backend server for a request. It does no I/O and reads
// no clock: the present time is an argument.
package route

import (
	"time"
)

const (
	// maxReportAge is the age at which a load report is no longer used.
	maxReportAge = 15 * time.Second
	// maxChanges bounds the own dispatches that a server remembers.
	maxChanges = 256
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
	// others is the reported load without the own requests that it counts.
	others int
	// staleAt and ejectedUntil are times in nanoseconds; 0 is never.
	staleAt      int64
	ejectedUntil int64
	maxBatch     int
	// Concurrency is the configured bound; 0 means none.
	Concurrency int
	adapt       adaptiveLimit
	hash        uint64
	Name        string
	Address     string

	failures  int
	ejections int
	report    Report
	changes   []change
}

// change is the number of own requests in progress from a time on.
type change struct {
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
	s.remember(now)
}

// Finish counts the end of a request.
func (s *Server) Finish(now time.Time) {
	s.running--
	s.remember(now)
}

func (s *Server) remember(now time.Time) {
	if len(s.changes) == maxChanges {
		copy(s.changes, s.changes[1:])
		s.changes = s.changes[:maxChanges-1]
	}
	s.changes = append(s.changes, change{at: now, running: s.running})
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
	for keep+1 < len(s.changes) && !s.changes[keep+1].at.After(r.At) {
		keep++
	}
	s.changes = append(s.changes[:0], s.changes[keep:]...)
	s.others = r.Running + r.Waiting - s.runningAt(r.At)
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
	return max(s.running, s.running+s.others)
}

// runningAt returns the own requests in progress at a time in the past.
func (s *Server) runningAt(at time.Time) int {
	running := 0
	if len(s.changes) == maxChanges {
		running = s.changes[0].running
	}
	for _, c := range s.changes {
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
	limit := s.bound()
	if s.adapt.allowed == 0 && s.ejectedUntil == 0 {
		return limit
	}
	return max(1, int(s.adapt.value(limit)*s.ramp(now)))
}

// bound returns the smaller of the configured and the reported limit.
func (s *Server) bound() int {
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
	return !s.leaves() && !s.Ejected(now)
}

func (s *Server) leaves() bool {
	return s.Leaving || s.draining
}

// Ejected tells whether the server is out because of its failures.
func (s *Server) Ejected(now time.Time) bool {
	return now.UnixNano() < s.ejectedUntil
}
