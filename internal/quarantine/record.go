package quarantine

import (
	"slices"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes that quarantine a key on which no
	// answer is known to have gone on.
	crashesToQuarantine = 3
	// provenCrashesToQuarantine is the same for a key on which answers have gone on, but
	// none since the first of these crashes.
	provenCrashesToQuarantine = 5
	// minCrashInterval is the time between two crashes that both count. Servers that end
	// at the same moment have another cause in common than a request.
	minCrashInterval = 50 * time.Millisecond
	// minRestartTime is the least time from the crash of a server until a request is sent
	// to its next run. It exceeds what entries differ in when they notice a crash.
	minRestartTime = 500 * time.Millisecond
	// maxCrashes bounds the crashes that are kept for a key.
	maxCrashes = 16
)

// crash is the end of one server.
type crash struct {
	server uint64
	at     time.Time
	// sentAt is when the request was sent to the server.
	sentAt time.Time
	// answers is the number of answers on prompts that had gone on at this entry when it
	// learned of the crash.
	answers int64
}

// isSameEnd reports whether two crashes are the same end of one run of a server.
func (c crash) isSameEnd(other crash) bool {
	if c.server != other.server {
		return false
	}
	return c.sentAt.Before(other.at.Add(minRestartTime)) && other.sentAt.Before(c.at.Add(minRestartTime))
}

// record is what is known of one key.
type record struct {
	key Key
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
	// usedAt is when the key was last seen.
	usedAt time.Time
}

// addCrash adds the crash of a server and reports whether it is new.
func (r *record) addCrash(c crash) bool {
	if r.hasCrash(c) || len(r.crashes) >= maxCrashes || !c.at.After(r.progress) {
		return false
	}
	i := len(r.crashes)
	for i > 0 && r.crashes[i-1].at.After(c.at) {
		i--
	}
	r.crashes = slices.Insert(r.crashes, i, c)
	return true
}

// hasCrash reports whether this end of the server is known.
func (r *record) hasCrash(c crash) bool {
	return slices.ContainsFunc(r.crashes, c.isSameEnd)
}

// addProgress records that an answer went on at the given time. It reports whether this
// ends a quarantine: the answer is newer, or the crashes do not suffice for a key on which
// answers have gone on.
func (r *record) addProgress(at time.Time) (released bool) {
	if !at.After(r.progress) {
		return false
	}
	r.progress = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.at.After(at) })
	if r.quarantinedAt.IsZero() || !at.After(r.quarantinedAt) && r.isConvicted() {
		return false
	}
	r.quarantinedAt = time.Time{}
	return true
}

// isConvicted reports whether the crashes suffice for a quarantine. Copies of one request
// often crash several servers at once, so that half of its crashes need not be separate.
func (r *record) isConvicted() bool {
	needed := crashesToQuarantine
	if !r.progress.IsZero() {
		needed = provenCrashesToQuarantine
	}
	if isSegment(r.key) {
		return r.separateCrashes() >= needed
	}
	return len(r.crashes) >= needed && r.separateCrashes() > needed/2
}

// separateCrashes counts the crashes that have no cause in common but the key.
func (r *record) separateCrashes() int {
	count := 0
	var last crash
	for _, c := range r.crashes {
		if count == 0 || r.isSeparate(last, c) {
			count++
			last = c
		}
	}
	return count
}

// isSeparate reports whether the later of two crashes counts beside the earlier one.
// Segments are at all servers at most times, so that an answer must have gone on in
// between: while none does, servers have another cause to end, or have ended all. A
// request is at few, and one that was sent after a crash has met a server that still ran.
func (r *record) isSeparate(earlier, later crash) bool {
	apart := later.at.Sub(earlier.at) >= minCrashInterval
	if isSegment(r.key) {
		return apart && later.answers > earlier.answers
	}
	return apart || later.sentAt.After(earlier.at)
}

// isActive reports whether there is evidence against the key.
func (r *record) isActive() bool {
	return len(r.crashes) > 0 || !r.quarantinedAt.IsZero()
}

// dropOldCrashes removes the crashes that no longer count.
func (r *record) dropOldCrashes(now time.Time) {
	for len(r.crashes) > 0 && now.Sub(r.crashes[0].at) >= evidenceTTL {
		r.crashes = r.crashes[1:]
	}
}
