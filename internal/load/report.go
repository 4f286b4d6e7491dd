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

// Report is the result of one run as seen by its callers.
type Report struct {
	Seed     uint64  `json:"seed"`
	Target   string  `json:"target"`
	Rate     float64 `json:"rate"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	// Skipped counts planned requests that were not sent because too many were
	// in flight.
	Skipped int                    `json:"skipped"`
	Works   map[string]WorkResults `json:"works"`
}

// WorkResults are the results of the requests of one work.
type WorkResults struct {
	Requests int `json:"requests"`
	// InTime and Late count complete responses within and after the deadline.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// NotRun counts requests whose last response was a refusal without execution
	// or billing.
	NotRun int `json:"not_run"`
	// Unknown counts requests that ended with neither a complete response nor
	// such a refusal, for example with a broken stream.
	Unknown int            `json:"unknown"`
	Retries int            `json:"retries"`
	Codes   map[string]int `json:"codes,omitempty"`
	// ResponseTokens is the sum of the tokens of complete responses, as reported
	// by the engines.
	ResponseTokens int64          `json:"answered_tokens"`
	FirstToken     LatencySummary `json:"first_token"`
	BetweenTokens  LatencySummary `json:"between_tokens"`
	WholeResponse  LatencySummary `json:"whole_answer"`
	Refusal        LatencySummary `json:"refusal"`

	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	wholeResponse *hdrhistogram.Histogram
	refusal       *hdrhistogram.Histogram
}

// LatencySummary holds the count, percentiles and maximum of a set of latencies,
// in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newWorkResults() *WorkResults {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	return &WorkResults{Codes: make(map[string]int), firstToken: histogram(), betweenTokens: histogram(), wholeResponse: histogram(), refusal: histogram()}
}

// addOutcome records the outcome of a request's last attempt. Latencies count from
// startedAt, the start of its first attempt.
func (w *WorkResults) addOutcome(p plannedRequest, startedAt time.Time, o outcome) {
	w.Requests++
	for _, gap := range o.gaps {
		record(w.betweenTokens, gap)
	}
	if !o.firstToken.IsZero() {
		record(w.firstToken, o.firstToken.Sub(startedAt))
	}
	switch {
	case o.complete:
		w.addComplete(p, o.end.Sub(startedAt), o.tokens)
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

func (w *WorkResults) addComplete(p plannedRequest, duration time.Duration, tokens int64) {
	record(w.wholeResponse, duration)
	w.ResponseTokens += tokens
	if duration > p.work.Deadline.Or(0) {
		w.Late++
		return
	}
	w.InTime++
}

// withSummaries fills in the latency summaries and returns a copy of the results.
func (w *WorkResults) withSummaries() WorkResults {
	w.FirstToken = summarize(w.firstToken)
	w.BetweenTokens = summarize(w.betweenTokens)
	w.WholeResponse = summarize(w.wholeResponse)
	w.Refusal = summarize(w.refusal)
	return *w
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxMicroseconds, max(1, int64(d/time.Microsecond))))
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	at := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	return LatencySummary{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Write writes the report to a file as indented JSON.
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

// ReadReport reads a report from a file that Write has written.
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

// Compare prints a table with one line for each work of each report. names
// labels the reports, in the same order.
func Compare(output io.Writer, names []string, reports []*Report) error {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WORK\tRUN\tREQUESTS\tIN TIME\tLATE\tNOT RUN\tUNKNOWN\tRETRIES\tFIRST P95\tBETWEEN P95\tWHOLE P95\tREFUSAL P95\tTOKENS")
	for _, work := range workNames(reports) {
		for i, report := range reports {
			results := report.Works[work]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%d\n",
				work, names[i], results.Requests, results.InTime, results.Late, results.NotRun, results.Unknown, results.Retries,
				results.FirstToken.P95, results.BetweenTokens.P95, results.WholeResponse.P95, results.Refusal.P95, results.ResponseTokens)
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
