package place

import (
	"math/rand/v2"
	"time"
)

const (
	// limitUse is the part of a limit that all entries use together. What they know of
	// each other differs for moments.
	limitUse = 0.9
	// limitBurstTime is how much of its share an entry may use at once, beside one
	// request.
	limitBurstTime = 500 * time.Millisecond
	// extraEntries is the number of entries, beside one for each request a second, that
	// may use a limit. With one request at once each, more would exceed it.
	extraEntries = 3
	// maxCountedEntries exceeds the entries of any site.
	maxCountedEntries = 1 << 16
	// shareInterval is how long the share of an entry is used before it is asked again.
	shareInterval = 500 * time.Millisecond
	// noShareWait is how long an entry without a share waits.
	noShareWait = time.Second
	// minLimitTTL is the least time for which a limit counts that no response names
	// again, and maxLimitTTL the longest. The time is random, so that not all entries try
	// the server at once.
	minLimitTTL = 30 * time.Second
	maxLimitTTL = 60 * time.Second
	// limitAnnounceInterval is the time between two announcements of the same limit.
	limitAnnounceInterval = time.Second
)

// Limit is what a response, or another entry, states about the limit of a server.
type Limit struct {
	// Named is set if the server names a limit.
	Named bool
	// PerSecond is how many requests a second the server takes from all entries together.
	PerSecond float64
}

// rateLimit is the limit that a server has named, and this entry's share of it as a token
// bucket. Its zero value is no limit.
type rateLimit struct {
	Limit
	// namedAt is when the server last named the limit, and ttl how long that counts.
	namedAt time.Time
	ttl     time.Duration
	// announcedAt is when an entry last told the others of the limit.
	announcedAt time.Time

	// share is the part of the limit that this entry may use, as of sharedAt.
	share    float64
	sharedAt time.Time
	bucket
}

// rate returns how many requests a second this entry may send.
func (l *rateLimit) rate() float64 {
	return limitUse * l.share * l.PerSecond
}

// capacity returns how many requests this entry may send at once.
func (l *rateLimit) capacity() float64 {
	return 1 + float64(l.rate()*limitBurstTime.Seconds())
}

// fill adds the tokens since the last call.
func (l *rateLimit) fill(now time.Time) {
	l.bucket.fill(l.rate(), l.capacity(), now)
}

// maxEntries returns how many entries may use the limit.
func (l *rateLimit) maxEntries() int {
	return int(min(l.PerSecond, maxCountedEntries)) + extraEntries
}

// wait returns how long the limit allows no request; 0 if it allows one now.
func (l *rateLimit) wait(now time.Time) time.Duration {
	l.fill(now)
	return l.bucket.wait(l.rate(), noShareWait)
}

// limitWait returns how long the server's limit allows no request of this entry; mu is
// held.
func (f *Fleet) limitWait(s *server, now time.Time) time.Duration {
	l := &s.limit
	if !l.Named {
		return 0
	}
	if now.Sub(l.namedAt) > l.ttl {
		f.dropLimit(s)
		return 0
	}
	if now.Sub(l.sharedAt) >= shareInterval {
		f.updateShare(s, now)
	}
	return l.wait(now)
}

// updateShare updates the part of the server's limit that this entry may use; mu is held.
func (f *Fleet) updateShare(s *server, now time.Time) {
	l := &s.limit
	l.fill(now)
	l.sharedAt = now
	l.share = f.limitShare(s, l.maxEntries())
}

// limitShare returns the part of what a server takes that this entry may use, of which at
// most the given number of entries may use any; mu is held.
func (f *Fleet) limitShare(s *server, maxEntries int) float64 {
	if f.LimitShare == nil {
		return 1
	}
	return f.LimitShare(s.id, maxEntries)
}

// takeToken counts the placement against the server's limit, if it names one; mu is held.
func (p *Placement) takeToken() {
	if p.server.limit.Named {
		p.server.limit.tokens--
		p.tookToken = true
	}
}

// returnToken takes back that the placement counts against the limit; mu is held.
func (p *Placement) returnToken() {
	if p.tookToken {
		p.tookToken = false
		p.server.limit.tokens++
	}
}

// RecordLimit records what the server has stated in its response. A response that names
// no limit ends one only if its request was sent after the limit was last named, because
// responses may overtake each other.
func (p *Placement) RecordLimit(limit Limit, now time.Time) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	at := now
	if !limit.Named {
		at = p.StartedAt
	}
	changed := f.recordLimit(p.server, limit, at, now)
	l := &p.server.limit
	due := limit.Named && now.Sub(l.announcedAt) >= limitAnnounceInterval
	if f.LimitStated != nil && (changed || due) {
		l.announcedAt = now
		f.LimitStated(p.server.id, limit, now.Sub(at))
	}
}

// RecordRemoteLimit records what a server with the given id stated to another entry at
// the given time. Unknown ids are ignored.
func (f *Fleet) RecordRemoteLimit(id string, limit Limit, at, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	f.recordLimit(s, limit, at, now)
	if s.limit.Named {
		s.limit.announcedAt = now
	}
}

// recordLimit records what the server stated at the given time, and reports whether that
// changes its limit; mu is held.
func (f *Fleet) recordLimit(s *server, limit Limit, at, now time.Time) (changed bool) {
	l := &s.limit
	if l.Named && !at.After(l.namedAt) || !l.Named && !limit.Named {
		return false
	}
	if !limit.Named {
		f.dropLimit(s)
		return true
	}
	changed = l.Limit != limit
	if !l.Named {
		*l = rateLimit{bucket: bucket{filledAt: now}}
	}
	l.fill(now)
	l.Limit = limit
	f.updateShare(s, now)
	l.namedAt = at
	l.ttl = minLimitTTL + rand.N(maxLimitTTL-minLimitTTL)
	if changed {
		f.notify(s, EventLimited, 0)
	}
	return changed
}

// dropLimit ends the server's limit; mu is held.
func (f *Fleet) dropLimit(s *server) {
	s.limit = rateLimit{}
	f.notify(s, EventUnlimited, 0)
}
