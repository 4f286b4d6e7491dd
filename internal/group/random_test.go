package group_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusbay/cactusbay/internal/group"
)

// randomSeed is the seed of a plain test run; -rapid.seed takes another.
const randomSeed = "20261203"

func TestMain(m *testing.M) {
	err := flag.Set("rapid.seed", randomSeed)
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// sent is a patch that an operator may send again.
type sent struct {
	id      string
	against uint64
	patch   string
	result  group.Result
}

// TestRacingOperatorsAndCutOffWatchers lets operators race and resend while
// watchers are cut off, restarted and silenced and members fall behind.
func TestRacingOperatorsAndCutOffWatchers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { raceRound(t, steps) })
	})
}

type race struct {
	*fleet
	watchers []*group.Watcher
	seen     []uint64
	sends    []sent
	winners  map[uint64]string
	cut      map[int]bool
}

func raceRound(t *testing.T, steps []int) {
	r := &race{fleet: newFleet(t, 3), winners: make(map[uint64]string), cut: make(map[int]bool)}
	defer r.close()
	for i := range 3 {
		r.watchers = append(r.watchers, r.watch(watcherHost(i)))
		r.seen = append(r.seen, 0)
	}
	for i, step := range steps {
		r.step(i, step)
		r.observe()
	}
	r.settle()
}

func watcherHost(i int) string {
	return fmt.Sprintf("entry-%d", i)
}

// step takes one of the actions; its tens choose which, its ones the details.
func (r *race) step(i, step int) {
	one := step % 10
	switch step / 10 {
	case 0, 1, 2:
		r.send(i, uint64(one%2))
	case 3, 4:
		r.resend(one)
	case 5:
		r.isolate(watcherHost(one%3), one%2, 2)
		r.cut[one%3] = true
	case 6:
		r.heal(one % 3)
	case 7:
		r.network.Blackhole()
	case 8:
		_, held := r.direct.held[0]
		if held {
			r.direct.release(0)
		} else {
			r.direct.hold(0)
		}
	default:
		r.restart(one % 3)
	}
	time.Sleep(time.Duration(one*one*50) * time.Millisecond)
}

// send makes two operators race under one number, which may be stale.
func (r *race) send(i int, stale uint64) {
	current, _ := r.direct.groups[1].Current()
	against := current.Number - min(stale, current.Number)
	for _, operator := range []string{"x", "y"} {
		s := sent{id: fmt.Sprintf("%s%d", operator, i), against: against}
		s.patch = fmt.Sprintf(`{"limits":{"body_bytes":%d},"routes":{}}`, against+1)
		s.result = r.propose(s.id, s.against, s.patch)
		r.sends = append(r.sends, s)
		if s.result.Code != group.CodeDone {
			continue
		}
		winner, taken := r.winners[s.result.Version]
		if taken {
			r.t.Errorf("version %d was won by %s and %s", s.result.Version, winner, s.id)
		}
		r.winners[s.result.Version] = s.id
	}
}

func (r *race) resend(one int) {
	if len(r.sends) == 0 {
		return
	}
	s := r.sends[(one*7)%len(r.sends)]
	again := r.propose(s.id, s.against, s.patch)
	if again.Code != s.result.Code || again.Version != s.result.Version || again.Detail != s.result.Detail {
		r.t.Errorf("resend of %s: %+v, first %+v", s.id, again, s.result)
	}
	other := r.propose(s.id, s.against, `{"limits":{"body_bytes":7}}`)
	if other.Code != group.CodeIDReused {
		r.t.Errorf("another body under %s: %+v", s.id, other)
	}
}

func (r *race) heal(i int) {
	r.rejoin(watcherHost(i), 0, 1, 2)
	delete(r.cut, i)
}

// restart begins a watcher anew. Its versions may not go back when it can
// reach a majority.
func (r *race) restart(i int) {
	r.watchers[i].Close()
	r.watchers[i] = r.watch(watcherHost(i))
	if r.cut[i] {
		r.seen[i] = 0
	}
}

// observe checks that no watcher's version in force went back.
func (r *race) observe() {
	for i, w := range r.watchers {
		active := w.Active()
		if active.Document == nil {
			continue
		}
		if active.Number < r.seen[i] {
			r.t.Errorf("watcher %d went from version %d to %d", i, r.seen[i], active.Number)
		}
		r.seen[i] = active.Number
		if active.Document.Limits.BodyBytes != int64(active.Number) {
			r.t.Errorf("watcher %d has version %d with %d", i, active.Number, active.Document.Limits.BodyBytes)
		}
	}
}

// settle heals everything and expects the newest version everywhere.
func (r *race) settle() {
	for i := range r.watchers {
		r.heal(i)
	}
	r.direct.release(0)
	time.Sleep(2 * inForceWithin)
	current, _ := r.direct.groups[1].Current()
	for _, w := range r.watchers {
		if current.Number > 0 {
			expectActive(r.t, w, current.Number)
		}
	}
	for number := range uint64(len(r.winners)) {
		if r.winners[number+1] == "" {
			r.t.Errorf("version %d has no winner", number+1)
		}
	}
}
