package place

import (
	"time"
)

const (
	// loadMemory is how long a server's own report counts.
	loadMemory = 1500 * time.Millisecond
	// failureShare is the weight of the newest outcome in the failure rate.
	failureShare = 0.12
	// minEjection and maxEjection bound the time that a server is left out
	// after it failed several times in a row.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// ejectAfter is how many failures in a row leave a server out.
	ejectAfter = 2
	// readTokensPerMs is how fast an engine reads a prompt, in tokens.
	readTokensPerMs = 140
	// pairsPerMs is how many pairs of tokens an engine relates in a millisecond.
	pairsPerMs = 3.4e6
)

// server is what the fleet knows of one backend server.
type server struct {
	id            string
	upstream      string
	address       string
	failureDomain string
	slots         int
	leaving       bool

	// running counts this entry's requests.
	running int
	// busyUntil is when the prompts sent to the engine will have been read.
	busyUntil time.Time
	// parts are the prompt parts that the engine was sent, with their last use.
	parts map[uint64]time.Time
	// swept is when the unused parts were last removed.
	swept time.Time

	load     Load
	loadedAt time.Time

	failureRate  float64
	failures     int
	ejections    int
	ejectedUntil time.Time
	// trial marks a server that comes back from ejection with one request.
	trial bool
}

// readTime returns how long an engine reads tokens that follow cached ones.
func readTime(cached, tokens int64) time.Duration {
	pairs := float64(tokens) * (float64(cached) + float64(tokens)/2)
	ms := float64(tokens)/readTokensPerMs + pairs/pairsPerMs
	return time.Duration(ms * float64(time.Millisecond))
}

// cached returns how many leading tokens of the prompt the engine keeps.
func (s *server) cached(prompt *Prompt) int64 {
	var tokens int64
	for _, part := range prompt.Parts {
		_, kept := s.parts[part.ID]
		if !kept {
			break
		}
		tokens += part.Tokens
	}
	return min(tokens, prompt.Tokens)
}

// work returns how long the engine will read the prompt.
func (s *server) work(prompt *Prompt) time.Duration {
	cached := s.cached(prompt)
	return readTime(cached, prompt.Tokens-cached)
}

// occupied returns the requests that run or wait at the server, as far as it
// is known here.
func (s *server) occupied(now time.Time) int {
	if now.Sub(s.loadedAt) > loadMemory {
		return s.running
	}
	return max(s.running, s.load.Running+s.load.Waiting)
}

// isOut tells whether the server is left out after failures.
func (s *server) isOut(now time.Time) bool {
	return now.Before(s.ejectedUntil) || s.trial && s.running > 0
}

// learn takes the outcome of a request in.
func (s *server) learn(outcome Outcome, now time.Time) {
	switch outcome.(type) {
	case Served, Declined:
		s.failureRate -= failureShare * s.failureRate
		s.failures = 0
		s.ejections = 0
		s.trial = false
	case Failed:
		s.failureRate += failureShare * (1 - s.failureRate)
		s.failures++
		if s.failures >= ejectAfter || s.trial {
			s.eject(now)
		}
	case Unreachable:
		s.failureRate += failureShare * (1 - s.failureRate)
		s.eject(now)
	case Abandoned:
	}
}

func (s *server) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		return
	}
	pause := min(maxEjection, minEjection<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(pause)
	s.trial = true
}
