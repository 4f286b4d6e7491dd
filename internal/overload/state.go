package overload

import "time"

const (
	// peerMemory is how long the delay that a peer has stated counts.
	peerMemory = 2 * time.Second
	// usageDecaySteps is the time constant, in steps, with which the recent bytes of
	// workspaces decay: 2 s.
	usageDecaySteps = 20
	// maxDecaySteps is the number of steps after which all recent bytes are forgotten.
	maxDecaySteps = 10 * usageDecaySteps
	// minUsedBytes is the number of bytes below which a workspace is forgotten.
	minUsedBytes = 100
	// maxPeerDelays bounds the peers whose delays are kept.
	maxPeerDelays = 64
)

// peerDelays holds the delays that peers have stated. Its zero value is ready to use.
type peerDelays struct {
	stated map[string]peerDelay
}

type peerDelay struct {
	at    time.Time
	delay time.Duration
}

func (p *peerDelays) record(now time.Time, peer string, delay time.Duration) {
	if p.stated == nil {
		p.stated = make(map[string]peerDelay)
	}
	for name, s := range p.stated {
		if now.Sub(s.at) > peerMemory {
			delete(p.stated, name)
		}
	}
	if len(p.stated) < maxPeerDelays {
		p.stated[peer] = peerDelay{at: now, delay: delay}
	}
}

// room returns the share of the peers with a recent statement whose delay is below target.
// It is 1 if there is none.
func (p *peerDelays) room(now time.Time, target time.Duration) float64 {
	known, free := 0, 0
	for _, s := range p.stated {
		if now.Sub(s.at) > peerMemory {
			continue
		}
		known++
		if s.delay < target {
			free++
		}
	}
	if known == 0 {
		return 1
	}
	return float64(free) / float64(known)
}

// latencyTargets holds the shortest latency target of the recent requests, in two periods of
// targetMemory. Its zero value is ready to use.
type latencyTargets struct {
	current, previous time.Duration
	since             time.Time
}

func (l *latencyTargets) record(now time.Time, target time.Duration) {
	if target <= 0 {
		target = defaultLatencyTarget
	}
	l.rotate(now)
	if l.current == 0 || target < l.current {
		l.current = target
	}
}

func (l *latencyTargets) rotate(now time.Time) {
	switch age := now.Sub(l.since); {
	case age < targetMemory:
	case age < 2*targetMemory:
		l.previous, l.current, l.since = l.current, 0, now
	default:
		l.previous, l.current, l.since = 0, 0, now
	}
}

// target returns the target of the delay.
func (l *latencyTargets) target(now time.Time) time.Duration {
	l.rotate(now)
	shortest := defaultLatencyTarget
	switch {
	case l.current > 0 && l.previous > 0:
		shortest = min(l.current, l.previous)
	case l.current+l.previous > 0:
		shortest = l.current + l.previous
	}
	return max(minTarget, shortest/targetDivisor)
}

// usage holds the recently admitted bytes by workspace. They are whole numbers, so that sums
// do not depend on the order of a map. Its zero value is ready to use.
type usage struct {
	bytes map[string]int64
	total int64
	at    time.Time
}

// add adds the bytes of an admitted request.
func (u *usage) add(now time.Time, workspace string, bytes int64) {
	u.decay(now)
	if u.bytes == nil {
		u.bytes = make(map[string]int64)
	}
	u.bytes[workspace] += bytes
	u.total += bytes
}

// decay reduces all bytes by a twentieth for each stepInterval since the last call.
func (u *usage) decay(now time.Time) {
	steps := int64(now.Sub(u.at) / stepInterval)
	if steps <= 0 {
		return
	}
	u.at = now
	if steps > maxDecaySteps {
		clear(u.bytes)
		u.total = 0
		return
	}
	u.total = 0
	for name, bytes := range u.bytes {
		for range steps {
			bytes -= bytes / usageDecaySteps
		}
		if bytes < minUsedBytes {
			delete(u.bytes, name)
			continue
		}
		u.bytes[name] = bytes
		u.total += bytes
	}
}

// share returns the bytes of a workspace as a multiple of its fair share, which is equal
// for all workspaces with recent bytes and this one.
func (u *usage) share(now time.Time, workspace string) float64 {
	u.decay(now)
	if u.total == 0 {
		return 0
	}
	count := len(u.bytes)
	if _, ok := u.bytes[workspace]; !ok {
		count++
	}
	return float64(u.bytes[workspace]) * float64(count) / float64(u.total)
}
