package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	reportFileMode    = 0o600
)

// Report is what the callers of one run saw.
type Report struct {
	Seed     uint64  `json:"seed"`
	Target   string  `json:"target"`
	Rate     float64 `json:"rate"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	// Skipped requests found no room in the load run itself.
	Skipped int             `json:"skipped"`
	Works   map[string]Work `json:"works"`
}

// Work is what the callers of one work saw.
type Work struct {
	Requests int `json:"requests"`
	// InTime answers were whole within the deadline, Late ones after it.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// NotRun refusals were final and not billed.
	NotRun int `json:"not_run"`
	// Unknown outcomes and broken answers were neither whole nor refused.
	Unknown int            `json:"unknown"`
	Retries int            `json:"retries"`
	Codes   map[string]int `json:"codes,omitempty"`
	// AnsweredTokens are the tokens of whole answers, by the engines' count.
	AnsweredTokens int64  `json:"answered_tokens"`
	FirstToken     Figure `json:"first_token"`
	BetweenTokens  Figure `json:"between_tokens"`
	WholeAnswer    Figure `json:"whole_answer"`
	Refusal        Figure `json:"refusal"`

	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

// Figure sums up times in milliseconds.
type Figure struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newWork() *Work {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	return &Work{Codes: make(map[string]int), first: histogram(), between: histogram(), whole: histogram(), refusal: histogram()}
}

// add counts the final outcome of a request.
func (w *Work) add(p planned, began time.Time, o outcome) {
	w.Requests++
	for _, gap := range o.gaps {
		record(w.between, gap)
	}
	if !o.first.IsZero() {
		record(w.first, o.first.Sub(began))
	}
	switch {
	case o.whole:
		w.answered(p, o.end.Sub(began), o.tokens)
	case o.notRun:
		w.NotRun++
		w.Codes[o.code]++
	case o.code != "":
		w.Unknown++
		w.Codes[o.code]++
	default:
		w.Unknown++
		w.Codes["broken_off"]++
	}
}

func (w *Work) answered(p planned, took time.Duration, tokens int64) {
	record(w.whole, took)
	w.AnsweredTokens += tokens
	if took > p.work.Deadline.Or(0) {
		w.Late++
		return
	}
	w.InTime++
}

func (w *Work) sum() Work {
	w.FirstToken = figureOf(w.first)
	w.BetweenTokens = figureOf(w.between)
	w.WholeAnswer = figureOf(w.whole)
	w.Refusal = figureOf(w.refusal)
	return *w
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxMicroseconds, max(1, int64(d/time.Microsecond))))
}

func figureOf(h *hdrhistogram.Histogram) Figure {
	at := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	return Figure{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Write stores the report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Newf("encode report: %w", err)
	}
	err = os.WriteFile(path, append(data, '\n'), reportFileMode)
	if err != nil {
		return errors.Newf("write report: %w", err)
	}
	return nil
}

// ReadReport reads a report that Write stored.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Newf("read report: %w", err)
	}
	r := &Report{}
	err = json.Unmarshal(data, r)
	if err != nil {
		return nil, errors.Newf("decode report %s: %w", path, err)
	}
	return r, nil
}

// Compare prints the works of several runs side by side.
func Compare(output io.Writer, names []string, reports []*Report) error {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WORK\tRUN\tREQUESTS\tIN TIME\tLATE\tNOT RUN\tUNKNOWN\tRETRIES\tFIRST P95\tBETWEEN P95\tWHOLE P95\tREFUSAL P95\tTOKENS")
	for _, work := range workNames(reports) {
		for i, report := range reports {
			f := report.Works[work]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%d\n",
				work, names[i], f.Requests, f.InTime, f.Late, f.NotRun, f.Unknown, f.Retries,
				f.FirstToken.P95, f.BetweenTokens.P95, f.WholeAnswer.P95, f.Refusal.P95, f.AnsweredTokens)
		}
	}
	err := w.Flush()
	if err != nil {
		return errors.Newf("print table: %w", err)
	}
	return nil
}

func workNames(reports []*Report) []string {
	seen := make(map[string]bool)
	var names []string
	for _, report := range reports {
		for name := range report.Works {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}
