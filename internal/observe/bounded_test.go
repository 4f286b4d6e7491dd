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

// blockedWriter takes nothing until it is released.
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
			t.Errorf("%d lines of the frequent kind", count)
		}
		if !strings.Contains(text, `"msg":"rare"`) || !strings.Contains(text, `"kind":"frequent","count":190`) {
			t.Errorf("the rare line or the count of those left out is missing:\n%s", text)
		}
	})
}

// TestSlowOutputDoesNotBlockWrite writes more than the ring holds to a reader that
// takes nothing.
func TestSlowOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{release: make(chan struct{})}
		w := newBoundedWriter(output, 1_000_000)
		started := time.Now()
		for i := range 3 * queueSize {
			_, _ = w.Write(line("any", i))
		}
		if waited := time.Since(started); waited > 0 {
			t.Errorf("the writer waited for %s", waited)
		}
		close(output.release)
		w.close()
		if !strings.Contains(output.written.String(), `"cause":"slow reader"`) {
			t.Error("the lines that were dropped are not counted")
		}
	})
}
