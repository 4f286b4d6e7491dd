package place

import (
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

// unconfirmed is the state of a server of this entry's first list, which may have started
// again since that list was read. Its zero value is a server that counts as it is listed.
type unconfirmed struct {
	// since is when the list was applied; zero if the server is confirmed.
	since time.Time
	// sent is set once this entry has sent the server a request.
	sent bool
}

// isUnconfirmed reports whether it is unknown if the server has started again since the first
// list was read. Once ColdStart has passed since the list was applied, the server is no longer
// cold from a start before it. mu is held.
func (f *Fleet) isUnconfirmed(s *server, now time.Time) bool {
	since := s.cold.unconfirmed.since
	return !since.IsZero() && f.boundsColdStart(s.upstream) && now.Before(since.Add(f.upstreamOf(s.upstream).policy.ColdStart))
}

// listUnconfirmed makes a server of the first list unconfirmed. A list that says that the
// server is cold confirms it; mu is held.
func (f *Fleet) listUnconfirmed(s *server, instance instances.Instance, known bool, now time.Time) {
	switch {
	case instance.Cold:
		s.cold.confirm()
	case !known && f.firstList && instance.ColdStated:
		s.cold.unconfirmed = unconfirmed{since: now}
	}
}

// confirm records that it is known whether the server has started again.
func (c *coldness) confirm() {
	c.unconfirmed = unconfirmed{}
}

// confirmBy confirms the server by the answer to a request that was sent at the given time.
func (c *coldness) confirmBy(sentAt time.Time) {
	if !sentAt.Before(c.unconfirmed.since) {
		c.confirm()
	}
}

// unconfirmedWait returns the delay for requests to an unconfirmed server that has got one and
// whose probe has not been answered; 0 if the server may get a request. mu is held.
func (f *Fleet) unconfirmedWait(s *server, now time.Time) time.Duration {
	if s.cold.unconfirmed.sent && f.isUnconfirmed(s, now) {
		return noColdShareWait
	}
	return 0
}

// recordUnconfirmedSent records the first request to an unconfirmed server and asks for a
// probe; mu is held.
func (f *Fleet) recordUnconfirmedSent(s *server, now time.Time) {
	if s.cold.unconfirmed.sent || !f.isUnconfirmed(s, now) {
		return
	}
	s.cold.unconfirmed.sent = true
	f.unprobed = append(f.unprobed, s)
	if f.ProbeNeeded != nil {
		f.ProbeNeeded()
	}
}

// StartUnconfirmedProbes returns the unconfirmed servers that have got a request and must be
// probed now. The caller must call EndColdProbe for each.
func (f *Fleet) StartUnconfirmedProbes(now time.Time) []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []Endpoint
	for _, s := range f.unprobed {
		if f.servers[s.id] == s && f.mayProbeCold(s) && f.needsUnconfirmedProbe(s, now) && f.startColdProbe(s, now) {
			endpoints = append(endpoints, s.endpoint())
		}
	}
	clear(f.unprobed)
	f.unprobed = f.unprobed[:0]
	return endpoints
}

// needsUnconfirmedProbe reports whether the server is unconfirmed and must be probed; mu is
// held. The first probe is sent together with the only request. A server that does not answer
// it counts as cold, so that a further one is due only if it answers the request afterwards.
func (f *Fleet) needsUnconfirmedProbe(s *server, now time.Time) bool {
	return s.cold.unconfirmed.sent && f.isUnconfirmed(s, now) && !f.isCold(s, now)
}

// precedesAtEqualCost reports whether a server precedes another one of equal cost: confirmed
// ones first, and then by id. Among unconfirmed ones the order depends on the entry: entries
// that start together would otherwise all begin with the same server, and send it a request
// and a probe each. mu is held.
func (f *Fleet) precedesAtEqualCost(s, other *server, now time.Time) bool {
	first, second := f.isUnconfirmed(s, now), f.isUnconfirmed(other, now)
	if first != second {
		return second
	}
	weight, otherWeight := mixWeight(f.Seed, s.hash), mixWeight(f.Seed, other.hash)
	if first && weight != otherWeight {
		return weight > otherWeight
	}
	return s.id < other.id
}

// isTooEarlyToPrefer reports whether an unconfirmed server must not be preferred for its prompt
// prefixes yet: all entries prefer the same server, and those that start together would send
// it a request and a probe each before one of them has announced that it is cold. The time is
// a part of ColdStart that differs between entries and servers; mu is held.
func (f *Fleet) isTooEarlyToPrefer(s *server, now time.Time) bool {
	if !f.isUnconfirmed(s, now) {
		return false
	}
	part := float64(mixWeight(f.Seed, s.hash)>>11) / (1 << 53)
	wait := time.Duration(part * float64(f.upstreamOf(s.upstream).policy.ColdStart))
	return now.Before(s.cold.unconfirmed.since.Add(wait))
}
