package place

import "time"

const (
	// maxSegments is the number of remembered prefix segments per server above
	// which unused ones are removed.
	maxSegments = 4096
	// segmentTTL is how long an unused prefix segment counts as cached.
	segmentTTL = 60 * time.Second
	// sweepInterval is the least time between two sweeps of a server's
	// segments. Without it, each placement would scan all segments whenever
	// more than maxSegments are recent.
	sweepInterval = time.Second
	// segmentTokensWeight is the weight of a prompt's segments in the mean length of segments.
	segmentTokensWeight = 0.05
)

// usedSegment is a prefix segment that was sent to an engine.
type usedSegment struct {
	id     uint64
	tokens int64
	used   time.Time
	// evicted is set if the engine's memory cannot keep the segment any more.
	evicted bool
	// newer and older are the segments with the next later and earlier use.
	newer, older *usedSegment
}

// prefixCache remembers the prefix segments that were sent to an engine, in the order of
// their last use. Its zero value is empty.
type prefixCache struct {
	segments map[uint64]*usedSegment
	// newest and oldest are the ends of the list by last use. The segments from oldestKept
	// on are not evicted.
	newest, oldest, oldestKept *usedSegment
	// keptTotal is the length of the segments that are not evicted.
	keptTotal int64
	// lastSweep is when expired segments were last removed.
	lastSweep time.Time
}

// record records segments as cached at now. A new segment without a length counts as
// unknownTokens. Above maxSegments it first removes expired ones, at most once
// per sweepInterval.
func (p *prefixCache) record(segments []PrefixSegment, unknownTokens int64, now time.Time) {
	if p.segments == nil {
		p.segments = make(map[uint64]*usedSegment)
	}
	if len(p.segments) > maxSegments && now.Sub(p.lastSweep) > sweepInterval {
		p.lastSweep = now
		for p.oldest != nil && now.Sub(p.oldest.used) > segmentTTL {
			p.remove(p.oldest)
		}
	}
	// A segment is usable only together with those before it, so that these are evicted
	// later.
	for i := len(segments) - 1; i >= 0; i-- {
		p.use(segments[i], unknownTokens, now)
	}
}

// use makes a segment the newest.
func (p *prefixCache) use(segment PrefixSegment, unknownTokens int64, now time.Time) {
	c := p.segments[segment.ID]
	if c == nil {
		c = &usedSegment{id: segment.ID, tokens: unknownTokens}
	} else {
		p.remove(c)
	}
	if segment.Tokens > 0 {
		c.tokens = segment.Tokens
	}
	c.used = now
	c.evicted = false
	c.newer, c.older = nil, p.newest
	if p.newest != nil {
		p.newest.newer = c
	} else {
		p.oldest = c
	}
	if p.oldestKept == nil {
		p.oldestKept = c
	}
	p.newest = c
	p.segments[c.id] = c
	p.keptTotal += c.tokens
}

func (p *prefixCache) remove(c *usedSegment) {
	if !c.evicted {
		p.keptTotal -= c.tokens
	}
	if p.oldestKept == c {
		p.oldestKept = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		p.newest = c.older
	}
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		p.oldest = c.newer
	}
	delete(p.segments, c.id)
}

// evict marks the least recently used segments that exceed a number of tokens as evicted.
func (p *prefixCache) evict(limit int64) {
	for p.keptTotal > limit && p.oldestKept != nil {
		p.oldestKept.evicted = true
		p.keptTotal -= p.oldestKept.tokens
		p.oldestKept = p.oldestKept.newer
	}
}

// usedTokens returns how many leading tokens of the prompt were sent to the engine before.
func (p *prefixCache) usedTokens(prompt *Prompt) int64 {
	used, _ := p.leadingTokens(prompt)
	return used
}

// leadingTokens returns how many leading tokens of the prompt were sent to the engine before,
// and how many of them it is expected to keep.
func (p *prefixCache) leadingTokens(prompt *Prompt) (used, kept int64) {
	evicted := false
	for _, segment := range prompt.Prefix {
		c := p.segments[segment.ID]
		if c == nil {
			break
		}
		evicted = evicted || c.evicted
		used += segment.Tokens
		if !evicted {
			kept += segment.Tokens
		}
	}
	return min(used, prompt.Tokens), min(kept, prompt.Tokens)
}

// meanHeld is the mean number of tokens that a running request holds in an engine's memory
// beside its prefix, weighted by how long requests run.
type meanHeld struct {
	tokenSeconds float64
	seconds      float64
}

// record adds a request that ran for the given time.
func (m *meanHeld) record(tokens int64, d time.Duration) {
	m.tokenSeconds += float64(meanTimeWeight * (float64(float64(tokens)*d.Seconds()) - m.tokenSeconds))
	m.seconds += float64(meanTimeWeight * (d.Seconds() - m.seconds))
}

// tokens returns the mean, or 0 before the first request.
func (m *meanHeld) tokens() float64 {
	if m.seconds <= 0 {
		return 0
	}
	return m.tokenSeconds / m.seconds
}

// prefixTokens returns the length of the prompt's prefix.
func (p *Prompt) prefixTokens() int64 {
	var tokens int64
	for _, segment := range p.Prefix {
		tokens += segment.Tokens
	}
	return tokens
}

// heldTokens returns how many tokens of a running request no other request can use.
func (p *Prompt) heldTokens() int64 {
	return max(0, p.Tokens+p.Output-p.prefixTokens())
}

// evictPrefixes marks those prefixes of s as evicted that its engine cannot keep beside the
// requests that it runs, if the size of its memory is known.
func (u *upstreamState) evictPrefixes(s *server, load estimate) {
	if u.policy.CacheTokens <= 0 {
		return
	}
	held := min(load.requests, float64(s.slots)) * u.held.tokens()
	s.prefixes.evict(u.policy.CacheTokens - int64(held))
}

// recordSegments records the lengths of a prompt's segments. Other entries announce segments
// without their lengths.
func (u *upstreamState) recordSegments(prompt *Prompt) {
	for _, segment := range prompt.Prefix {
		if u.segmentTokens == 0 {
			u.segmentTokens = float64(segment.Tokens)
		}
		u.segmentTokens += float64(segmentTokensWeight * (float64(segment.Tokens) - u.segmentTokens))
	}
}
