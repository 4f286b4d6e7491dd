package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// outlookDecisions plays requests at an overloaded entry and returns the decisions, with an
// outlook before each request if asked is set. It checks the outlooks against the decisions.
func outlookDecisions(t *testing.T, asked bool) []string {
	t.Helper()
	c := &Controller{LinkBytesPerSecond: 1e6, Random: rand.New(rand.NewPCG(1, 2))}
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	var decisions []string
	shed := 0
	for i := range 3000 {
		now = now.Add(time.Duration(random.IntN(7)) * time.Millisecond)
		c.RecordEcho(now, Sample{Delay: time.Duration(20+i%400) * time.Millisecond})
		r := Request{Workspace: fmt.Sprint(random.IntN(4)), Priority: random.IntN(3), Remaining: time.Duration(random.IntN(2000)) * time.Millisecond, Bytes: int64(random.IntN(5000)), Resumes: random.IntN(9) == 0}
		if asked {
			c.Outlook(now, r)
			o := c.Outlook(now.Add(3*time.Millisecond), r)
			if r.Resumes && o.Refusal > 0 {
				t.Fatalf("a request that resumes a stream may be shed: %+v", o)
			}
			if o.Refusal > 0 {
				shed++
			}
		}
		decisions = append(decisions, fmt.Sprintf("%#v %+v", c.Admit(now, r), c.Status(now)))
	}
	if asked && shed == 0 {
		t.Error("no outlook has a probability of a refusal")
	}
	return decisions
}

// TestOutlooksDoNotChangeDecisions guards against an outlook that draws a random number,
// counts bytes, or moves the level.
func TestOutlooksDoNotChangeDecisions(t *testing.T) {
	want, got := outlookDecisions(t, false), outlookDecisions(t, true)
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("decision %d is %s with outlooks, want %s", i, got[i], want[i])
		}
	}
}
