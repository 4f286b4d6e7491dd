package overload

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// stepInterval is the time between two changes of the level.
	stepInterval = 100 * time.Millisecond
	// onsetDelay is how long the delay must be above the target before the level rises,
	// so that a burst that drains by itself sheds nothing.
	onsetDelay = 200 * time.Millisecond
	// targetDivisor divides the shortest latency target to give the target of the delay: a
	// refusal within an eighth of its latency target costs a caller little.
	targetDivisor = 8
	// minTarget exceeds the delays by which the scheduler of a busy machine wakes a
	// process late.
	minTarget = 20 * time.Millisecond
	// defaultLatencyTarget stands for the latency target of a route without one.
	defaultLatencyTarget = time.Second
	// targetMemory is how long a latency target counts at least after its last request.
	targetMemory = 2 * time.Second

	// integralGain and proportionalGain change the level at each step, by the excess of
	// the delay over the target and by the change of the delay, in targets. The level
	// falls slower than it rises, because the queue refills faster than it is noticed.
	integralGain     = 0.15
	proportionalGain = 0.3
	fallingGain      = 0.01
	// recoveredGain replaces fallingGain once the delay has been below the target for
	// recoveryDelay: the load is then likely to be gone, and not only held off.
	recoveredGain = 0.02
	recoveryDelay = 3 * time.Second
	// maxExcess bounds the excess that one step takes into account, in targets.
	maxExcess = 3

	// maxRefusal is the highest probability of a refusal. The rest of each kind and
	// workspace is admitted, because some callers find no other entry.
	maxRefusal = 0.9
	// refusalRamp is the difference between level and resistance at which the
	// probability of a refusal would be 1.
	refusalRamp = 0.3
	maxLevel    = 1 + maxRefusal*refusalRamp

	// maxFullLink is how long a link counts as full that was congested when echoes ceased to
	// arrive: a full link drops datagrams. After that, a partition is more likely.
	maxFullLink = 10 * time.Second

	// Weights of the parts of a request's resistance; they add up to 1.
	priorityWeight = 0.3
	fairnessWeight = 0.25
	detourWeight   = 0.45
	// detourTime is about what a caller loses that comes back to another entry: the retry
	// delay, a connection and two round trips.
	detourTime = 150 * time.Millisecond
	// smallRequestTime is how long a request occupies the link that occupies the processor
	// for about as long.
	smallRequestTime = 3 * time.Millisecond
)

// Controller decides on requests. It is safe for concurrent use.
type Controller struct {
	// LinkBytesPerSecond is the bandwidth of the entry's link in one direction; 0 means
	// that the size of requests does not matter.
	LinkBytesPerSecond float64
	// Random draws which requests are refused.
	Random *rand.Rand
	// MeasureOnly makes Admit refuse nothing, and Status report a level of 0.
	MeasureOnly bool

	mu      sync.Mutex
	echoes  window
	writes  window
	peers   peerDelays
	targets latencyTargets
	usage   usage
	level   float64
	// steppedAt is the time of the last step, and excess the excess of the delay then.
	steppedAt time.Time
	excess    float64
	// measured is the delay at the last step, if known is set.
	measured time.Duration
	known    bool
	// aboveSince is when the delay rose above the target; zero while it is below.
	// belowSince is the same for the fall below.
	aboveSince, belowSince time.Time
}

// RecordEcho records the queueing delay that a probe has shown.
func (c *Controller) RecordEcho(now time.Time, s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.Lost {
		c.echoes.arrivedAt = now
	}
	if !s.Overdue {
		c.echoes.add(now, s.Delay)
	}
}

// RecordWrite records how long a write to a caller has blocked.
func (c *Controller) RecordWrite(now time.Time, blocked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes.arrivedAt = now
	c.writes.add(now, blocked)
}

// RecordPeer records the delay that a peer states of itself. Peers are told apart by name.
func (c *Controller) RecordPeer(now time.Time, peer string, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers.record(now, peer, delay)
}

// Status returns the state at the given time.
func (c *Controller) Status(now time.Time) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(now)
	target := c.targets.target(now)
	return Status{Delay: c.measured, Known: c.known, Target: target, Level: c.sheddingLevel(), Room: c.peers.room(now, target)}
}

