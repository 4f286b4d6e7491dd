package place

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cactusbay/cactusbay/internal/instances"
)

const (
	// farPenalty is what another failure domain adds, beyond its distance,
	// because bytes between domains cost.
	farPenalty = 4 * time.Millisecond
	// failurePenalty is what a server that always fails adds.
	failurePenalty = 2 * time.Second
	// occupiedPenalty is what a full server adds: the more run, the slower.
	occupiedPenalty = 60 * time.Millisecond
	// streamHarm is what one delayed stream weighs.
	streamHarm = 40 * time.Millisecond
	// stallFrom is the reading of prompts that streams bear without a late
	// event, and after stallSpan more all of them have one.
	stallFrom = 180 * time.Millisecond
	stallSpan = 200 * time.Millisecond
	// plainWork is the time that a request holds a slot of a plain server.
	plainWork = 25 * time.Millisecond
	// homePull is what the home server of a prompt's parts is preferred by, so
	// that entries agree before any has sent them.
	homePull = 25 * time.Millisecond
	// fullFactor is how many times its slots a server may hold, queue included.
	fullFactor = 2.5
	// maxParts bounds the remembered parts of a server.
	maxParts = 4096
	// partMemory is how long a part counts as kept without use.
	partMemory = 60 * time.Second
	// sweepInterval is the least time between two looks at all parts of a
	// server: many young ones must not make each placement look at them.
	sweepInterval  = time.Second
	fullRetryAfter = 300 * time.Millisecond
)

// Fleet is the backend servers that an entry knows. Its zero value works.
type Fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	// Told is called with each prompt that is sent, to tell other entries; nil
	// means not called.
	Told func(server string, work time.Duration, parts []Part)

	// Changed is called when what is believed of a server changes; nil means
	// not called. It must not call the fleet.
	Changed func(Change)

	// gone remembers leaving servers that a late list may show again.
	gone map[string]bool
}

// Placement is a place taken at a server. Call Done once.
type Placement struct {
	ID      string
	Address string
	// Work is how long the engine was expected to read the prompt.
	Work time.Duration
	// Cached is how many tokens of the prompt it was expected to keep.
	Cached int64

	fleet  *Fleet
	server *server
}

// Update takes a newer list in.
func (f *Fleet) Update(list []instances.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers == nil {
		f.servers = make(map[string]*server)
		f.gone = make(map[string]bool)
	}
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
		f.take(instance)
	}
	for id, s := range f.servers {
		if !listed[id] {
			delete(f.servers, id)
			if s.leaving {
				f.gone[id] = true
			}
			f.changed(s, EventGone, 0)
		}
	}
}

func (f *Fleet) changed(s *server, event string, during time.Duration) {
	if f.Changed == nil {
		return
	}
	f.Changed(Change{Server: s.id, Upstream: s.upstream, Address: s.address, Event: event, FailureRate: s.failureRate, For: during})
}

func (f *Fleet) take(instance instances.Instance) {
	s := f.servers[instance.ID]
	known := s != nil && s.address == instance.Address && s.upstream == instance.Upstream
	if !known {
		s = &server{id: instance.ID, parts: make(map[uint64]time.Time)}
		f.servers[instance.ID] = s
	}
	s.upstream = instance.Upstream
	s.address = instance.Address
	s.failureDomain = instance.FailureDomain
	s.slots = max(1, instance.Slots)
	leaving := s.leaving || instance.Leaving || f.gone[instance.ID]
	if known && leaving == s.leaving {
		return
	}
	s.leaving = leaving
	if leaving {
		f.changed(s, EventLeaving, 0)
	} else {
		f.changed(s, EventListed, 0)
	}
}

// Has tells whether a server is listed.
func (f *Fleet) Has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id] != nil
}

// Pick takes a place at the server that will answer first.
func (f *Fleet) Pick(q Query) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, full := f.best(q, false)
	if best == nil && !full {
		best, full = f.best(q, true)
	}
	switch {
	case best != nil:
		return Chosen{Placement: f.place(best, q)}
	case full:
		return Full{RetryAfter: fullRetryAfter}
	default:
		return Absent{}
	}
}

// best returns the server with the lowest cost; servers that are out count
// only when there is no other. It also tells whether full ones were passed.
func (f *Fleet) best(q Query, withOut bool) (best *server, full bool) {
	home := f.home(q)
	var lowest time.Duration
	for _, s := range f.servers {
		if s.upstream != q.Upstream || s.leaving || slices.Contains(q.Tried, s.id) {
			continue
		}
		if !withOut && s.isOut(q.Now) {
			continue
		}
		if float64(s.occupied(q.Now)) >= fullFactor*float64(s.slots) {
			full = true
			continue
		}
		cost := s.cost(q)
		if s == home {
			cost -= homePull
		}
		if best == nil || cost < lowest || cost == lowest && s.id < best.id {
			best = s
			lowest = cost
		}
	}
	return best, full
}

