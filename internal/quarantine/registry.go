package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Duration is how long a key stays in quarantine.
	Duration = time.Hour
	// evidenceTTL is how long crashes count, and how long an unused key is kept.
	evidenceTTL = 10 * time.Minute
	// freshCrash is how long a single crash is repeated to other entries.
	freshCrash = 10 * time.Second
	// progressInterval is the time between two announcements of progress with one key.
	progressInterval = time.Second
	// maxSegments and maxRequests bound the segments and the requests that are
	// remembered.
	maxSegments = 16384
	maxRequests = 8192
	// sweepInterval is the least time between two removals of unused keys.
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

	// quarantinedSegments and quarantinedRequests count the keys in quarantine.
	quarantinedSegments atomic.Int64
	quarantinedRequests atomic.Int64

	mu sync.Mutex
	// answers counts the answers on prompts that have gone on at this entry.
	answers int64
	records map[Key]*record
	// requests is the number of records whose key is a Request.
	requests int
	// active holds the records with evidence against their keys.
	active    map[Key]*record
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
	Key Key
	// Event is one of the Event constants.
	Event string
	// Crashes is the number of crashes that are known.
	Crashes int
}

// RecordCrash records that a server has ended the connections of requests with the given
// keys before their answers had gone on.
func (r *Registry) RecordCrash(server string, suspects []Suspect, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	number := ServerNumber(server)
	explained := r.anyQuarantined(suspects)
	var announced []Evidence
	for _, s := range suspects {
		if explained && !r.isQuarantined(s.Key) {
			continue
		}
		if r.addCrash(s.Key, crash{server: number, at: now, sentAt: s.SentAt}, now) {
			announced = append(announced, Crash{Key: s.Key, Server: number, SentAge: now.Sub(s.SentAt)})
			announced = r.appendProgress(announced, s.Key, now)
		}
	}
	r.convict(now)
	r.announce(announced)
}

// isQuarantined reports whether a key is in quarantine; mu is held.
func (r *Registry) isQuarantined(key Key) bool {
	known := r.active[key]
	return known != nil && !known.quarantinedAt.IsZero()
}

// anyQuarantined reports whether one of the keys is in quarantine; mu is held.
func (r *Registry) anyQuarantined(suspects []Suspect) bool {
	return slices.ContainsFunc(suspects, func(s Suspect) bool { return r.isQuarantined(s.Key) })
}

// RecordProgress records that an answer to a request with the given keys has gone on
// beyond its begin.
func (r *Registry) RecordProgress(keys []Key, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(keys, isSegment) {
		r.answers++
	}
	var announced []Evidence
	for _, key := range keys {
		known := r.record(key, now)
		if known == nil {
			continue
		}
		wasActive := known.isActive()
		known.ownProgress = now
		r.addProgress(known, now)
		if wasActive {
			announced = r.appendProgress(announced, key, now)
		}
	}
	r.announce(announced)
}

// isSegment reports whether a key is a Segment.
func isSegment(key Key) bool {
	_, ok := key.(Segment)
	return ok
}

// Merge records evidence of other entries.
func (r *Registry) Merge(evidence []Evidence, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var announced []Evidence
	for _, e := range evidence {
		switch e := e.(type) {
		case Crash:
			c := crash{server: e.Server, at: now.Add(-e.Age), sentAt: now.Add(-e.SentAge)}
			if e.Age < evidenceTTL && r.addCrash(e.Key, c, now) {
				announced = r.appendProgress(announced, e.Key, now)
			}
		case Progress:
			known := r.record(e.Key, now)
			if known != nil {
				r.addProgress(known, now.Add(-e.Age))
			}
		case Verdict:
			if e.Age < Duration && !r.learn(e.Key, now.Add(-e.Age), now) {
				announced = r.appendProgress(announced, e.Key, now)
			}
		}
	}
	r.convict(now)
	r.announce(announced)
}

