package process

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// TestExcessIsLoggedOnceASecond guards against a crowd that fills the log, and against what it does
// between two lines being left out.
func TestExcessIsLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		e := &excessCounter{log: log.New(&output), address: "entry:1"}
		for range 1000 {
			e.record(headerTooLong, 1)
			time.Sleep(2 * time.Millisecond)
		}
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		if len(lines) != 2 || !strings.Contains(lines[0], "headers_too_long=1 ") || !strings.Contains(lines[1], "headers_too_long=500 ") {
			t.Errorf("got the lines %q, want one with 1 header and one with 500", lines)
		}
	})
}
