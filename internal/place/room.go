package place

import (
	"math"
	"time"
)

const (
	// occupancyFall is the factor on the occupancy at which a server counts as full, for
	// each step to a less urgent priority. Below minOccupancy, slots would stay unused where
	// all requests have the same priority.
	occupancyFall = 0.6
	minOccupancy  = 0.9
	// urgencyDelay is the factor by which the first event is expected later for each step to
	// a less urgent priority: engines serve more urgent requests first that come later.
	urgencyDelay = 2.0
	// priorityClasses is the number of priorities that are told apart; the last one
	// includes all that are less urgent.
	priorityClasses = 8
	// missMemory is the time constant with which the counts of requests decay. missPrior is
	// the number of requests in time that is added to each class, so that a few misses
	// weigh little.
	missMemory = 4 * time.Second
	missPrior  = 10
	// missMargin is how much larger the missed part of a more urgent class must be for a
	// less urgent class to yield.
	missMargin = 0.05
	// grantedShare is the part of the requests of each class that may use the room of the
	// most urgent ones, so that no class is starved by more urgent ones.
	grantedShare = 0.05
	// minRoomWait and maxRoomWait bound the time after which a refused request may come
	// again.
	minRoomWait = 20 * time.Millisecond
	maxRoomWait = 10 * time.Second
)

// urgency says how much room a request may use.
type urgency struct {
	// maxOccupancy is the number of requests, running and queued, per slot at which a
	// server counts as full.
	maxOccupancy float64
	// delay is the factor by which more urgent requests lengthen the time to the first event.
	delay float64
}

// mostUrgent is the urgency of priority 0.
var mostUrgent = urgency{maxOccupancy: maxOccupancy, delay: 1}

// urgencyOf returns the urgency of requests of a priority.
func urgencyOf(priority int) urgency {
	steps := float64(min(max(0, priority), priorityClasses-1))
	return urgency{
		maxOccupancy: max(minOccupancy, maxOccupancy*math.Pow(occupancyFall, steps)),
		delay:        math.Pow(urgencyDelay, steps),
	}
}

// lateBy returns by how much the first event is expected after the caller's time, at a server
// that would send it after the given time if it served in order of arrival; 0 if it is
// expected in time.
func (q *Query) lateBy(firstEvent time.Duration) time.Duration {
	if q.TimeLeft <= 0 {
		return 0
	}
	expected := time.Duration(q.urgency.delay * float64(firstEvent))
	if expected <= q.TimeLeft {
		return 0
	}
	return roomWait(expected - q.TimeLeft)
}

// roomWait returns the time after which a refused request may come again, within its bounds.
func roomWait(d time.Duration) time.Duration {
	return min(maxRoomWait, max(minRoomWait, d))
}

// class groups requests by priority, and by whether the prompt is longer than the mean.
type class struct {
	priority int
	large    bool
}

// classCounts counts the recent requests of a class.
type classCounts struct {
	requests float64
	// missed counts requests that were refused or got no first event in time.
	missed float64
	// grants is how many requests may use the room of the most urgent ones.
	grants float64
	// retryAfter is the wait that the last refusal stated.
	retryAfter time.Duration
}

// missedShare returns the part of the recent requests that was missed.
func (c *classCounts) missedShare() float64 {
	return c.missed / (c.requests + missPrior)
}

// room is the room that an upstream's servers keep for urgent requests, as this entry uses
// it. Its zero value has seen no request.
type room struct {
	at      time.Time
	classes [priorityClasses][2]classCounts
	// promptTokens is the mean length of a prompt.
	promptTokens float64
}

// classOf returns the class of a request.
func (r *room) classOf(q *Query) class {
	return class{
		priority: min(max(0, q.Priority), priorityClasses-1),
		large:    q.Prompt != nil && float64(q.Prompt.Tokens) > r.promptTokens,
	}
}

func (r *room) counts(c class) *classCounts {
	if c.large {
		return &r.classes[c.priority][1]
	}
	return &r.classes[c.priority][0]
}

// arrive counts a request and returns its class.
func (r *room) arrive(q *Query) class {
	kept := math.Exp(-max(0, q.Now.Sub(r.at).Seconds()) / missMemory.Seconds())
	r.at = q.Now
	for priority := range r.classes {
		for size := range r.classes[priority] {
			c := &r.classes[priority][size]
			c.requests *= kept
			c.missed *= kept
		}
	}
	own := r.classOf(q)
	c := r.counts(own)
	c.requests++
	c.grants = min(1, c.grants+grantedShare)
	if q.Prompt != nil {
		r.promptTokens += float64(meanTimeWeight * (float64(q.Prompt.Tokens) - r.promptTokens))
	}
	return own
}

// yieldFor returns how long requests of a class are refused because a larger part of the
// requests of a more urgent one was missed; 0 if they are not. queueTime is the mean time to
// the first event, after which other requests are queued.
func (r *room) yieldFor(own class, queueTime time.Duration) time.Duration {
	worst := r.counts(own).missedShare() + missMargin
	var wait time.Duration
	for priority := range r.classes[:own.priority] {
		for size := range r.classes[priority] {
			c := &r.classes[priority][size]
			if c.missedShare() > worst {
				worst = c.missedShare()
				wait = roomWait(max(queueTime, c.retryAfter))
			}
		}
	}
	return wait
}

// useGrant reports whether a request of a class without room may use that of the most urgent
// ones, and counts it.
func (r *room) useGrant(own class) bool {
	c := r.counts(own)
	if c.grants < 1 {
		return false
	}
	c.grants = 0
	return true
}

// refuse counts a request of a class as refused.
func (r *room) refuse(own class, retryAfter time.Duration) {
	c := r.counts(own)
	c.missed++
	c.retryAfter = retryAfter
}

// pickAdaptive picks a server of an upstream whose servers' loads are estimated; mu is held.
func (f *Fleet) pickAdaptive(u *upstreamState, q *Query) (cheapest *server, full time.Duration) {
	q.urgency = urgencyOf(q.Priority)
	if len(q.Tried) > 0 {
		return f.cheapestEligible(q)
	}
	own := u.room.arrive(q)
	full = u.room.yieldFor(own, u.firstEventTime.or(defaultFirstEvent))
	if q.trace != nil {
		q.trace.yields = full > 0
	}
	if full == 0 {
		cheapest, full = f.cheapestEligible(q)
	}
	if cheapest == nil && full > 0 && u.room.useGrant(own) {
		q.urgency, q.granted, q.late = mostUrgent, true, false
		cheapest, full = f.cheapestEligible(q)
	}
	if cheapest == nil && full > 0 {
		u.room.refuse(own, full)
	}
	return cheapest, full
}

// recordFirstEventInTime records whether the first event came before its caller's time was
// over; mu is held.
func (p *Placement) recordFirstEventInTime(u *upstreamState, inTime bool) {
	if !inTime && p.expected.timeLeft > 0 {
		u.room.counts(p.expected.class).missed++
	}
}
