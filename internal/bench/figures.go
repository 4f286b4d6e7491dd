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

// Figures are what one run showed of the requests that arrived while it was
// measured.
type Figures struct {
	from       time.Time
	until      time.Time
	dispatches int
	requests   int
	first      *hdrhistogram.Histogram
	firstUser  *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
	classes    [3]classFigures
	tokens     int64
}

type classFigures struct {
	arrived int
	inTime  int
	late    int
	refused int
}

func newFigures() *Figures {
	return &Figures{
		first:     hdrhistogram.New(1, maxMicroseconds, significantDigits),
		firstUser: hdrhistogram.New(1, maxMicroseconds, significantDigits),
		gaps:      hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

func (f *Figures) counts(r *request) bool {
	return !r.arrived.Before(f.from) && r.arrived.Before(f.until)
}

func (f *Figures) arrived(r *request) {
	f.requests++
	if f.counts(r) {
		f.classes[r.work.class].arrived++
	}
}

func (f *Figures) firstToken(r *request, now time.Time) {
	if !f.counts(r) {
		return
	}
	record(f.first, now.Sub(r.arrived))
	if r.work.class == admit.Interactive {
		record(f.firstUser, now.Sub(r.arrived))
	}
}

func (f *Figures) gap(r *request, gap time.Duration) {
	if f.counts(r) {
		record(f.gaps, gap)
	}
}

func (f *Figures) answered(r *request, now time.Time, gone bool) {
	if !f.counts(r) {
		return
	}
	if gone || now.After(r.deadline) {
		f.classes[r.work.class].late++
		return
	}
	f.classes[r.work.class].inTime++
	f.tokens += r.output
}

func (f *Figures) refused(r *request) {
	if f.counts(r) {
		f.classes[r.work.class].refused++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, int64(d/time.Microsecond)))
}

func at95(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(95)) * time.Microsecond
}

// FirstToken95 is the time to the first token that 95 in 100 keep.
func (f *Figures) FirstToken95() time.Duration { return at95(f.first) }

// InteractiveFirstToken95 is FirstToken95 of interactive works.
func (f *Figures) InteractiveFirstToken95() time.Duration { return at95(f.firstUser) }

// Gap95 is the time between tokens that 95 in 100 keep.
func (f *Figures) Gap95() time.Duration { return at95(f.gaps) }

// Goodput is the tokens a second of answers within their deadlines.
func (f *Figures) Goodput() float64 {
	return float64(f.tokens) / f.until.Sub(f.from).Seconds()
}

// InTime is the part of a class's requests answered within their deadlines.
func (f *Figures) InTime(class admit.Class) float64 {
	c := f.classes[class]
	return float64(c.inTime) / float64(max(1, c.arrived))
}

// Refused is the part of a class's requests that ended refused.
func (f *Figures) Refused(class admit.Class) float64 {
	c := f.classes[class]
	return float64(c.refused) / float64(max(1, c.arrived))
}

// AddedLoad is the part of the dispatches that retries added.
func (f *Figures) AddedLoad() float64 {
	return max(0, float64(f.dispatches)/float64(max(1, f.requests))-1)
}
