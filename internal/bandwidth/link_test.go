package bandwidth_test

import (
	"testing"
	"time"

	"github.com/cactusbay/cactusbay/internal/bandwidth"
)

// load is one kind of request in a mix.
type load struct {
	kind      string
	perSecond int
	size      bandwidth.Size
}

// busy is a workspace that sends 100 requests a second to one entry.
var busy = []load{
	{"draft", 14, bandwidth.Size{Body: 11500, Answer: 3200, Events: 27}},
	{"rewrite", 22, bandwidth.Size{Body: 820, Answer: 2400, Events: 21}},
	{"classify", 36, bandwidth.Size{Body: 2370, Answer: 230, Events: 2}},
	{"order", 28, bandwidth.Size{Body: 590, Answer: 800}},
}

// play sends the mix times factor for some seconds and returns what was let in
// and refused, and the payload bytes a second that were let in.
func play(l *bandwidth.Link, from time.Time, seconds, factor int) (admitted, refused int, bytes float64) {
	const steps = 1000
	for step := range seconds * steps {
		now := from.Add(time.Duration(step) * time.Second / steps)
		for _, one := range busy {
			due := (step+1)*one.perSecond*factor/steps - step*one.perSecond*factor/steps
			for range due {
				if !l.Admit(one.kind, one.size.Body, now) {
					refused++
					continue
				}
				admitted++
				bytes += float64(one.size.Body + one.size.Answer)
				l.Learn(one.kind, one.size)
			}
		}
	}
	return admitted, refused, bytes / float64(seconds)
}

// TestFullLinkRefusesAtOnce plays a workspace that sends twice its usual for six
// seconds through a link of 10 Mbit/s.
func TestFullLinkRefusesAtOnce(t *testing.T) {
	const capacity = 10e6 / 8
	l := &bandwidth.Link{Megabits: 10}
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	if _, refused, _ := play(l, start, 10, 1); refused > 0 {
		t.Errorf("%d requests refused of the usual load", refused)
	}
	admitted, refused, bytes := play(l, start.Add(10*time.Second), 6, 2)
	if refused == 0 || bytes > capacity {
		t.Errorf("%d let in and %d refused: %.0f bytes a second", admitted, refused, bytes)
	}
	if bytes < capacity/2 {
		t.Errorf("only %.0f bytes a second let in", bytes)
	}
	if _, refused, _ := play(l, start.Add(17*time.Second), 10, 1); refused > 0 {
		t.Errorf("%d requests refused a second after the rush", refused)
	}
}

func TestLinkWithoutLimitRefusesNothing(t *testing.T) {
	l := &bandwidth.Link{}
	if _, refused, _ := play(l, time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC), 2, 100); refused > 0 {
		t.Errorf("%d refused", refused)
	}
}
