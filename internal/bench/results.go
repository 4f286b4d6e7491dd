package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cactusbay/cactusbay/internal/admit"
)

const (
	// maxMicroseconds is the longest duration that the histograms record.
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// firstTokenGoal and gapGoal are the users' latency targets for the 95th
	// percentile.
	firstTokenGoal = 1900 * time.Millisecond
	gapGoal        = 46 * time.Millisecond
)

// Results holds the measurements of one run. Except for dispatches and
// requests, they cover the requests that arrived from the time from until the
// time until.
type Results struct {
	from  time.Time
	until time.Time
	// dispatches counts all attempts, and requests all requests, of the whole
	// run.
	dispatches             int
	requests               int
	firstTokens            *hdrhistogram.Histogram
	interactiveFirstTokens *hdrhistogram.Histogram
	gaps                   *hdrhistogram.Histogram
	classes                [3]classResults
	// tokens counts the output tokens of responses that met their deadline.
	tokens int64
}

// classResults counts the requests of one class.
type classResults struct {
	arrived int
	inTime  int
	late    int
	refused int
}

// newResults returns empty results.
func newResults() *Results {
	return &Results{
		firstTokens:            hdrhistogram.New(1, maxMicroseconds, significantDigits),
		interactiveFirstTokens: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		gaps:                   hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

// inWindow reports whether r arrived within the measured time.
func (res *Results) inWindow(r *request) bool {
	return !r.arrived.Before(res.from) && r.arrived.Before(res.until)
}

// arrived counts a new request.
func (res *Results) arrived(r *request) {
	res.requests++
	if res.inWindow(r) {
		res.classes[r.work.class].arrived++
	}
}

// firstToken records the time to the first token.
func (res *Results) firstToken(r *request, now time.Time) {
	if !res.inWindow(r) {
		return
	}
	record(res.firstTokens, now.Sub(r.arrived))
	if r.work.class == admit.Interactive {
		record(res.interactiveFirstTokens, now.Sub(r.arrived))
	}
}

// gap records the time between two tokens of a response.
func (res *Results) gap(r *request, gap time.Duration) {
	if res.inWindow(r) {
		record(res.gaps, gap)
	}
}

// ended counts a request whose response has ended. It is late if the caller
// abandoned it or its deadline has passed.
func (res *Results) ended(r *request, now time.Time, abandoned bool) {
	if !res.inWindow(r) {
		return
	}
	if abandoned || now.After(r.deadline) {
		res.classes[r.work.class].late++
		return
	}
	res.classes[r.work.class].inTime++
	res.tokens += r.output
}

// refused counts a request that the caller gave up after a refusal.
func (res *Results) refused(r *request) {
	if res.inWindow(r) {
		res.classes[r.work.class].refused++
	}
}

// record adds a duration to a histogram. Durations above maxMicroseconds are
// dropped.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, int64(d/time.Microsecond)))
}

// p95 returns the 95th percentile of a histogram.
func p95(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

// FirstTokenP95 returns the 95th percentile of the time from arrival to first
// token.
func (res *Results) FirstTokenP95() time.Duration { return p95(res.firstTokens) }

// InteractiveFirstTokenP95 is FirstTokenP95 for interactive requests only.
func (res *Results) InteractiveFirstTokenP95() time.Duration { return p95(res.interactiveFirstTokens) }

// GapP95 returns the 95th percentile of the time between tokens.
func (res *Results) GapP95() time.Duration { return p95(res.gaps) }

// Goodput returns the output tokens per second of responses that met their
// deadline.
func (res *Results) Goodput() float64 {
	return float64(res.tokens) / res.until.Sub(res.from).Seconds()
}

// InTime returns the fraction of a class's requests whose responses were complete
// by their deadline.
func (res *Results) InTime(class admit.Class) float64 {
	c := res.classes[class]
	return float64(c.inTime) / float64(max(1, c.arrived))
}

// Refused returns the fraction of a class's requests that were finally refused.
func (res *Results) Refused(class admit.Class) float64 {
	c := res.classes[class]
	return float64(c.refused) / float64(max(1, c.arrived))
}

// AddedLoad returns the number of dispatches beyond one per request, as a
// fraction of the requests.
func (res *Results) AddedLoad() float64 {
	return max(0, float64(res.dispatches)/float64(max(1, res.requests))-1)
}
