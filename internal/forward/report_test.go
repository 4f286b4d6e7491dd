package forward_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/cactusbay/cactusbay/internal/config"
)

// TestLoggedFieldsAreDocumented runs requests with different outcomes and checks
// that docs/OPERATIONS.md lists every field and message of their log lines.
func TestLoggedFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		route      config.HostRoute
		responders []responder
		key        string
	}{
		{onceRoute, []responder{respond(200, signatureHeader, "done")}, "secret"},
		{onceRoute, []responder{resetConn}, "secret"},
		{onceRoute, nil, "wrong"},
		{idempotentRoute, []responder{respond(503, notRunHeader, ""), respond(200, signatureHeader, "done")}, "secret"},
		{resumableRoute, []responder{streamEvents(1, 2, "", false), streamEvents(3, 4, "", false)}, "secret"},
	} {
		f := newFixture(t, c.route, c.responders...)
		var lines bytes.Buffer
		f.server.Log = log.NewWithOptions(&lines, log.Options{Formatter: log.JSONFormatter})
		f.send("/a/x", c.key)
		f.entry.Close()
		for _, line := range strings.Split(strings.TrimSpace(lines.String()), "\n") {
			var fields map[string]any
			err := json.Unmarshal([]byte(line), &fields)
			if err != nil {
				t.Fatalf("decode log line %q: %v", line, err)
			}
			for name, value := range fields {
				if !strings.Contains(string(page), "`"+name+"`") {
					t.Errorf("docs/OPERATIONS.md does not list the field %s of the log line %s", name, line)
				}
				if name == "msg" && !strings.Contains(string(page), "`"+value.(string)+"`") {
					t.Errorf("docs/OPERATIONS.md does not list the message %q", value)
				}
			}
		}
	}
}
