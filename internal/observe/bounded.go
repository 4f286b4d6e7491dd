package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// queueSize is the number of lines that may wait for a slow reader of the log.
	queueSize = 1024
	// defaultLinesPerSecond is the default rate limit for lines with the same
	// message.
	defaultLinesPerSecond = 100
	// reportInterval is the time between two reports of discarded lines.
	reportInterval = time.Second
)

// boundedWriter writes log lines without blocking the caller. Lines are rate
// limited by their message, and lines are discarded if the reader of the log is
// slow. The log reports the number of discarded lines.
type boundedWriter struct {
	output io.Writer
	// scope counts the discarded lines; nil counts none.
	scope          tally.Scope
	linesPerSecond float64
	queue          chan []byte
	// dropped counts lines that were discarded because the queue was full.
	dropped atomic.Int64

	mu     sync.Mutex
	limits map[string]*messageLimit

	stop chan struct{}
	done chan struct{}
}

// messageLimit is the token bucket that limits the lines with one message.
type messageLimit struct {
	available  float64
	updated    time.Time
	suppressed int64
}

// newBoundedWriter starts a writer that writes to output up to perSecond lines with
// the same message per second; 0 means the default.
func newBoundedWriter(output io.Writer, perSecond int) *boundedWriter {
	if perSecond == 0 {
		perSecond = defaultLinesPerSecond
	}
	w := &boundedWriter{
		output:         output,
		linesPerSecond: float64(perSecond),
		queue:          make(chan []byte, queueSize),
		limits:         make(map[string]*messageLimit),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, or discards it if the rate limit is exceeded or the queue
// is full. It never blocks or fails.
func (w *boundedWriter) Write(line []byte) (int, error) {
	if !w.allow(messageOf(line), time.Now()) {
		return len(line), nil
	}
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether a line with the given message is within the rate limit,
// and counts it.
func (w *boundedWriter) allow(message string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.limits[message]
	if limit == nil {
		limit = &messageLimit{available: w.linesPerSecond, updated: now}
		w.limits[message] = limit
	}
	limit.available = min(w.linesPerSecond, limit.available+now.Sub(limit.updated).Seconds()*w.linesPerSecond)
	limit.updated = now
	if limit.available < 1 {
		limit.suppressed++
		return false
	}
	limit.available--
	return true
}

var messageField = []byte(`"msg":"`)

// messageOf returns the message of a JSON line, or "" for other lines. Lines that
// are not JSON therefore have one common limit.
func messageOf(line []byte) string {
	_, after, found := bytes.Cut(line, messageField)
	if !found {
		return ""
	}
	message, _, _ := bytes.Cut(after, []byte(`"`))
	return string(message)
}

// run writes the queued lines until close is called.
func (w *boundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.queue:
			_, _ = w.output.Write(line)
		case <-ticker.C:
			w.reportDiscarded()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

// flush reports the discarded lines and writes the lines that are still queued.
func (w *boundedWriter) flush() {
	w.reportDiscarded()
	for {
		select {
		case line := <-w.queue:
			_, _ = w.output.Write(line)
		default:
			return
		}
	}
}

// reportDiscarded writes how many lines were discarded since the last report, by
// message and for the full queue.
func (w *boundedWriter) reportDiscarded() {
	w.mu.Lock()
	for message, limit := range w.limits {
		if limit.suppressed > 0 {
			_, _ = fmt.Fprintf(w.output, `{"level":"warn","msg":"log lines left out","kind":%q,"count":%d,"cause":"budget"}`+"\n", message, limit.suppressed)
			w.countDiscarded("budget", limit.suppressed)
			limit.suppressed = 0
		}
	}
	w.mu.Unlock()
	dropped := w.dropped.Swap(0)
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.output, `{"level":"warn","msg":"log lines left out","count":%d,"cause":"slow reader"}`+"\n", dropped)
		w.countDiscarded("slow_reader", dropped)
	}
}

// countDiscarded adds discarded lines to the metrics.
func (w *boundedWriter) countDiscarded(cause string, count int64) {
	if w.scope != nil {
		w.scope.Tagged(map[string]string{"cause": cause}).Counter("log_lines_left_out").Inc(count)
	}
}

// close writes the queued lines and waits until run has ended.
func (w *boundedWriter) close() {
	close(w.stop)
	<-w.done
}
