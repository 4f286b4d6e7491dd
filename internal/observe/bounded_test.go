package observe

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is a log output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func line(message string, i int) []byte {
	return fmt.Appendf(nil, `{"msg":"%s","i":%d}`+"\n", message, i)
}

// TestEachMessageHasItsOwnRateLimit guards against a frequent message that
// suppresses rare ones, and checks that suppressed lines are counted.
func TestEachMessageHasItsOwnRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		w := newBoundedWriter(&written, 10)
		for i := range 200 {
			_, _ = w.Write(line("frequent", i))
		}
		_, _ = w.Write(line("rare", 0))
		w.close()
		text := written.String()
		if count := strings.Count(text, `"msg":"frequent"`); count != 10 {
			t.Errorf("got %d lines with the frequent message, want 10", count)
		}
		if !strings.Contains(text, `"msg":"rare"`) || !strings.Contains(text, `"kind":"frequent","count":190`) {
			t.Errorf("the rare line or the count of 190 suppressed lines is missing:\n%s", text)
		}
	})
}

// TestSlowOutputDoesNotBlockWrite guards against a process that stalls because the
// reader of its log is slow: it writes more lines than the queue holds to an
// output that is blocked.
func TestSlowOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{release: make(chan struct{})}
		w := newBoundedWriter(output, 1_000_000)
		started := time.Now()
		for i := range 3 * queueSize {
			_, _ = w.Write(line("any", i))
		}
		if waited := time.Since(started); waited > 0 {
			t.Errorf("Write blocked for %s, want 0", waited)
		}
		close(output.release)
		w.close()
		if !strings.Contains(output.written.String(), `"cause":"slow reader"`) {
			t.Error("the number of dropped lines is missing in the log")
		}
	})
}
