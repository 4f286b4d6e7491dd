package observe

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logRing is how many lines may wait for a slow reader of the log.
	logRing = 1024
	// linesPerSecond is the default budget of lines of one kind.
	linesPerSecond = 100
	// leftOutInterval is the time between two reports of lines left out.
	leftOutInterval = time.Second
)

// boundedWriter takes log lines without ever blocking: each kind of line, by
// its message, has a budget a second, and a reader that is slow costs lines.
// What was left out is counted and said.
type boundedWriter struct {
	output io.Writer
	budget float64
	lines  chan []byte
	// dropped counts lines that found the ring full.
	dropped atomic.Int64

	mu    sync.Mutex
	kinds map[string]*kind

	stop chan struct{}
	done chan struct{}
}

// kind is the budget of one kind of line.
type kind struct {
	allowance float64
	updated   time.Time
	leftOut   int64
}

func newBoundedWriter(output io.Writer, perSecond int) *boundedWriter {
	if perSecond == 0 {
		perSecond = linesPerSecond
	}
	w := &boundedWriter{
		output: output,
		budget: float64(perSecond),
		lines:  make(chan []byte, logRing),
		kinds:  make(map[string]*kind),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line; it never blocks and never fails.
func (w *boundedWriter) Write(line []byte) (int, error) {
	if !w.isWithinBudget(messageOf(line), time.Now()) {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *boundedWriter) isWithinBudget(message string, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[message]
	if k == nil {
		k = &kind{allowance: w.budget, updated: now}
		w.kinds[message] = k
	}
	k.allowance = min(w.budget, k.allowance+now.Sub(k.updated).Seconds()*w.budget)
	k.updated = now
	if k.allowance < 1 {
		k.leftOut++
		return false
	}
	k.allowance--
	return true
}

var messageField = []byte(`"msg":"`)

// messageOf returns the message of a line in JSON, or "" of any other.
func messageOf(line []byte) string {
	_, after, found := bytes.Cut(line, messageField)
	if !found {
		return ""
	}
	message, _, _ := bytes.Cut(after, []byte(`"`))
	return string(message)
}

// run writes lines until close.
func (w *boundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(leftOutInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		case <-ticker.C:
			w.reportLeftOut()
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *boundedWriter) drain() {
	w.reportLeftOut()
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		default:
			return
		}
	}
}

// reportLeftOut says how many lines were left out since the last report.
func (w *boundedWriter) reportLeftOut() {
	w.mu.Lock()
	for message, k := range w.kinds {
		if k.leftOut > 0 {
			_, _ = fmt.Fprintf(w.output, `{"level":"warn","msg":"log lines left out","kind":%q,"count":%d,"cause":"budget"}`+"\n", message, k.leftOut)
			k.leftOut = 0
		}
	}
	w.mu.Unlock()
	dropped := w.dropped.Swap(0)
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.output, `{"level":"warn","msg":"log lines left out","count":%d,"cause":"slow reader"}`+"\n", dropped)
	}
}

func (w *boundedWriter) close() {
	close(w.stop)
	<-w.done
}
