package place

import (
	"time"
)

const (
	// loadReportTTL is how long a server's own report counts.
	loadReportTTL = 1500 * time.Millisecond
	// failureRateWeight is the weight of the newest outcome in the failure rate.
	failureRateWeight = 0.12
	// minEjection and maxEjection bound the time that a server is left out
	// after it failed several times in a row.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectAfter is how many failures in a row leave a server out.
	ejectAfter = 2
	// prefillTokensPerMs is how fast an engine reads a prompt, in tokens.
	prefillTokensPerMs = 140
	// attentionPairsPerMs is how many pairs of tokens an engine relates in a millisecond.
	attentionPairsPerMs = 3.4e6
)

// server is what the fleet knows of one backend server.
type server struct {
	id            string
	upstream      string
	address       string
	failureDomain string
	slots         int
	leaving       bool

	// inFlight counts this entry's requests.
	inFlight int
	// prefillUntil is when the prompts sent to the engine will have been read.
	prefillUntil time.Time
	// segments are the prompt parts that the engine was sent, with their last use.
	segments map[uint64]time.Time
	// lastSweep is when the unused parts were last removed.
	lastSweep time.Time

	load           Load
	loadReportedAt time.Time

	failureRate         float64
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// halfOpen marks a server that comes back from ejection with one request.
	halfOpen bool
}

// estimatePrefill returns how long an engine reads tokens that follow cached ones.
func estimatePrefill(cached, tokens int64) time.Duration {
	pairs := float64(tokens) * (float64(cached) + float64(tokens)/2)
	ms := float64(tokens)/prefillTokensPerMs + pairs/attentionPairsPerMs
	return time.Duration(ms * float64(time.Millisecond))
}

// cachedTokens returns how many leading tokens of the prompt the engine keeps.
func (s *server) cachedTokens(prompt *Prompt) int64 {
	var tokens int64
	for _, segment := range prompt.Prefix {
		_, cached := s.segments[segment.ID]
		if !cached {
			break
		}
		tokens += segment.Tokens
	}
	return min(tokens, prompt.Tokens)
}

// prefillTime returns how long the engine will read the prompt.
func (s *server) prefillTime(prompt *Prompt) time.Duration {
	cachedTokens := s.cachedTokens(prompt)
	return estimatePrefill(cachedTokens, prompt.Tokens-cachedTokens)
}

// occupancy returns the requests that run or wait at the server, as far as it
// is known here.
func (s *server) occupancy(now time.Time) int {
	if now.Sub(s.loadReportedAt) > loadReportTTL {
		return s.inFlight
	}
	return max(s.inFlight, s.load.Running+s.load.Waiting)
}

// isEjected tells whether the server is left out after failures.
func (s *server) isEjected(now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.halfOpen && s.inFlight > 0
}

// recordOutcome takes the outcome of a request in.
func (s *server) recordOutcome(outcome Outcome, now time.Time) {
	switch outcome.(type) {
	case Served, Declined:
		s.failureRate -= failureRateWeight * s.failureRate
		s.consecutiveFailures = 0
		s.ejections = 0
		s.halfOpen = false
	case Failed:
		s.failureRate += failureRateWeight * (1 - s.failureRate)
		s.consecutiveFailures++
		if s.consecutiveFailures >= ejectAfter || s.halfOpen {
			s.eject(now)
		}
	case Unreachable:
		s.failureRate += failureRateWeight * (1 - s.failureRate)
		s.eject(now)
	case Abandoned:
	}
}

func (s *server) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	duration := min(maxEjection, minEjection<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.halfOpen = true
}
