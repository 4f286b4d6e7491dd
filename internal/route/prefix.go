package route

import (
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// maxPrefixes is the number of remembered prefix segments above which unused ones
	// are removed, at most once per sweepInterval.
	maxPrefixes   = 16_384
	sweepInterval = 10 * time.Second
	// prefixTTL is how long an unused segment counts as cached.
	prefixTTL = time.Minute
)

// Prefixes remembers which servers hold which segments of prompt prefixes, by segment,
// because a pick looks at many servers and few of them hold a segment. Its zero value is
// empty, and a nil Prefixes remembers nothing.
type Prefixes struct {
	// holders maps segments to the servers that hold them.
	holders   map[uint64][]holder
	lastSweep time.Time
}

// holder is a server that holds a segment, with the segment's last use there in Unix
// nanoseconds.
type holder struct {
	server *Server
	usedAt int64
}

// record remembers that server holds the segments of a prompt.
func (p *Prefixes) record(prompt *place.Prompt, server *Server, now time.Time) {
	if p == nil {
		return
	}
	if p.holders == nil {
		p.holders = make(map[uint64][]holder)
	}
	if len(p.holders) > maxPrefixes && now.Sub(p.lastSweep) > sweepInterval {
		p.sweep(now)
	}
	for _, segment := range prompt.Prefix {
		p.recordSegment(segment.ID, server, now.UnixNano())
	}
}

// recordSegment remembers that server holds a segment.
func (p *Prefixes) recordSegment(id uint64, server *Server, now int64) {
	holders := p.holders[id]
	for i := range holders {
		if holders[i].server == server {
			holders[i].usedAt = now
			return
		}
	}
	p.holders[id] = append(holders, holder{server: server, usedAt: now})
}

// sweep removes what was not used for prefixTTL.
func (p *Prefixes) sweep(now time.Time) {
	p.lastSweep = now
	oldest := now.Add(-prefixTTL).UnixNano()
	for id, holders := range p.holders {
		kept := slices.DeleteFunc(holders, func(h holder) bool { return h.usedAt < oldest })
		if len(kept) == 0 {
			delete(p.holders, id)
		} else {
			p.holders[id] = kept
		}
	}
}

// mark sets Server.cached of each server to the leading tokens of the prompt that it
// holds. The caller calls unmark afterwards.
func (p *Prefixes) mark(prompt *place.Prompt) {
	if p == nil {
		return
	}
	for i, segment := range prompt.Prefix {
		for _, h := range p.holders[segment.ID] {
			if h.server.cachedSegments == i {
				h.server.cachedSegments++
				h.server.cached = min(prompt.Tokens, h.server.cached+segment.Tokens)
			}
		}
	}
}

// unmark undoes mark.
func (p *Prefixes) unmark(prompt *place.Prompt) {
	if p == nil {
		return
	}
	for _, segment := range prompt.Prefix {
		for _, h := range p.holders[segment.ID] {
			h.server.cached = 0
			h.server.cachedSegments = 0
		}
	}
}