// Remaining returns how long the longest quarantine of the given keys lasts, or 0 if none
// is in quarantine.
func (r *Registry) Remaining(keys []Key, now time.Time) time.Duration {
	if r.Count() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest time.Duration
	for _, key := range keys {
		known := r.active[key]
		if known == nil || known.quarantinedAt.IsZero() {
			continue
		}
		remaining := known.remaining(now)
		if remaining == 0 {
			r.expire(known)
			continue
		}
		longest = max(longest, remaining)
	}
	return longest
}

// Count returns the number of keys in quarantine.
func (r *Registry) Count() int64 {
	return r.quarantinedSegments.Load() + r.quarantinedRequests.Load()
}

// CountRequests returns the number of requests in quarantine.
func (r *Registry) CountRequests() int64 {
	return r.quarantinedRequests.Load()
}

// countQuarantined adds to the number of keys in quarantine of one kind.
func (r *Registry) countQuarantined(key Key, added int64) {
	if isSegment(key) {
		r.quarantinedSegments.Add(added)
		return
	}
	r.quarantinedRequests.Add(added)
}

// Sample returns up to limit random pieces of the evidence to repeat to other entries:
// verdicts, the crashes that are recent or not the only one of their key, and this entry's
// progress with their keys.
func (r *Registry) Sample(limit int, now time.Time) []Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var evidence []Evidence
	for key, known := range r.active {
		age := now.Sub(known.quarantinedAt)
		if !known.quarantinedAt.IsZero() && age >= Duration {
			r.expire(known)
			continue
		}
		if !known.quarantinedAt.IsZero() {
			evidence = append(evidence, Verdict{Key: key, Age: age})
			continue
		}
		if !known.ownProgress.IsZero() {
			evidence = append(evidence, Progress{Key: key, Age: now.Sub(known.ownProgress)})
		}
		for _, c := range known.crashes {
			age := now.Sub(c.at)
			if age < freshCrash || len(known.crashes) > 1 && age < evidenceTTL {
				evidence = append(evidence, Crash{Key: key, Server: c.server, Age: age, SentAge: now.Sub(c.sentAt)})
			}
		}
	}
	rand.Shuffle(len(evidence), func(i, j int) { evidence[i], evidence[j] = evidence[j], evidence[i] })
	return evidence[:min(limit, len(evidence))]
}

// addCrash adds a crash, unless a segment in quarantine explains it, and reports whether it
// is new; mu is held.
func (r *Registry) addCrash(key Key, c crash, now time.Time) bool {
	known := r.record(key, now)
	if known == nil {
		return false
	}
	known.dropOldCrashes(now)
	c.answers = r.answers
	if known.quarantinedAt.IsZero() && r.isExplained(c) || !known.addCrash(c) {
		return false
	}
	r.active[key] = known
	return true
}

// isExplained reports whether the server has crashed under a segment in quarantine; mu is
// held. A request in quarantine explains nothing: its crashes may be those of a segment
// that it has.
func (r *Registry) isExplained(c crash) bool {
	for key, known := range r.active {
		if isSegment(key) && !known.quarantinedAt.IsZero() && known.hasCrash(c) {
			return true
		}
	}
	return false
}

// convict begins the quarantine of the keys whose crashes suffice, those with most
// crashes first: these explain the crashes of keys that share requests with them. mu is
// held.
func (r *Registry) convict(now time.Time) {
	for {
		var convicted []*record
		most := 0
		for _, known := range r.active {
			if !known.quarantinedAt.IsZero() || !known.isConvicted() {
				continue
			}
			count := known.separateCrashes()
			if count > most {
				most = count
				convicted = nil
			}
			if count == most {
				convicted = append(convicted, known)
			}
		}
		if len(convicted) == 0 {
			return
		}
		for _, known := range convicted {
			r.begin(known, now, EventQuarantined)
		}
		r.dropExplained()
	}
}

// dropExplained removes the crashes that segments in quarantine explain from all others;
// mu is held.
func (r *Registry) dropExplained() {
	for key, known := range r.active {
		if !known.quarantinedAt.IsZero() {
			continue
		}
		known.crashes = slices.DeleteFunc(known.crashes, r.isExplained)
		if !known.isActive() {
			delete(r.active, key)
		}
	}
}

