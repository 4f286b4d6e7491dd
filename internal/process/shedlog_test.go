package process

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/overload"
)

// TestShedLogger guards against shedding that leaves no line or a line without its inputs,
// and against a level that rises and falls many times a second and floods the log.
func TestShedLogger(t *testing.T) {
	var output bytes.Buffer
	logger := log.New(&output)
	logger.SetFormatter(log.JSONFormatter)
	l := &shedLogger{log: logger}
	now := time.Unix(1000, 0)
	for i := range 60 {
		status := overload.Status{Known: true, Target: 50 * time.Millisecond, Room: 0.75}
		if i < 40 && i%2 == 0 {
			status.Delay = time.Duration(60+i) * time.Millisecond
			status.Level = 0.25
		}
		l.logChange(now, status)
		now = now.Add(shedLogInterval)
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want one for the begin and one for the end:\n%s", len(lines), output.String())
	}
	t.Logf("the lines:\n%s", output.String())
	for i, wants := range [][]string{
		{`"msg":"shedding begun"`, `"delay_ms":60`, `"target_ms":50`, `"shedding_level":0.25`, `"peers_with_room":0.75`},
		{`"msg":"shedding ended"`, `"delay_ms":0`, `"shedding_level":0,`, `"highest_delay_ms":98`, `"highest_level":0.25`, `"for_ms":3800`},
	} {
		for _, want := range wants {
			if !strings.Contains(lines[i], want) {
				t.Errorf("line %d lacks %s: %s", i, want, lines[i])
			}
		}
	}
}
