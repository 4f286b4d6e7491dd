package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes that quarantine a segment on which
	// no answer is known to have gone on.
	crashesToQuarantine = 3
	// provenCrashesToQuarantine is the same for a segment on which answers have gone
	// on, but none since the first of these crashes.
	provenCrashesToQuarantine = 5
	// minCrashInterval is the time between two crashes that both count. Servers that end
	// at the same moment have another cause in common than a prompt.
	minCrashInterval = 50 * time.Millisecond
	// maxCrashes bounds the crashes that are kept for a segment.
	maxCrashes = 16
)

// crash is the end of one server.
type crash struct {
	server uint64
	at     time.Time
	// answers is the number of answers, on any segment, that had gone on at this entry
	// when it learned of the crash.
	answers int64
}

// segment is what is known of one prompt segment.
type segment struct {
	// crashes are the crashes since progress, the earliest first.
	crashes []crash
	// progress is when an answer last went on, at any entry, and ownProgress at this
	// one; zero if never.
	progress    time.Time
	ownProgress time.Time
	// announcedProgress is when ownProgress was last told to other entries.
	announcedProgress time.Time
	// quarantinedAt is the begin of the quarantine; zero if there is none.
	quarantinedAt time.Time
	// usedAt is when the segment was last seen.
	usedAt time.Time
}

// addCrash adds the crash of a server and reports whether it is new.
func (s *segment) addCrash(c crash) bool {
	if s.hasCrash(c.server) || len(s.crashes) >= maxCrashes || !c.at.After(s.progress) {
		return false
	}
	i := len(s.crashes)
	for i > 0 && s.crashes[i-1].at.After(c.at) {
		i--
	}
	s.crashes = slices.Insert(s.crashes, i, c)
	return true
}

// hasCrash reports whether the server has crashed under the segment.
func (s *segment) hasCrash(server uint64) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.server == server })
}

// addProgress records that an answer went on at the given time. It reports whether this
// ends a quarantine: the answer is newer, or the crashes do not suffice for a segment on
// which answers have gone on.
func (s *segment) addProgress(at time.Time) (released bool) {
	if !at.After(s.progress) {
		return false
	}
	s.progress = at
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.at.After(at) })
	if s.quarantinedAt.IsZero() || !at.After(s.quarantinedAt) && s.isConvicted() {
		return false
	}
	s.quarantinedAt = time.Time{}
	return true
}

// isConvicted reports whether the crashes suffice for a quarantine.
func (s *segment) isConvicted() bool {
	needed := crashesToQuarantine
	if !s.progress.IsZero() {
		needed = provenCrashesToQuarantine
	}
	return s.separateCrashes() >= needed
}

// separateCrashes counts the crashes that are at least minCrashInterval apart, and between
// which an answer has gone on. While none does, servers have another cause to end, or have
// ended all.
func (s *segment) separateCrashes() int {
	count := 0
	var last crash
	for _, c := range s.crashes {
		if count == 0 || c.at.Sub(last.at) >= minCrashInterval && c.answers > last.answers {
			count++
			last = c
		}
	}
	return count
}

// isActive reports whether there is evidence against the segment.
func (s *segment) isActive() bool {
	return len(s.crashes) > 0 || !s.quarantinedAt.IsZero()
}
