package admit

import (
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/route"
)

const (
	// defaultQueueLimit is the queue limit when Controller.QueueLimit is 0.
	defaultQueueLimit = 1024
	// holdTimeWeight is the weight of the newest request in the moving average
	// of hold times.
	holdTimeWeight = 0.05
	// holdDeviations is how many mean deviations above the mean hold time must
	// remain before the deadline for a request to be dispatched.
	holdDeviations = 2
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// headroomPercent is the percentage of each server's limit that a class leaves
// free for more urgent classes.
var headroomPercent = [classCount]int{Interactive: 0, Standard: 8, Batch: 16}

// Decision is the result of Controller.Offer: Placed, Queued or Refused.
type Decision interface {
	isDecision()
}

// Placed means that the request may be sent to Server now. Call
// Controller.Finish once when it ends.
type Placed struct {
	Server *route.Server
}

// Queued means that the request waits until Controller.Next returns it or
// Controller.Expire or Controller.Remove removes it.
type Queued struct {
	// GiveUpAt is when the deadline can no longer be met; call
	// Controller.Expire then.
	GiveUpAt time.Time
}

// Refused means that the request was neither dispatched nor queued.
type Refused struct {
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

func (Placed) isDecision()  {}
func (Queued) isDecision()  {}
func (Refused) isDecision() {}

// Controller admits requests to backend servers. Its zero value is ready to
// use. It is not safe for concurrent use.
type Controller struct {
	// Policy picks servers; nil means route.LowestCost.
	Policy        route.Policy
	FailureDomain string
	// QueueLimit bounds the number of queued requests; 0 means the default of
	// 1024.
	QueueLimit int
	// Query holds the random source in tests; the other fields are overwritten.
	Query route.Query

	queue queue
	// prefixes remembers which servers hold which prompt prefixes.
	prefixes route.Prefixes
	// holdTimes estimates, per work, how long a request occupies a server slot.
	// meanHoldTime is the moving average over all works.
	holdTimes    map[string]holdTime
	meanHoldTime time.Duration
	// running is the number of dispatched requests.
	running int
}

// Offer decides on a new request. When the queue is full, the second result is
// the queued request that is refused in favour of r, or nil; Controller.Expire
// returns its retry delay.
func (c *Controller) Offer(r *Request, now time.Time) (Decision, *Request) {
	if !route.HasCandidate(r.Servers, r.Tried) {
		return Refused{RetryAfter: minRetryAfter}, nil
	}
	if c.mayBypassQueue(r) {
		server := c.pick(r, now)
		if server != nil {
			return c.dispatch(server), nil
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

// mayBypassQueue reports whether no request of the same or a more urgent class
// is queued for the same servers.
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

// enqueue queues r.
func (c *Controller) enqueue(r *Request, now time.Time) Queued {
	r.queuedAt = now
	c.queue.push(r)
	return Queued{GiveUpAt: c.latestStart(r)}
}

// latestStart returns the latest dispatch time at which r can still meet its
// deadline.
func (c *Controller) latestStart(r *Request) time.Time {
	return r.Deadline.Add(-c.expectedHold(r.Work))
}

// pick returns a server with room for r, or nil.
func (c *Controller) pick(r *Request, now time.Time) *route.Server {
	c.Query.Now = now
	c.Query.FailureDomain = c.FailureDomain
	c.Query.Prompt = r.Prompt
	c.Query.Prefixes = &c.prefixes
	c.Query.Tried = r.Tried
	c.Query.Headroom = headroomPercent[r.Class]
	return route.Pick(c.Policy, r.Servers, &c.Query)
}

// dispatch counts a request as in progress at server.
func (c *Controller) dispatch(server *route.Server) Placed {
	c.Query.Dispatch(server)
	c.running++
	return Placed{Server: server}
}

// Finish frees the slot of a dispatched request. held is how long the request
// occupied it and updates the estimates; 0 means that it must not count.
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

// holdTime holds moving averages of how long the requests of one work occupy a
// server slot.
type holdTime struct {
	mean      time.Duration
	deviation time.Duration
}

// observe returns h updated by one request.
func (h holdTime) observe(held time.Duration) holdTime {
	if h.mean == 0 {
		return holdTime{mean: held}
	}
	return holdTime{
		mean:      movingAverage(h.mean, held),
		deviation: movingAverage(h.deviation, (held - h.mean).Abs()),
	}
}

// upperBound returns a time within which most requests end.
func (h holdTime) upperBound() time.Duration {
	return h.mean + holdDeviations*h.deviation
}

// movingAverage adds a sample to an exponential moving average; a mean of 0
// means no samples yet.
func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(holdTimeWeight*float64(sample-mean))
}

// Next dispatches the queued request that is due next and returns it with its
// server, or nil if no queued request can be placed. After Finish, call it until
// it returns nil.
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
	c.dispatch(server)
	return r, server
}

// Expire removes a request if it is queued, and returns the time after which a
// retry may succeed.
func (c *Controller) Expire(r *Request) time.Duration {
	c.queue.remove(r)
	return retryAfter(c.expectedWait(r))
}

// Remove removes a queued request whose caller disconnected.
func (c *Controller) Remove(r *Request) {
	c.queue.remove(r)
}

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int {
	return c.queue.length
}

// expectedWait estimates how long a new request would be queued: the number of
// requests ahead of it times the mean interval at which the slots in use become
// free.
func (c *Controller) expectedWait(r *Request) time.Duration {
	if c.meanHoldTime == 0 {
		return 0
	}
	pace := float64(c.meanHoldTime) / float64(max(1, c.running))
	return time.Duration((c.queue.requestsAhead(r) + 1) * pace)
}

// expectedHold returns how long a request of the given work is expected to
// occupy a server slot at most.
func (c *Controller) expectedHold(work string) time.Duration {
	return c.holdTimes[work].upperBound()
}

// retryAfter bounds a wait to a reasonable retry delay.
func retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
