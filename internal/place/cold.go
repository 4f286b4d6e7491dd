package place

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

const (
	// requestsPerColdEntry divides the requests a second that a cold server takes to give the
	// number of entries that may send it any. The burst of one request takes one third of an
	// entry's part; with smaller parts, little would be left for the rate.
	requestsPerColdEntry = 3
	// slowColdUse is the least part of an entry's requests a second that becomes its rate,
	// where less would be left beside the burst.
	slowColdUse = 0.5
	// noColdShareWait is the retry delay where this entry may send a cold server nothing. It
	// is short because another entry may.
	noColdShareWait = 100 * time.Millisecond
	// coldAnnounceInterval is the time between two announcements that the same server is
	// cold.
	coldAnnounceInterval = time.Second
)

// Reasons for which a server counts as cold.
const (
	coldListed      = "the list says so"
	coldStated      = "the server says so"
	coldNew         = "listed for the first time"
	coldReadmitted  = "its failure domain is in use again"
	coldReachable   = "reachable again"
	coldUnreachable = "unreachable"
	coldNotHeardOf  = "not heard of since this entry started"
)

// coldness is what is known of a cold server, and this entry's share of the requests that it
// takes. Its zero value is a server that is not cold.
type coldness struct {
	// listed is set while the list says that the server is cold.
	listed bool
	// coldWhileLearning is set if the list has said that the server is cold while this entry
	// was learning who its peers are, and sent it nothing.
	coldWhileLearning bool
	// statedUntil is the time until which the server has stated to be cold, as of statedAt.
	statedUntil time.Time
	statedAt    time.Time
	// assumedAt is when the server was last assumed to be cold for the upstream's ColdStart,
	// and assumedReason why. The response to a request sent after knownAfter replaces this.
	assumedAt     time.Time
	assumedReason string
	knownAfter    time.Time
	// unreachableAt is when the server was ejected because connections to it failed, if it
	// has not answered since. It counts as cold until retryAt.
	unreachableAt time.Time
	retryAt       time.Time
	// unconfirmed is set while the server may have started again since the first list.
	unconfirmed unconfirmed
	// probe is the state of the probes that find out whether the server has started again.
	probe coldProbe
	// announcedAt is when an entry last told the others that the server is cold.
	announcedAt time.Time
	// reported is the last reason for coldness that was reported to Fleet.Changed.
	reported string

	// share is the part of the requests that this entry may send, as of sharedAt.
	share    float64
	sharedAt time.Time
	bucket
}

// maxColdEntries returns how many entries may send requests to a cold server.
func maxColdEntries(perSecond float64) int {
	return max(1, int(min(perSecond/requestsPerColdEntry, maxCountedEntries)))
}

// coldRate returns how many requests a second an entry with the given share may send to a
// cold server beside a burst of one, so that all entries with a share together send at most
// perSecond in any second.
func coldRate(perSecond, share float64) float64 {
	own := float64(perSecond * share)
	return max(own-1, own*slowColdUse)
}

// coldReason returns why the server counts as cold, or an empty string; mu is held.
func (f *Fleet) coldReason(s *server, now time.Time) string {
	policy := f.upstreamOf(s.upstream).policy
	c := &s.cold
	switch {
	case policy.ColdRequestsPerSecond == 0:
		return ""
	case c.listed:
		return coldListed
	case now.Before(c.statedUntil):
		return coldStated
	case now.Before(c.retryAt):
		return coldUnreachable
	case !c.assumedAt.IsZero() && now.Before(c.assumedAt.Add(policy.ColdStart)):
		return c.assumedReason
	default:
		return ""
	}
}

// isCold reports whether the server counts as cold, and reports a change of that; mu is
// held.
func (f *Fleet) isCold(s *server, now time.Time) bool {
	reason := f.coldReason(s, now)
	wasCold := s.cold.reported != ""
	if reason != "" != wasCold {
		s.cold.reported = reason
		event := EventCold
		if wasCold {
			event = EventWarm
		}
		f.notify(s, event, 0)
	}
	return reason != ""
}

// coldWait returns how long this entry must send the server nothing because it is cold or may
// be; mu is held.
func (f *Fleet) coldWait(s *server, now time.Time) time.Duration {
	if !f.isCold(s, now) {
		return f.unconfirmedWait(s, now)
	}
	perSecond := f.upstreamOf(s.upstream).policy.ColdRequestsPerSecond
	c := &s.cold
	if now.Sub(c.sharedAt) >= shareInterval {
		c.sharedAt = now
		c.share = f.coldShare(s, perSecond)
	}
	if c.share == 0 {
		c.bucket = bucket{filledAt: now}
		return noColdShareWait
	}
	rate := coldRate(perSecond, c.share)
	c.fill(rate, 1, now)
	return c.wait(rate, noColdShareWait)
}

// coldShare returns the part of the requests to a cold server that this entry may send; mu is
// held. An entry that is learning who its peers are can't know its part.
func (f *Fleet) coldShare(s *server, perSecond float64) float64 {
	if f.IsLearning != nil && f.IsLearning() {
		return 0
	}
	return f.limitShare(s, maxColdEntries(perSecond))
}

