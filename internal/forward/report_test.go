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

// TestLoggedFieldsStandOnThePage plays outcomes of every kind and looks for
// each field and message of their lines in docs/OPERATIONS.md.
func TestLoggedFieldsStandOnThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		route   config.HostRoute
		replies []reply
		key     string
	}{
		{once, []reply{say(200, stamped, "done")}, "secret"},
		{once, []reply{reset}, "secret"},
		{once, nil, "wrong"},
		{idempotent, []reply{say(503, notRun, ""), say(200, stamped, "done")}, "secret"},
		{resumable, []reply{events(1, 2, "", false), events(3, 4, "", false)}, "secret"},
	} {
		s := newSite(t, c.route, c.replies...)
		var lines bytes.Buffer
		s.server.Log = log.NewWithOptions(&lines, log.Options{Formatter: log.JSONFormatter})
		s.ask("/a/x", c.key)
		s.front.Close()
		for _, line := range strings.Split(strings.TrimSpace(lines.String()), "\n") {
			var fields map[string]any
			err := json.Unmarshal([]byte(line), &fields)
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			for name, value := range fields {
				if !strings.Contains(string(page), "`"+name+"`") {
					t.Errorf("the page lacks the field %s of %s", name, line)
				}
				if name == "msg" && !strings.Contains(string(page), "`"+value.(string)+"`") {
					t.Errorf("the page lacks the message %q", value)
				}
			}
		}
	}
}
