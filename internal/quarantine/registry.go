package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusbay/cactusbay/internal/place"
)

const (
	// Duration is how long a segment stays in quarantine.
	Duration = time.Hour
	// evidenceTTL is how long crashes count, and how long an unused segment is kept.
	evidenceTTL = 10 * time.Minute
	// freshCrash is how long a single crash is repeated to other entries.
	freshCrash = 10 * time.Second
	// progressInterval is the time between two announcements of progress with one
	// segment.
	progressInterval = time.Second
	// maxSegments bounds the segments that are remembered.
	maxSegments = 16384
	// sweepInterval is the least time between two removals of unused segments.
	sweepInterval = 10 * time.Second
)

// Registry holds the evidence of one entry. Its zero value is ready to use, and it is
// safe for concurrent use.
type Registry struct {
	// Announce, if not nil, is called with evidence that other entries may lack. It must
	// not call the registry.
	Announce func([]Evidence)
	// Changed, if not nil, is called when a quarantine begins or ends. It must not call
	// the registry.
	Changed func(Change)

	// quarantined counts the segments in quarantine.
	quarantined atomic.Int64

	mu sync.Mutex
	// answers counts the answers that have gone on at this entry.
	answers  int64
	segments map[uint64]*segment
	// active holds the segments with evidence against them.
	active    map[uint64]*segment
	lastSweep time.Time
}

// Values of Change.Event.
const (
	EventQuarantined = "quarantined"
	EventLearned     = "learned from others"
	EventCleared     = "cleared by an answer that went on"
	EventExpired     = "expired"
)

// Change reports the begin or the end of a quarantine.
type Change struct {
	Segment uint64
	// Event is one of the Event constants.
	Event string
	// Crashes is the number of crashes that are known.
	Crashes int
}

// RecordCrash records that a server has ended the connection of a request whose prompt
// has the given segments before its answer had gone on.
func (r *Registry) RecordCrash(server string, segments []place.PrefixSegment, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := ServerNumber(server)
	explained := r.anyQuarantined(segments)
	var announced []Evidence
	for _, s := range segments {
		if explained && !r.isQuarantined(s.ID) {
			continue
		}
		if r.addCrash(s.ID, crash{server: number, at: now}, now) {
			announced = append(announced, Crash{Segment: s.ID, Server: number})
			announced = r.appendProgress(announced, s.ID, now)
		}
	}
	r.convict(now)
	r.announce(announced)
}

// isQuarantined reports whether a segment is in quarantine; mu is held.
func (r *Registry) isQuarantined(id uint64) bool {
	s := r.active[id]
	return s != nil && !s.quarantinedAt.IsZero()
}

// anyQuarantined reports whether one of the segments is in quarantine; mu is held.
func (r *Registry) anyQuarantined(segments []place.PrefixSegment) bool {
	return slices.ContainsFunc(segments, func(s place.PrefixSegment) bool { return r.isQuarantined(s.ID) })
}

// RecordProgress records that an answer to a request whose prompt has the given segments
// has gone on beyond its begin.
func (r *Registry) RecordProgress(segments []place.PrefixSegment, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	var announced []Evidence
	for _, s := range segments {
		known := r.segment(s.ID, now)
		if known == nil {
			continue
		}
		wasActive := known.isActive()
		known.ownProgress = now
		r.addProgress(s.ID, known, now)
		if wasActive {
			announced = r.appendProgress(announced, s.ID, now)
		}
	}
	r.announce(announced)
}

// Merge records evidence of other entries.
func (r *Registry) Merge(evidence []Evidence, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var announced []Evidence
	for _, e := range evidence {
		switch e := e.(type) {
		case Crash:
			if e.Age < evidenceTTL && r.addCrash(e.Segment, crash{server: e.Server, at: now.Add(-e.Age)}, now) {
				announced = r.appendProgress(announced, e.Segment, now)
			}
		case Progress:
			known := r.segment(e.Segment, now)
			if known != nil {
				r.addProgress(e.Segment, known, now.Add(-e.Age))
			}
		case Verdict:
			if e.Age < Duration && !r.learn(e.Segment, now.Add(-e.Age), now) {
				announced = r.appendProgress(announced, e.Segment, now)
			}
		}
	}
	r.convict(now)
	r.announce(announced)
}

