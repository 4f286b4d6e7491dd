// Package route picks a backend server for a request. It does no I/O.
package route

// Candidate is a backend server that may serve a request.
type Candidate struct {
	Name          string
	FailureDomain string
	// Running is the number of requests in progress.
	Running int
	// Limit bounds Running.
	Limit int
	// Excluded takes the server out: it is leaving, ejected or was tried.
	Excluded bool
}

// Pick returns the index of the least loaded candidate, one of the own failure
// domain where one has room, and false when none has room.
func Pick(candidates []Candidate, failureDomain string) (int, bool) {
	best := -1
	for i, candidate := range candidates {
		if candidate.Excluded || candidate.Running >= candidate.Limit {
			continue
		}
		if best < 0 || better(candidate, candidates[best], failureDomain) {
			best = i
		}
	}
	return best, best >= 0
}

func better(a, b Candidate, failureDomain string) bool {
	aNear := a.FailureDomain == failureDomain
	bNear := b.FailureDomain == failureDomain
	if aNear != bNear {
		return aNear
	}
	return a.Running*b.Limit < b.Running*a.Limit
}
