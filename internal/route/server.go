// Package route picks a backend server for a request from load reports,
// failures and prompt prefixes. It does no I/O and reads no clock: the current
// time is an argument. Its types are not safe for concurrent use.
package route

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 15 * time.Second
	// maxRunningSamples bounds the recorded changes of a server's own request
	// count.
	maxRunningSamples = 256
	// defaultLimit bounds the requests in progress at a server with neither a
	// configured nor a reported limit.
	defaultLimit = 64
)

// Report is the load that a backend server had at time At.
type Report struct {
	At      time.Time
	Running int
	Waiting int
	// MaxBatch is the number of requests that the server runs at once; 0 means
	// unknown.
	MaxBatch int
	Draining bool
}

// Server is an entry's state for one backend server; create it with
// NewServer. The fields that every decision reads come first.
type Server struct {
	// domain is the hash of the failure domain.
	domain uint64
	// Leaving excludes the server from new requests.
	Leaving bool
	// Evacuated excludes the server from new requests, because its failure domain is
	// evacuated.
	Evacuated bool
	draining  bool
	running   int
	// otherLoad is the reported load minus the entry's own requests in it.
	otherLoad int
	// staleAt, when the report expires, and ejectedUntil are times in Unix
	// nanoseconds; 0 means never set.
	staleAt      int64
	ejectedUntil int64
	maxBatch     int
	// Concurrency is the configured limit on requests in progress; 0 means
	// none.
	Concurrency int
	adaptive    adaptiveLimit
	hash        uint64
	Name        string
	Address     string

	// failures counts the failures in a row, and ejections the ejections since
	// the server last recovered.
	failures       int
	ejections      int
	report         Report
	runningSamples []runningSample

	// prefillUntil is when the engine is expected to have processed all prompts sent to
	// it, in Unix nanoseconds.
	prefillUntil int64
	// cached and cachedSegments are the leading tokens and segments of the prompt in
	// question that the engine holds. Prefixes.mark sets them for the time of a pick.
	cached         int64
	cachedSegments int
	// refusedAt is when the server last refused a request, in Unix nanoseconds.
	refusedAt int64
}

// runningSample is the number of the entry's own requests in progress from a time
// on.
type runningSample struct {
	at      time.Time
	running int
}

// NewServer returns a server without a load report or any recorded outcome.
func NewServer(name, failureDomain string) *Server {
	return &Server{Name: name, hash: Hash(name), domain: Hash(failureDomain)}
}

// Running returns the number of the entry's own requests in progress.
func (s *Server) Running() int {
	return s.running
}

// Dispatch counts a request that is about to be sent. Call Finish when it ends.
func (s *Server) Dispatch(now time.Time) {
	s.running++
	s.recordRunning(now)
}

// prefillTime returns how long the engine is expected to process the prompt. Before the
// call, Prefixes.mark has set what it holds of it.
func (s *Server) prefillTime(prompt *place.Prompt) time.Duration {
	return engineSpeed.Prefill(s.cached, prompt.Tokens-s.cached)
}

// backlog returns the estimated time until the engine has processed the prompts sent to
// it.
func (s *Server) backlog(now int64) time.Duration {
	return time.Duration(max(0, s.prefillUntil-now))
}

// Finish counts the end of a request.
func (s *Server) Finish(now time.Time) {
	s.running--
	s.recordRunning(now)
}

// recordRunning records the current request count, replacing the oldest sample
// when there are too many.
func (s *Server) recordRunning(now time.Time) {
	if len(s.runningSamples) == maxRunningSamples {
		copy(s.runningSamples, s.runningSamples[1:])
		s.runningSamples = s.runningSamples[:maxRunningSamples-1]
	}
	s.runningSamples = append(s.runningSamples, runningSample{at: now, running: s.running})
}

// SetReport replaces the load report. It ignores a report that is older than
// the current one.
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

// Load returns the estimated number of requests at the server: the reported
// load, corrected by the entry's own requests that started or ended since the
// report.
func (s *Server) Load(now time.Time) int {
	return s.load(now.UnixNano())
}

func (s *Server) load(now int64) int {
	if now >= s.staleAt {
		return s.running
	}
	return max(s.running, s.running+s.otherLoad)
}

// runningAt returns the number of the entry's own requests in progress at a past
// time.
func (s *Server) runningAt(at time.Time) int {
	running := 0
	if len(s.runningSamples) == maxRunningSamples {
		running = s.runningSamples[0].running
	}
	for _, sample := range s.runningSamples {
		if sample.at.After(at) {
			break
		}
		running = sample.running
	}
	return running
}

// Limit returns the limit on Load: the smallest of the configured, the reported
// and the adaptive limit, reduced for a time after an ejection.
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

// baseLimit returns the smaller of the configured and the reported limit, or
// defaultLimit if there is neither.
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

// Usable reports whether new requests may go to the server.
func (s *Server) Usable(now time.Time) bool {
	return !s.isExcluded() && !s.IsEjected(now)
}

// isExcluded reports whether the server gets no new requests: it is leaving, by the
// configuration or by its own report, or evacuated.
func (s *Server) isExcluded() bool {
	return s.Leaving || s.draining || s.Evacuated
}

// IsEjected reports whether the server is ejected because of its failures.
func (s *Server) IsEjected(now time.Time) bool {
	return now.UnixNano() < s.ejectedUntil
}
