package quorum

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const proposerPause = 100 * time.Millisecond

var (
	seeds     = flag.Int("seeds", 10, "number of randomised runs")
	firstSeed = flag.Int("first-seed", 1, "seed of the first randomised run")
)

// action is one fault of a randomised run.
type action int

const (
	actionKill action = iota
	actionRestart
	actionIsolate
	actionCutOneWay
	actionHeal
	actionDelay
	actionHandOver
	actionLoseDisk
	actionLoseTwoDisks
	actionCount
)

// step is an action and the time that passes after it.
type step struct {
	action action
	// member and other are positions in the list of members.
	member int
	other  int
	// keep is how many unsynced bytes survive a crash.
	unsyncedKept int
	pause        time.Duration
}

var planGenerator = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		action:       action(rapid.IntRange(0, int(actionCount)-1).Draw(t, "action")),
		member:       rapid.IntRange(0, 2).Draw(t, "member"),
		other:        rapid.IntRange(0, 2).Draw(t, "other"),
		unsyncedKept: rapid.IntRange(0, 40).Draw(t, "keep"),
		pause:        time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
	}
}), 8, 30)

// proposer sends numbered commands to every member in turn and reads through
// barriers in between.
type proposer struct {
	cluster *cluster
	name    string
	ctx     context.Context
	done    chan struct{}

	mu       *sync.Mutex
	accepted *[]string
}

func (p *proposer) run() {
	defer close(p.done)
	for i := 0; p.ctx.Err() == nil; i++ {
		ids := p.cluster.ids()
		if len(ids) > 0 {
			p.propose(ids[i%len(ids)], fmt.Sprint(p.name, i))
			p.read(ids[(i/2)%len(ids)])
		}
		time.Sleep(proposerPause)
	}
}

func (p *proposer) propose(id, command string) {
	target := p.cluster.find(id)
	if target == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	_, err := target.node.Propose(ctx, []byte(command))
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.accepted = append(*p.accepted, command)
}

// read checks that a barrier that holds shows all that was accepted before.
func (p *proposer) read(id string) {
	target := p.cluster.find(id)
	if target == nil {
		return
	}
	p.mu.Lock()
	before := slices.Clone(*p.accepted)
	p.mu.Unlock()
	err := target.node.Barrier(p.ctx)
	if err != nil {
		return
	}
	seen := make(map[string]bool)
	for _, command := range target.machine.applied() {
		seen[command] = true
	}
	for _, command := range before {
		if !seen[command] {
			p.cluster.t.Errorf("read at %s misses accepted command %s", id, command)
		}
	}
}

// randomRun carries out a plan of faults on a cluster under load.
type randomRun struct {
	*cluster
	members []string
	lastID  int
}

func (r *randomRun) apply(s step) {
	id := r.members[s.member]
	switch s.action {
	case actionKill:
		r.kill(id, s.unsyncedKept)
	case actionRestart:
		r.startAll()
	case actionIsolate:
		r.isolate(id, true)
	case actionCutOneWay:
		r.cut(id, r.members[s.other], true)
	case actionHeal:
		r.healAll()
	case actionDelay:
		r.network.SetDelay(time.Duration(s.unsyncedKept) * time.Millisecond)
	case actionHandOver:
		if i := r.find(id); i != nil {
			i.node.TransferLeadership()
		}
	case actionLoseDisk:
		r.loseDisk(s.member)
	case actionLoseTwoDisks:
		r.loseDisk(s.member)
		r.loseDisk((s.member + 1) % len(r.members))
	}
	time.Sleep(s.pause)
}

func (r *randomRun) startAll() {
	for _, id := range r.members {
		if r.find(id) == nil {
			r.startMember(id)
		}
	}
}

func (r *randomRun) healAll() {
	for from := range r.disks {
		for to := range r.disks {
			r.network.Heal(from, to)
		}
	}
	r.network.SetDelay(0)
}

// loseDisk erases a member's disk and repairs the group under a new id.
func (r *randomRun) loseDisk(position int) {
	r.healAll()
	r.startAll()
	r.leader()
	old := r.members[position]
	r.kill(old, 0)
	r.disks[old].Erase()
	r.lastID++
	id := fmt.Sprint(r.lastID)
	r.members[position] = id
	r.startMember(id)
	r.retryMemberChange("remove", func(n *Node) error { return n.RemoveMember(context.Background(), old) })
	r.retryMemberChange("add", func(n *Node) error { return n.AddMember(context.Background(), id, memberFor(id).Address) })
	r.awaitVoter(id)
}

func (r *randomRun) retryMemberChange(what string, change func(*Node) error) {
	var err error
	for range 60 {
		err = change(r.find(r.leader()).node)
		if err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.t.Fatalf("%s: %v", what, err)
}

func TestRandomFaultsLoseNothing(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			plan := planGenerator.Example(seed)
			synctest.Test(t, func(t *testing.T) { runPlan(t, plan) })
		})
	}
}

func runPlan(t *testing.T, plan []step) {
	c := newCluster(t, 3)
	defer c.close()
	r := &randomRun{cluster: c, members: []string{"1", "2", "3"}, lastID: 3}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var accepted []string
	var proposers []*proposer
	for _, name := range []string{"x", "y", "z"} {
		p := &proposer{cluster: c, name: name, ctx: ctx, done: make(chan struct{}), mu: &mu, accepted: &accepted}
		proposers = append(proposers, p)
		go p.run()
	}
	c.leader()
	for _, s := range plan {
		t.Logf("%+v", s)
		r.apply(s)
	}
	r.healAll()
	r.startAll()
	cancel()
	for _, p := range proposers {
		<-p.done
	}
	c.leader()
	c.checkAgreement(accepted)
	t.Logf("%d steps, %d commands accepted", len(plan), len(accepted))
}
