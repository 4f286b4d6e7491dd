package place

import (
	"time"
)

const (
	// loadReportTTL is the age up to which a load report counts in the occupancy.
	loadReportTTL = 1500 * time.Millisecond
	// failureRateWeight is the weight of the newest outcome in the moving
	// average of the failure rate.
	failureRateWeight = 0.12
	// minEjection and maxEjection bound the ejection time, which doubles with
	// each ejection in a row.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectAfter is how many consecutive failures eject a server. A failed
	// connection ejects it at once.
	ejectAfter = 2
)

// server is the state that the fleet keeps for one backend server.
type server struct {
	id string
	// hash is the hashed id.
	hash          uint64
	upstream      string
	address       string
	failureDomain string
	// region is that of the failure domain; empty if it is unknown.
	region string
	// version is the version of the server's software.
	version string
	slots   int
	leaving bool
	// replaced is set once another server has answered at the address.
	replaced bool

	// inFlight counts this entry's requests at the server.
	inFlight int
	// outstandingBytes is the size of their bodies.
	outstandingBytes int64
	// prefillUntil is when the engine is expected to have processed all prompts
	// sent to it.
	prefillUntil time.Time
	// prefixes are the prefix segments sent to the engine.
	prefixes prefixCache

	// answered is set once the server has answered this entry.
	answered bool

	// heldOffUntil is the time until which the server wants no requests.
	heldOffUntil time.Time

	limit rateLimit
	cold  coldness

	// ownSlots is how many requests this entry may have at the server while it is brittle,
	// as of ownSlotsAt.
	ownSlots   int
	ownSlotsAt time.Time

	// report is the last load report, and pace how much slower the engine is than the mean of
	// its upstream.
	report loadReport
	pace   pace

	failureRate         float64
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// halfOpen allows one request at a time after an ejection, until one
	// is served or declined.
	halfOpen bool
}

// prefillTime returns how long the engine is expected to process the prompt if it keeps all
// prefixes.
func (s *server) prefillTime(prompt *Prompt) time.Duration {
	used := s.prefixes.usedTokens(prompt)
	return engineSpeed.Prefill(used, prompt.Tokens-used)
}

// occupancy returns the number of requests running or queued at the server: the
// larger of this entry's own count and a recent load report.
func (s *server) occupancy(now time.Time) int {
	if now.Sub(s.report.at) > loadReportTTL {
		return s.inFlight
	}
	return max(s.inFlight, s.report.load.Running+s.report.load.Waiting)
}

// isEjected reports whether the server must get no request because of failures.
// A half-open server gets one at a time.
func (s *server) isEjected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.halfOpen && s.inFlight > 0
}

// recordOutcome updates the failure rate and ejects the server if needed.
func (s *server) recordOutcome(outcome Outcome, now time.Time) {
	switch outcome.(type) {
	case Served, Declined:
		s.failureRate -= float64(failureRateWeight * s.failureRate)
		s.consecutiveFailures = 0
		s.ejections = 0
		s.halfOpen = false
	case Failed:
		s.failureRate += float64(failureRateWeight * (1 - s.failureRate))
		s.consecutiveFailures++
		if s.consecutiveFailures >= ejectAfter || s.halfOpen {
			s.eject(now)
		}
	case Unreachable:
		s.failureRate += float64(failureRateWeight * (1 - s.failureRate))
		s.eject(now)
	case Abandoned, Unused:
	}
}

// eject stops requests to the server for a time that doubles with each ejection
// in a row, unless it is ejected already.
func (s *server) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	duration := min(maxEjection, minEjection<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.halfOpen = true
}

// readmit ends the ejection of the server and forgets its failures.
func (s *server) readmit() {
	s.failureRate = 0
	s.consecutiveFailures = 0
	s.ejections = 0
	s.ejectedUntil = time.Time{}
	s.halfOpen = false
}