// Remaining returns how long the longest quarantine of the given segments lasts, or 0 if
// none is in quarantine.
func (r *Registry) Remaining(segments []place.PrefixSegment, now time.Time) time.Duration {
	if r.quarantined.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest time.Duration
	for _, s := range segments {
		known := r.active[s.ID]
		if known == nil || known.quarantinedAt.IsZero() {
			continue
		}
		remaining := known.quarantinedAt.Add(Duration).Sub(now)
		if remaining <= 0 {
			r.expire(s.ID, known)
			continue
		}
		longest = max(longest, remaining)
	}
	return longest
}

// Count returns the number of segments in quarantine.
func (r *Registry) Count() int64 {
	return r.quarantined.Load()
}

// Sample returns up to limit random pieces of the evidence to repeat to other entries:
// verdicts, the crashes that are recent or not the only one of their segment, and this
// entry's progress with their segments.
func (r *Registry) Sample(limit int, now time.Time) []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var evidence []Evidence
	for id, s := range r.active {
		age := now.Sub(s.quarantinedAt)
		if !s.quarantinedAt.IsZero() && age >= Duration {
			r.expire(id, s)
			continue
		}
		if !s.quarantinedAt.IsZero() {
			evidence = append(evidence, Verdict{Segment: id, Age: age})
			continue
		}
		if !s.ownProgress.IsZero() {
			evidence = append(evidence, Progress{Segment: id, Age: now.Sub(s.ownProgress)})
		}
		for _, c := range s.crashes {
			age := now.Sub(c.at)
			if age < freshCrash || len(s.crashes) > 1 && age < evidenceTTL {
				evidence = append(evidence, Crash{Segment: id, Server: c.server, Age: age})
			}
		}
	}
	rand.Shuffle(len(evidence), func(i, j int) { evidence[i], evidence[j] = evidence[j], evidence[i] })
	return evidence[:min(limit, len(evidence))]
}

// addCrash adds a crash, unless a segment in quarantine explains it, and reports whether it
// is new; mu is held.
func (r *Registry) addCrash(id uint64, c crash, now time.Time) bool {
	s := r.segment(id, now)
	if s == nil {
		return false
	}
	s.dropOldCrashes(now)
	c.answers = r.answers
	if s.quarantinedAt.IsZero() && r.isExplained(c) || !s.addCrash(c) {
		return false
	}
	r.active[id] = s
	return true
}

// isExplained reports whether the server has crashed under a segment in quarantine; mu is
// held.
func (r *Registry) isExplained(c crash) bool {
	for _, s := range r.active {
		if !s.quarantinedAt.IsZero() && s.hasCrash(c.server) {
			return true
		}
	}
	return false
}

// convict begins the quarantine of the segments whose crashes suffice, those with most
// crashes first: these explain the crashes of segments that share prompts with them. mu is
// held.
func (r *Registry) convict(now time.Time) {
	for {
		var convicted []uint64
		most := 0
		for id, s := range r.active {
			if !s.quarantinedAt.IsZero() || !s.isConvicted() {
				continue
			}
			count := s.separateCrashes()
			if count > most {
				most = count
				convicted = nil
			}
			if count == most {
				convicted = append(convicted, id)
			}
		}
		if len(convicted) == 0 {
			return
		}
		for _, id := range convicted {
			r.begin(id, r.active[id], now, EventQuarantined)
		}
		r.dropExplained()
	}
}

// dropExplained removes the crashes that segments in quarantine explain from all others;
// mu is held.
func (r *Registry) dropExplained() {
	for id, s := range r.active {
		if !s.quarantinedAt.IsZero() {
			continue
		}
		s.crashes = slices.DeleteFunc(s.crashes, r.isExplained)
		if !s.isActive() {
			delete(r.active, id)
		}
	}
}