// sheddingLevel returns the level by which requests are shed; mu is held.
func (c *Controller) sheddingLevel() float64 {
	if c.MeasureOnly {
		return 0
	}
	return c.level
}

// Admit decides on a request from what is known before its body is read. It counts the bytes
// of an admitted one to its workspace.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets.record(now, r.LatencyTarget)
	c.step(now)
	if c.MeasureOnly {
		return Admitted{}
	}
	if c.isHopeless(r) {
		return Refused{Reason: Hopeless}
	}
	if c.mayShed(r) && c.Random.Float64() < c.refusalProbability(now, r) {
		return Refused{Reason: Shed}
	}
	c.usage.add(now, r.Workspace, r.Bytes)
	return Admitted{}
}

// refusalProbability returns the probability with which a request is shed.
func (c *Controller) refusalProbability(now time.Time, r Request) float64 {
	return min(maxRefusal, max(0, (c.level-c.resistance(now, r))/refusalRamp))
}

// resistance returns the level, from 0 to 1, up to which a request is not shed. The
// conversions keep products from being fused with sums, so that seeded runs are equal on all
// processors.
func (c *Controller) resistance(now time.Time, r Request) float64 {
	urgency := 1 / float64(1+max(0, r.Priority))
	need := max(0, 1-c.usage.share(now, r.Workspace)/2)
	return float64(priorityWeight*urgency) + float64(fairnessWeight*need) + float64(detourWeight*(1-c.detourGain(r)))
}

// detourGain returns, from 0 to 1, what it gains to send a request's caller to another entry:
// the room that it leaves to others, unless the detour takes much of its latency target.
func (c *Controller) detourGain(r Request) float64 {
	target := r.LatencyTarget
	if target == 0 {
		target = defaultLatencyTarget
	}
	affordable := target.Seconds() / (target + detourTime).Seconds()
	room := 0.5
	if c.LinkBytesPerSecond > 0 {
		busy := float64(r.Bytes) / c.LinkBytesPerSecond
		room = busy / (busy + smallRequestTime.Seconds())
	}
	return affordable * room
}

// delay returns the queueing delay, and false if nothing was measured within the window.
func (c *Controller) delay(now time.Time) (time.Duration, bool) {
	echo, known := c.echoes.quantile(now, echoQuantile)
	write, written := c.writes.quantile(now, writeQuantile)
	if !known && c.isLinkFull(now) {
		return lossTimeout, true
	}
	return max(echo, write), known || written
}

// isLinkFull reports whether echoes have ceased to arrive while requests were shed.
func (c *Controller) isLinkFull(now time.Time) bool {
	return c.level > 0 && now.Sub(c.echoes.arrivedAt) < maxFullLink
}

// step changes the level if stepInterval has passed. After a longer pause it is changed once,
// because samples of the time between are no longer known.
func (c *Controller) step(now time.Time) {
	if now.Sub(c.steppedAt) < stepInterval {
		return
	}
	c.steppedAt = now
	c.measured, c.known = c.delay(now)
	target := c.targets.target(now)
	excess := min(maxExcess, c.measured.Seconds()/target.Seconds()-1)
	change := excess - c.excess
	c.excess = excess
	if !c.known || excess <= 0 {
		c.fall(now, excess)
	} else {
		c.rise(now, excess, change)
	}
	c.level = max(0, min(c.level, maxLevel*c.peers.room(now, target)))
}

// fall changes the level at a step with a delay below the target.
func (c *Controller) fall(now time.Time, excess float64) {
	c.aboveSince = time.Time{}
	if c.belowSince.IsZero() {
		c.belowSince = now
	}
	gain := fallingGain
	if now.Sub(c.belowSince) >= recoveryDelay {
		gain = recoveredGain
	}
	c.level += float64(gain * excess)
}

// rise changes the level at a step with a delay above the target.
func (c *Controller) rise(now time.Time, excess, change float64) {
	c.belowSince = time.Time{}
	if c.aboveSince.IsZero() {
		c.aboveSince = now
	}
	if now.Sub(c.aboveSince) >= onsetDelay {
		c.level += float64(integralGain*excess) + float64(proportionalGain*change)
	}
}
