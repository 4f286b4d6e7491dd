package place

import "time"

// Counts sums up the state of a fleet's servers.
type Counts struct {
	// Ready, Leaving, Evacuated and Ejected count servers; each is counted once.
	Ready     int
	Leaving   int
	Evacuated int
	Ejected   int
	// EvacuatedDomains counts the evacuated failure domains.
	EvacuatedDomains int
	// Limited counts servers that name a limit, which are counted above too.
	Limited int
	// Cold counts servers that count as cold, which are counted above too.
	Cold int
	// Unconfirmed counts servers that get no further request until their probe is answered,
	// which are counted above too.
	Unconfirmed int
	// CutOff counts the upstreams whose servers this entry can't reach while others do.
	CutOff int
	// Adaptive sums up the upstreams whose servers are chosen by estimates.
	Adaptive AdaptiveCounts
	// InFlight counts this entry's requests at servers.
	InFlight int
	// ServerBytes is the most bytes of request bodies that this entry has outstanding at a
	// server.
	ServerBytes int64
	// Backlog is the longest prefill backlog of an engine.
	Backlog time.Duration
}

// Counts returns the state of the servers at now.
func (f *Fleet) Counts(now time.Time) Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	var counts Counts
	for _, s := range f.servers {
		switch {
		case s.leaving:
			counts.Leaving++
		case f.isEvacuated(s):
			counts.Evacuated++
		case s.isEjected(now):
			counts.Ejected++
		default:
			counts.Ready++
		}
		if s.limit.Named {
			counts.Limited++
		}
		if f.isCold(s, now) {
			counts.Cold++
		} else if f.unconfirmedWait(s, now) > 0 {
			counts.Unconfirmed++
		}
		counts.InFlight += s.inFlight
		counts.ServerBytes = max(counts.ServerBytes, s.outstandingBytes)
		counts.Backlog = max(counts.Backlog, s.prefillUntil.Sub(now))
	}
	counts.Adaptive = f.adaptiveCounts(now)
	counts.EvacuatedDomains = len(f.evacuations.domains)
	for _, r := range f.paths {
		if !r.cutOffSince.IsZero() {
			counts.CutOff++
		}
	}
	return counts
}
