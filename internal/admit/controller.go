package admit

import (
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/route"
)

const (
	defaultQueueLimit = 1024
	// holdTimeWeight is the weight of the newest request in the mean hold time.
	holdTimeWeight = 0.05
	// holdDeviations above the mean hold time must be left of a deadline.
	holdDeviations = 2
	minRetryAfter  = time.Second
	maxRetryAfter  = 60 * time.Second
)

// headroomPercent is the part of each server's limit, in percent, that a class leaves
// to more urgent ones.
var headroomPercent = [classCount]int{Interactive: 0, Standard: 8, Batch: 16}

// Decision is what becomes of a request: one of Placed, Queued and Refused.
type Decision interface {
	isDecision()
}

// Placed has a place at a backend server. Call Finish once.
type Placed struct {
	Server *route.Server
}

// Queued waits until Placement or Expire names it.
type Queued struct {
	// GiveUpAt is when the deadline can no longer be met.
	GiveUpAt time.Time
}

// Refused is final and was not dispatched.
type Refused struct {
	// RetryAfter tells when to come back.
	RetryAfter time.Duration
}

func (Placed) isDecision()  {}
func (Queued) isDecision()  {}
func (Refused) isDecision() {}

// Controller admits requests to backend servers. Its zero value works; its
// user guards it against use by several goroutines at once.
type Controller struct {
	// Policy picks servers; nil means route.Balanced.
	Policy        route.Policy
	FailureDomain string
	// QueueLimit bounds the requests that wait; 0 means the default.
	QueueLimit int
	// Query carries the source of random numbers, for tests.
	Query route.Query

	queue queue
	// holdTimes are the times that requests hold a place, by work.
	holdTimes    map[string]holdTime
	meanHoldTime time.Duration
	running      int
}

// Offer decides on a new request. The second result is a waiting request that
// is refused in its favour, or nil.
func (c *Controller) Offer(r *Request, now time.Time) (Decision, *Request) {
	if !route.HasCandidate(r.Servers, r.Tried) {
		return Refused{RetryAfter: minRetryAfter}, nil
	}
	if c.mayBypassQueue(r) {
		server := c.pick(r, now)
		if server != nil {
			return c.dispatch(server, now), nil
		}
	}
	expectedWait := c.expectedWait(r)
	late := now.Add(expectedWait + c.expectedHold(r.Work)).Sub(r.Deadline)
	if late > 0 {
		return Refused{RetryAfter: retryAfter(late)}, nil
	}
	if c.queue.length < orDefault(c.QueueLimit, defaultQueueLimit) {
		return c.enqueue(r, now), nil
	}
	victim := c.queue.victim(r)
	if victim == nil {
		return Refused{RetryAfter: retryAfter(expectedWait)}, nil
	}
	c.queue.remove(victim)
	return c.enqueue(r, now), victim
}

// mayBypassQueue tells whether nothing at least as urgent waits for the same
// servers.
func (c *Controller) mayBypassQueue(r *Request) bool {
	counts := c.queue.queuedByServers[r.serverSet()]
	if counts == nil {
		return true
	}
	for class := range r.Class + 1 {
		if counts[class] > 0 {
			return false
		}
	}
	return true
}

func (c *Controller) enqueue(r *Request, now time.Time) Queued {
	r.queuedAt = now
	c.queue.push(r)
	return Queued{GiveUpAt: c.latestStart(r)}
}

func (c *Controller) latestStart(r *Request) time.Time {
	return r.Deadline.Add(-c.expectedHold(r.Work))
}

func (c *Controller) pick(r *Request, now time.Time) *route.Server {
	c.Query.Now = now
	c.Query.FailureDomain = c.FailureDomain
	c.Query.Prefix = r.Prefix
	c.Query.Tried = r.Tried
	c.Query.Headroom = headroomPercent[r.Class]
	return route.Pick(c.Policy, r.Servers, &c.Query)
}

func (c *Controller) dispatch(server *route.Server, now time.Time) Placed {
	server.Dispatch(now)
	c.running++
	return Placed{Server: server}
}

// Finish gives a place back and learns how long the work held it, unless held
// is 0.
func (c *Controller) Finish(server *route.Server, work string, held time.Duration, now time.Time) {
	server.Finish(now)
	c.running--
	if held == 0 {
		return
	}
	if c.holdTimes == nil {
		c.holdTimes = make(map[string]holdTime)
	}
	c.holdTimes[work] = c.holdTimes[work].observe(held)
	c.meanHoldTime = movingAverage(c.meanHoldTime, held)
}

// holdTime is how long one work's requests hold a place.
type holdTime struct {
	mean      time.Duration
	deviation time.Duration
}

func (h holdTime) observe(held time.Duration) holdTime {
	if h.mean == 0 {
		return holdTime{mean: held}
	}
	return holdTime{
		mean:      movingAverage(h.mean, held),
		deviation: movingAverage(h.deviation, (held - h.mean).Abs()),
	}
}

// upperBound returns a time that most requests keep.
func (h holdTime) upperBound() time.Duration {
	return h.mean + holdDeviations*h.deviation
}

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(holdTimeWeight*float64(sample-mean))
}

// Next places the waiting request that is served next, or returns nil when
// none fits. Call it until it returns nil after a place was given back.
func (c *Controller) Next(now time.Time) (*Request, *route.Server) {
	var server *route.Server
	var full []**route.Server
	r := c.queue.pop(func(r *Request) bool {
		if slices.Contains(full, r.serverSet()) {
			return false
		}
		server = c.pick(r, now)
		if server == nil && r.Tried == nil {
			full = append(full, r.serverSet())
		}
		return server != nil
	})
	if r == nil {
		return nil, nil
	}
	c.dispatch(server, now)
	return r, server
}

// Expire removes a waiting request and returns when its caller should come
// back.
func (c *Controller) Expire(r *Request) time.Duration {
	c.queue.remove(r)
	return retryAfter(c.expectedWait(r))
}

// Remove takes out a waiting request whose caller left.
func (c *Controller) Remove(r *Request) {
	c.queue.remove(r)
}

// Waiting returns the number of requests that wait.
func (c *Controller) Waiting() int {
	return c.queue.length
}

// expectedWait estimates how long a new request would wait: the requests served before
// it, at the pace at which the places held now come free.
func (c *Controller) expectedWait(r *Request) time.Duration {
	if c.meanHoldTime == 0 {
		return 0
	}
	pace := float64(c.meanHoldTime) / float64(max(1, c.running))
	return time.Duration((c.queue.requestsAhead(r) + 1) * pace)
}

func (c *Controller) expectedHold(work string) time.Duration {
	return c.holdTimes[work].upperBound()
}

func retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
