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

// randomSeed is the seed of a plain test run; -rapid.seed overrides it.
const randomSeed = "20261203"

func TestMain(m *testing.M) {
	err := flag.Set("rapid.seed", randomSeed)
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// sentPatch is a patch that an operator may resend, with its first result.
type sentPatch struct {
	id      string
	against uint64
	patch   string
	result  group.Result
}

// TestRacingOperatorsAndIsolatedWatchers guards against lost or double patches
// and against versions that go back. Operators race and resend patches while
// watchers are isolated and restarted, open connections stop delivering data,
// and a member falls behind.
func TestRacingOperatorsAndIsolatedWatchers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 20, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { runRace(t, steps) })
	})
}

type raceRun struct {
	*fleet
	watchers    []*group.Watcher
	highestSeen []uint64
	sentPatches []sentPatch
	winners     map[uint64]string
	isolated    map[int]bool
}

func runRace(t *testing.T, steps []int) {
	r := &raceRun{fleet: newFleet(t, 3), winners: make(map[uint64]string), isolated: make(map[int]bool)}
	defer r.close()
	for i := range 3 {
		r.watchers = append(r.watchers, r.startWatcher(watcherHost(i)))
		r.highestSeen = append(r.highestSeen, 0)
	}
	for i, step := range steps {
		r.step(i, step)
		r.observe()
	}
	r.expectConvergence()
}

func watcherHost(i int) string {
	return fmt.Sprintf("entry-%d", i)
}

// step runs one action: the tens digit chooses it, the ones digit is its
// parameter.
func (r *raceRun) step(i, step int) {
	detail := step % 10
	switch step / 10 {
	case 0, 1, 2:
		r.sendRacingPatches(i, uint64(detail%2))
	case 3, 4:
		r.resendPatch(detail)
	case 5:
		r.isolate(watcherHost(detail%3), detail%2, 2)
		r.isolated[detail%3] = true
	case 6:
		r.reconnect(detail % 3)
	case 7:
		r.network.Blackhole()
	case 8:
		_, paused := r.replicatedLog.paused[0]
		if paused {
			r.replicatedLog.resume(0)
		} else {
			r.replicatedLog.pause(0)
		}
	default:
		r.restart(detail % 3)
	}
	time.Sleep(time.Duration(detail*detail*50) * time.Millisecond)
}

// sendRacingPatches lets two operators send a patch against the same version,
// which is outdated by stale versions. At most one of them may win.
func (r *raceRun) sendRacingPatches(i int, stale uint64) {
	current, _ := r.replicatedLog.groups[1].Current()
	against := current.Number - min(stale, current.Number)
	for _, operator := range []string{"x", "y"} {
		s := sentPatch{id: fmt.Sprintf("%s%d", operator, i), against: against}
		s.patch = fmt.Sprintf(`{"limits":{"body_bytes":%d},"routes":{}}`, against+1)
		s.result = r.propose(s.id, s.against, s.patch)
		r.sentPatches = append(r.sentPatches, s)
		if s.result.Code != group.CodeDone {
			continue
		}
		winner, taken := r.winners[s.result.Version]
		if taken {
			r.t.Errorf("version %d was created by both %s and %s", s.result.Version, winner, s.id)
		}
		r.winners[s.result.Version] = s.id
	}
}

func (r *raceRun) resendPatch(detail int) {
	if len(r.sentPatches) == 0 {
		return
	}
	s := r.sentPatches[(detail*7)%len(r.sentPatches)]
	again := r.propose(s.id, s.against, s.patch)
	if again.Code != s.result.Code || again.Version != s.result.Version || again.Detail != s.result.Detail {
		r.t.Errorf("resend of %s: %+v, want the first result %+v", s.id, again, s.result)
	}
	other := r.propose(s.id, s.against, `{"limits":{"body_bytes":7}}`)
	if other.Code != group.CodeIDReused {
		r.t.Errorf("another patch under the ID %s: %+v, want it refused as reused", s.id, other)
	}
}

func (r *raceRun) reconnect(i int) {
	r.rejoin(watcherHost(i), 0, 1, 2)
	delete(r.isolated, i)
}

// restart replaces a watcher by a new one. Its version may go back only if it
// cannot reach a majority.
func (r *raceRun) restart(i int) {
	r.watchers[i].Close()
	r.watchers[i] = r.startWatcher(watcherHost(i))
	if r.isolated[i] {
		r.highestSeen[i] = 0
	}
}

// observe checks that no watcher's version in force went back and that each
// document belongs to its version.
func (r *raceRun) observe() {
	for i, w := range r.watchers {
		active := w.Active()
		if active.Document == nil {
			continue
		}
		if active.Number < r.highestSeen[i] {
			r.t.Errorf("watcher %d went back from version %d to %d", i, r.highestSeen[i], active.Number)
		}
		r.highestSeen[i] = active.Number
		if active.Document.Limits.BodyBytes != int64(active.Number) {
			r.t.Errorf("watcher %d has version %d with the document of version %d", i, active.Number, active.Document.Limits.BodyBytes)
		}
	}
}

// expectConvergence reconnects everything and expects the newest version at
// every watcher and one winner for each version.
func (r *raceRun) expectConvergence() {
	for i := range r.watchers {
		r.reconnect(i)
	}
	r.replicatedLog.resume(0)
	time.Sleep(2 * inForceWithin)
	current, _ := r.replicatedLog.groups[1].Current()
	for _, w := range r.watchers {
		if current.Number > 0 {
			expectActive(r.t, w, current.Number)
		}
	}
	for number := range uint64(len(r.winners)) {
		if r.winners[number+1] == "" {
			r.t.Errorf("version %d was created by no patch", number+1)
		}
	}
}