// dropOldCrashes removes the crashes that no longer count.
func (s *segment) dropOldCrashes(now time.Time) {
	for len(s.crashes) > 0 && now.Sub(s.crashes[0].at) >= evidenceTTL {
		s.crashes = s.crashes[1:]
	}
}

// addProgress adds progress at the given time; mu is held.
func (r *Registry) addProgress(id uint64, s *segment, at time.Time) {
	released := s.addProgress(at)
	if !s.isActive() {
		delete(r.active, id)
	}
	if released {
		r.quarantined.Add(-1)
		r.changed(id, s, EventCleared)
	}
}

// learn begins a quarantine that another entry has begun at the given time. It reports
// false if an answer has gone on with the segment: the other entry may not know of it, and
// what it has seen crash is known here too. mu is held.
func (r *Registry) learn(id uint64, at, now time.Time) bool {
	s := r.segment(id, now)
	if s == nil || !s.quarantinedAt.IsZero() {
		return true
	}
	if !s.progress.IsZero() {
		return false
	}
	r.active[id] = s
	r.begin(id, s, at, EventLearned)
	r.dropExplained()
	return true
}

// begin begins a quarantine; mu is held.
func (r *Registry) begin(id uint64, s *segment, at time.Time, event string) {
	s.quarantinedAt = at
	r.quarantined.Add(1)
	r.changed(id, s, event)
}

// expire ends a quarantine that has lasted for Duration and forgets its evidence; mu is
// held.
func (r *Registry) expire(id uint64, s *segment) {
	delete(r.segments, id)
	delete(r.active, id)
	r.quarantined.Add(-1)
	r.changed(id, s, EventExpired)
}

// appendProgress appends this entry's own progress with a segment, if there is any that
// was not announced a short time ago; mu is held.
func (r *Registry) appendProgress(evidence []Evidence, id uint64, now time.Time) []Evidence {
	s := r.segments[id]
	if s == nil || s.ownProgress.IsZero() || now.Sub(s.announcedProgress) < progressInterval {
		return evidence
	}
	s.announcedProgress = now
	return append(evidence, Progress{Segment: id, Age: now.Sub(s.ownProgress)})
}

// segment returns what is known of a segment, which it adds if there is room; mu is held.
func (r *Registry) segment(id uint64, now time.Time) *segment {
	if r.segments == nil {
		r.segments = make(map[uint64]*segment)
		r.active = make(map[uint64]*segment)
	}
	s := r.segments[id]
	if s == nil {
		if len(r.segments) >= maxSegments && !r.sweep(now) {
			return nil
		}
		s = &segment{}
		r.segments[id] = s
	}
	s.usedAt = now
	return s
}

// sweep removes unused segments, or else one without evidence against it, and reports
// whether there is room for another one; mu is held.
func (r *Registry) sweep(now time.Time) bool {
	if now.Sub(r.lastSweep) >= sweepInterval {
		r.lastSweep = now
		r.removeUnused(now)
	}
	for id, s := range r.segments {
		if len(r.segments) < maxSegments {
			break
		}
		if !s.isActive() {
			delete(r.segments, id)
		}
	}
	return len(r.segments) < maxSegments
}

// removeUnused removes the segments that were not seen for evidenceTTL, and ends the
// quarantines that have lasted for Duration; mu is held.
func (r *Registry) removeUnused(now time.Time) {
	for id, s := range r.segments {
		inQuarantine := !s.quarantinedAt.IsZero()
		switch {
		case inQuarantine && now.Sub(s.quarantinedAt) >= Duration:
			r.expire(id, s)
		case !inQuarantine && now.Sub(s.usedAt) >= evidenceTTL:
			delete(r.segments, id)
			delete(r.active, id)
		}
	}
}

// announce calls Announce, if there is evidence; mu is held.
func (r *Registry) announce(evidence []Evidence) {
	if len(evidence) > 0 && r.Announce != nil {
		r.Announce(evidence)
	}
}

// changed calls Changed; mu is held.
func (r *Registry) changed(id uint64, s *segment, event string) {
	if r.Changed != nil {
		r.Changed(Change{Segment: id, Event: event, Crashes: len(s.crashes)})
	}
}