// takeColdToken counts the placement against this entry's share of a cold server, or as the
// only request to an unconfirmed one; mu is held.
func (p *Placement) takeColdToken(now time.Time) {
	if p.fleet.isCold(p.server, now) {
		p.server.cold.tokens--
		p.tookColdToken = true
		return
	}
	p.fleet.recordUnconfirmedSent(p.server, now)
}

// returnColdToken takes back what takeColdToken counted; mu is held.
func (p *Placement) returnColdToken() {
	if p.tookColdToken {
		p.tookColdToken = false
		p.server.cold.tokens++
	}
}

// assume makes the server count as cold for the upstream's ColdStart, because it may be. The
// response to a request sent after knownAfter replaces this.
func (c *coldness) assume(reason string, knownAfter, now time.Time) {
	c.assumedAt = now
	c.assumedReason = reason
	c.knownAfter = knownAfter
}

// applyCold records what the list says about the coldness of a server. One that is listed for
// the first time may have just started and is assumed to be cold, unless it is in the first
// list with servers and that list says whether it is cold. mu is held.
func (f *Fleet) applyCold(s *server, instance instances.Instance, known bool, now time.Time) {
	s.cold.applyListed(instance.Cold, f.IsLearning != nil && f.IsLearning(), s.answered, now)
	if !known && !(f.firstList && instance.ColdStated) {
		s.cold.assume(coldNew, now, now)
	}
	f.listUnconfirmed(s, instance, known, now)
	f.isCold(s, now)
}

// applyListed records whether the list says that the server is cold. While all entries were
// learning who their peers are, none has sent it anything, and it may have started again
// under its id. If nobody has heard of it when the list says that it is no longer cold, it is
// assumed to be cold until an entry with a share has probed it.
func (c *coldness) applyListed(cold, learning, answered bool, now time.Time) {
	wasListed := c.listed
	c.listed = cold
	switch {
	case cold:
		c.coldWhileLearning = c.coldWhileLearning || learning
	case wasListed && c.coldWhileLearning:
		c.coldWhileLearning = false
		if !answered && c.statedAt.IsZero() && c.announcedAt.IsZero() {
			c.assume(coldNotHeardOf, now, now)
		}
	}
}

// markDomainCold makes the servers of a failure domain count as cold, because they got no
// requests for a time and may have started again in it; mu is held.
func (f *Fleet) markDomainCold(domain string, now time.Time) {
	for _, s := range f.servers {
		if s.failureDomain == domain {
			s.cold.assume(coldReadmitted, now, now)
			f.isCold(s, now)
		}
	}
}

// recordColdOutcome makes the server count as cold if the placement has ended without an
// answer and has ejected it; mu is held.
func (p *Placement) recordColdOutcome(outcome Outcome, ejected bool, now time.Time) {
	s := p.server
	if !ejected || p.answered || s.replaced || !p.fleet.boundsColdStart(s.upstream) {
		return
	}
	switch outcome.(type) {
	case Unreachable, Failed:
		p.fleet.recordUnreachable(s, now)
		p.fleet.askForProbes(s, now)
	}
}

// forgetUnreachable forgets that connections to the server failed.
func (c *coldness) forgetUnreachable() {
	c.unreachableAt = time.Time{}
	c.retryAt = time.Time{}
}

// RecordCold records that the server has stated in its response that it stays cold for the
// given time; 0 if it is not cold.
func (p *Placement) RecordCold(coldFor time.Duration, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.recordCold(p.server, coldFor, p.StartedAt, now)
}

// RecordProbedCold records what the server with the given id has stated in its response to
// a probe that was sent at the given time. Unknown ids are ignored.
func (f *Fleet) RecordProbedCold(id string, coldFor time.Duration, sentAt, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s != nil {
		f.recordCold(s, coldFor, sentAt, now)
	}
}

// recordCold records what the server has stated in its response to a request that was sent
// at the given time; mu is held. It replaces what is known from before then.
func (f *Fleet) recordCold(s *server, coldFor time.Duration, sentAt, now time.Time) {
	c := &s.cold
	until := now.Add(coldFor)
	if sentAt.Before(c.statedAt) {
		until = later(until, c.statedUntil)
	}
	c.statedUntil = until
	c.statedAt = now
	c.confirmBy(sentAt)
	if !sentAt.Before(c.knownAfter) {
		c.assumedAt = time.Time{}
	}
	if !c.unreachableAt.IsZero() && sentAt.After(c.unreachableAt) {
		c.forgetUnreachable()
	}
	cold := f.isCold(s, now)
	if f.ColdStated != nil && cold && coldFor > 0 && now.Sub(c.announcedAt) >= coldAnnounceInterval {
		c.announcedAt = now
		f.ColdStated(s.id, coldFor)
	}
}

// RecordRemoteCold records that the server with the given id has stated to another entry
// that it stays cold for the given time. Unknown ids are ignored.
func (f *Fleet) RecordRemoteCold(id string, coldFor time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.cold.statedUntil = later(s.cold.statedUntil, now.Add(coldFor))
	s.cold.announcedAt = now
	s.cold.confirm()
	f.isCold(s, now)
}