// addProgress adds progress at the given time; mu is held.
func (r *Registry) addProgress(known *record, at time.Time) {
	released := known.addProgress(at)
	if !known.isActive() {
		delete(r.active, known.key)
	}
	if released {
		r.countQuarantined(known.key, -1)
		r.changed(known, EventCleared)
	}
}

// learn begins a quarantine that another entry has begun at the given time. It reports
// false if an answer has gone on with the key: the other entry may not know of it, and
// what it has seen crash is known here too. mu is held.
func (r *Registry) learn(key Key, at, now time.Time) bool {
	known := r.record(key, now)
	if known == nil || !known.quarantinedAt.IsZero() {
		return true
	}
	if !known.progress.IsZero() {
		return false
	}
	r.active[key] = known
	r.begin(known, at, EventLearned)
	r.dropExplained()
	return true
}

// begin begins a quarantine; mu is held.
func (r *Registry) begin(known *record, at time.Time, event string) {
	known.quarantinedAt = at
	r.countQuarantined(known.key, 1)
	r.changed(known, event)
}

// expire ends a quarantine that has lasted for Duration and forgets its evidence; mu is
// held.
func (r *Registry) expire(known *record) {
	r.remove(known)
	r.countQuarantined(known.key, -1)
	r.changed(known, EventExpired)
}

// remove forgets a key; mu is held.
func (r *Registry) remove(known *record) {
	delete(r.records, known.key)
	delete(r.active, known.key)
	if !isSegment(known.key) {
		r.requests--
	}
}

// appendProgress appends this entry's own progress with a key, if there is any that was
// not announced a short time ago; mu is held.
func (r *Registry) appendProgress(evidence []Evidence, key Key, now time.Time) []Evidence {
	known := r.records[key]
	if known == nil || known.ownProgress.IsZero() || now.Sub(known.announcedProgress) < progressInterval {
		return evidence
	}
	known.announcedProgress = now
	return append(evidence, Progress{Key: key, Age: now.Sub(known.ownProgress)})
}

// record returns what is known of a key, which it adds if there is room; mu is held.
func (r *Registry) record(key Key, now time.Time) *record {
	if r.records == nil {
		r.records = make(map[Key]*record)
		r.active = make(map[Key]*record)
	}
	known := r.records[key]
	if known == nil {
		if !r.hasRoom(key) && !r.sweep(key, now) {
			return nil
		}
		known = &record{key: key}
		r.records[key] = known
		if !isSegment(key) {
			r.requests++
		}
	}
	known.usedAt = now
	return known
}

// hasRoom reports whether another key of the same kind may be remembered; mu is held.
func (r *Registry) hasRoom(key Key) bool {
	if isSegment(key) {
		return len(r.records)-r.requests < maxSegments
	}
	return r.requests < maxRequests
}

// sweep removes unused keys, or else one of the kind of the given key without evidence
// against it, and reports whether there is room for that key; mu is held.
func (r *Registry) sweep(key Key, now time.Time) bool {
	if now.Sub(r.lastSweep) >= sweepInterval {
		r.lastSweep = now
		r.removeUnused(now)
	}
	for other, known := range r.records {
		if r.hasRoom(key) {
			break
		}
		if isSegment(other) == isSegment(key) && !known.isActive() {
			r.remove(known)
		}
	}
	return r.hasRoom(key)
}

// removeUnused removes the keys that were not seen for evidenceTTL, and ends the
// quarantines that have lasted for Duration; mu is held.
func (r *Registry) removeUnused(now time.Time) {
	for _, known := range r.records {
		inQuarantine := !known.quarantinedAt.IsZero()
		switch {
		case inQuarantine && now.Sub(known.quarantinedAt) >= Duration:
			r.expire(known)
		case !inQuarantine && now.Sub(known.usedAt) >= evidenceTTL:
			r.remove(known)
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
func (r *Registry) changed(known *record, event string) {
	if r.Changed != nil {
		r.Changed(Change{Key: known.key, Event: event, Crashes: len(known.crashes)})
	}
}