// cost estimates the time to the first byte, with what else weighs.
func (s *server) cost(q Query) time.Duration {
	cost := time.Duration(s.failureRate * float64(failurePenalty))
	if s.failureDomain != q.FailureDomain {
		cost += farPenalty
	}
	occupied := float64(s.occupied(q.Now)) / float64(s.slots)
	if q.Prompt == nil {
		return cost + time.Duration(occupied*float64(plainWork))
	}
	cost += time.Duration(occupied * float64(occupiedPenalty))
	busy := max(0, s.busyUntil.Sub(q.Now))
	work := s.work(q.Prompt)
	return cost + busy + work + s.harm(busy, work, q.Now)
}

// harm is what a prompt costs the streams that run beside it: while an engine
// reads prompts without a break, their events come late.
func (s *server) harm(busy, work time.Duration, now time.Time) time.Duration {
	added := stalled(busy+work) - stalled(busy)
	return time.Duration(added * float64(s.occupied(now)) * float64(streamHarm))
}

// stalled tells how much of a stream's pause targets is missed, from 0 to 1,
// when its engine reads prompts for a time without a break.
func stalled(busy time.Duration) float64 {
	return min(1, max(0, float64(busy-stallFrom)/float64(stallSpan)))
}

// home returns the server that all entries prefer for a prompt's last shared
// part: the one with the highest hash.
func (f *Fleet) home(q Query) *server {
	if q.Prompt == nil || len(q.Prompt.Parts) == 0 {
		return nil
	}
	part := q.Prompt.Parts[len(q.Prompt.Parts)-1].ID
	var home *server
	var highest uint64
	for _, s := range f.servers {
		if s.upstream != q.Upstream || s.leaving || s.isOut(q.Now) {
			continue
		}
		weight := mix(part, s.id)
		if home == nil || weight > highest {
			home = s
			highest = weight
		}
	}
	return home
}

func mix(part uint64, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64() ^ part*0x9E3779B97F4A7C15
	x ^= x >> 32
	x *= 0xD6E8FEB86659FD93
	return x ^ x>>32
}

func (f *Fleet) place(s *server, q Query) *Placement {
	p := &Placement{ID: s.id, Address: s.address, fleet: f, server: s}
	s.running++
	if q.Prompt != nil {
		p.Cached = s.cached(q.Prompt)
		p.Work = s.work(q.Prompt)
		s.read(q.Prompt, p.Work, q.Now)
		if f.Told != nil {
			f.Told(s.id, p.Work, q.Prompt.Parts)
		}
	}
	return p
}

// read notes that the engine reads a prompt for some time.
func (s *server) read(prompt *Prompt, work time.Duration, now time.Time) {
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(work)
	s.keep(prompt.Parts, now)
}

func (s *server) keep(parts []Part, now time.Time) {
	if len(s.parts) > maxParts && now.Sub(s.swept) > sweepInterval {
		s.swept = now
		maps.DeleteFunc(s.parts, func(_ uint64, used time.Time) bool { return now.Sub(used) > partMemory })
	}
	for _, part := range parts {
		s.parts[part.ID] = now
	}
}

// Heard takes in what the server says of its load.
func (p *Placement) Heard(load Load, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.load = load
	p.server.loadedAt = now
}

// Done gives the place back.
func (p *Placement) Done(outcome Outcome, now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.running--
	wasOut, wasTrial := p.server.ejectedUntil, p.server.trial
	p.server.learn(outcome, now)
	if p.server.ejectedUntil != wasOut {
		p.fleet.changed(p.server, EventEjected, p.server.ejectedUntil.Sub(now))
	}
	if wasTrial && !p.server.trial {
		p.fleet.changed(p.server, EventBack, 0)
	}
	switch outcome.(type) {
	case Declined, Unreachable:
		p.undo(now)
	case Served, Failed, Abandoned:
	}
}

// undo takes back the work that the engine never began.
func (p *Placement) undo(now time.Time) {
	p.server.busyUntil = p.server.busyUntil.Add(-p.Work)
	if p.server.busyUntil.Before(now) {
		p.server.busyUntil = now
	}
}

// Refuted tells that another server has the address: this one is gone.
func (p *Placement) Refuted() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.server.leaving = true
	p.fleet.changed(p.server, EventReplaced, 0)
}

// Elsewhere notes a prompt that another entry sent to a server.
func (f *Fleet) Elsewhere(id string, work time.Duration, parts []Part, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.read(&Prompt{Parts: parts}, work, now)
}
