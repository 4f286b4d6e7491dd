package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cactusbay/cactusbay/internal/admit"
)

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// firstTokenGoal and gapGoal are the users' targets for 95 in 100.
	firstTokenGoal = 1900 * time.Millisecond
	gapGoal        = 46 * time.Millisecond
)

// Results are what one run showed of the requests that arrived while it was
// measured.
type Results struct {
	from                   time.Time
	until                  time.Time
	dispatches             int
	requests               int
	firstTokens            *hdrhistogram.Histogram
	interactiveFirstTokens *hdrhistogram.Histogram
	gaps                   *hdrhistogram.Histogram
	classes                [3]classResults
	tokens                 int64
}

type classResults struct {
	arrived int
	inTime  int
	late    int
	refused int
}

func newResults() *Results {
	return &Results{
		firstTokens:            hdrhistogram.New(1, maxMicroseconds, significantDigits),
		interactiveFirstTokens: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		gaps:                   hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

func (res *Results) inWindow(r *request) bool {
	return !r.arrived.Before(res.from) && r.arrived.Before(res.until)
}

func (res *Results) arrived(r *request) {
	res.requests++
	if res.inWindow(r) {
		res.classes[r.work.class].arrived++
	}
}

func (res *Results) firstToken(r *request, now time.Time) {
	if !res.inWindow(r) {
		return
	}
	record(res.firstTokens, now.Sub(r.arrived))
	if r.work.class == admit.Interactive {
		record(res.interactiveFirstTokens, now.Sub(r.arrived))
	}
}

func (res *Results) gap(r *request, gap time.Duration) {
	if res.inWindow(r) {
		record(res.gaps, gap)
	}
}

func (res *Results) answered(r *request, now time.Time, abandoned bool) {
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

func (res *Results) refused(r *request) {
	if res.inWindow(r) {
		res.classes[r.work.class].refused++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, int64(d/time.Microsecond)))
}

func p95(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

// FirstTokenP95 is the time to the first token that 95 in 100 keep.
func (res *Results) FirstTokenP95() time.Duration { return p95(res.firstTokens) }

// InteractiveFirstTokenP95 is FirstToken95 of interactive works.
func (res *Results) InteractiveFirstTokenP95() time.Duration { return p95(res.interactiveFirstTokens) }

// GapP95 is the time between tokens that 95 in 100 keep.
func (res *Results) GapP95() time.Duration { return p95(res.gaps) }

// Goodput is the tokens a second of answers within their deadlines.
func (res *Results) Goodput() float64 {
	return float64(res.tokens) / res.until.Sub(res.from).Seconds()
}

// InTime is the part of a class's requests answered within their deadlines.
func (res *Results) InTime(class admit.Class) float64 {
	c := res.classes[class]
	return float64(c.inTime) / float64(max(1, c.arrived))
}

// Refused is the part of a class's requests that ended refused.
func (res *Results) Refused(class admit.Class) float64 {
	c := res.classes[class]
	return float64(c.refused) / float64(max(1, c.arrived))
}

// AddedLoad is the part of the dispatches that retries added.
func (res *Results) AddedLoad() float64 {
	return max(0, float64(res.dispatches)/float64(max(1, res.requests))-1)
}
