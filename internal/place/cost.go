package place

import (
	"time"
)

const (
	// stallThreshold is the longest uninterrupted prefill that delays no event
	// of a running stream. At stallThreshold + stallRange, every stream has a
	// late event.
	stallThreshold = 180 * time.Millisecond
	stallRange     = 200 * time.Millisecond
)

var (
	// engineWeights are the weights for model engines. CrossDomain exceeds the
	// extra latency because traffic between failure domains is billed, and
	// Occupancy stands for the slowdown by each request in flight.
	engineWeights = Weights{
		CrossDomain:   4 * time.Millisecond,
		Failure:       2 * time.Second,
		Occupancy:     60 * time.Millisecond,
		Backlog:       1,
		DelayedStream: 40 * time.Millisecond,
		Affinity:      25 * time.Millisecond,
	}
	// plainWeights are the weights for servers that run no model. Occupancy is how
	// long a request holds a slot.
	plainWeights = Weights{
		CrossDomain: 4 * time.Millisecond,
		Failure:     2 * time.Second,
		Occupancy:   25 * time.Millisecond,
	}
	// engineSpeed is the speed of the model engines.
	engineSpeed = Speed{TokensPerMs: 140, PairsPerMs: 3.4e6}
)

// Weights are the parts of the estimated cost of placing a request at a server. Costs
// are times: the estimated time to the first byte, plus penalties.
type Weights struct {
	// CrossDomain is added for a server in another failure domain.
	CrossDomain time.Duration
	// Failure is added at a failure rate of 1; it scales with the rate.
	Failure time.Duration
	// Refusal is added right after the server refused a request.
	Refusal time.Duration
	// Occupancy is added when all slots are in use; it scales with occupancy.
	Occupancy time.Duration
	// Backlog is the part of the prefill backlog that delays the request, from 0
	// to 1.
	Backlog float64
	// DelayedStream is the cost of each running stream that the prompt delays.
	DelayedStream time.Duration
	// Affinity is subtracted for the preferred server of a prompt prefix, so that
	// entries pick the same server before any of them has sent the prefix.
	Affinity time.Duration
}

// Candidate is what is known of a server that may take a request.
type Candidate struct {
	OtherDomain bool
	// FailureRate is the moving average of failed requests, from 0 to 1.
	FailureRate float64
	// Refusal is 1 right after a refusal and falls to 0.
	Refusal float64
	// Running counts requests at the server, and Slots how many run at once.
	Running int
	Slots   int
	// Backlog is the estimated time until the engine has processed the prompts sent
	// to it, and Prefill the time that it then needs for this one.
	Backlog time.Duration
	Prefill time.Duration
	// Preferred is set for the preferred server of the prompt prefix.
	Preferred bool
	// Connect is the time to open a connection to the server; 0 if an idle one can carry the
	// request.
	Connect time.Duration
}

// Cost returns the estimated cost of placing a request at c.
func (w *Weights) Cost(c *Candidate) time.Duration {
	occupancy := float64(c.Running) / float64(c.Slots)
	cost := time.Duration(c.FailureRate*float64(w.Failure)) + time.Duration(occupancy*float64(w.Occupancy))
	if c.OtherDomain {
		cost += w.CrossDomain
	}
	if c.Refusal > 0 {
		cost += time.Duration(c.Refusal * float64(w.Refusal))
	}
	cost += c.Connect + time.Duration(w.Backlog*float64(c.Backlog)) + c.Prefill
	if w.DelayedStream > 0 {
		cost += w.streamDelayCost(c)
	}
	if c.Preferred {
		cost -= w.Affinity
	}
	return cost
}

// streamDelayCost is the cost of delaying the streams that run on the same
// engine: events are late while the engine processes prompts without a break.
func (w *Weights) streamDelayCost(c *Candidate) time.Duration {
	added := stalledFraction(c.Backlog+c.Prefill) - stalledFraction(c.Backlog)
	return time.Duration(added * float64(c.Running) * float64(w.DelayedStream))
}

// stalledFraction returns the fraction of streams, from 0 to 1, that have a
// late event when their engine processes prompts for prefillTime without a
// break.
func stalledFraction(prefillTime time.Duration) float64 {
	return min(1, max(0, float64(prefillTime-stallThreshold)/float64(stallRange)))
}

// Speed is how fast an engine processes prompts.
type Speed struct {
	// TokensPerMs is the number of prompt tokens per millisecond, apart from
	// attention.
	TokensPerMs float64
	// PairsPerMs is the number of token pairs per millisecond that attention
	// processes; 0 means that its time is not counted.
	PairsPerMs float64
}

// Prefill returns how long an engine needs to process tokens that follow cached
// tokens of the same prompt.
func (s Speed) Prefill(cached, tokens int64) time.Duration {
	ms := float64(tokens) / s.TokensPerMs
	if s.PairsPerMs > 0 {
		ms += float64(float64(tokens)*(float64(cached)+float64(float64(tokens)/2))) / s.PairsPerMs
	}
	return time.Duration(ms * float64(time.Millisecond))
}
