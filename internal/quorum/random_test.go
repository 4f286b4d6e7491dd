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

// proposerPause is the pause between two commands of a proposer.
const proposerPause = 100 * time.Millisecond

var (
	seeds     = flag.Int("seeds", 10, "number of randomised runs")
	firstSeed = flag.Int("first-seed", 1, "seed of the first randomised run")
)

// action is one kind of fault, or the end of faults, in a randomised run.
type action int

const (
	actionKill action = iota
	actionRestart
	actionIsolate
	actionCutOneWay
	actionHeal
	actionDelay
	actionTransferLeadership
	actionLoseDisk
	actionLoseTwoDisks
	actionCount
)

// step is an action and the pause after it.
type step struct {
	action action
	// member and other are positions in randomRun.members.
	member int
	other  int
	// unsyncedKept is the number of unsynced bytes that survive a crash. actionDelay
	// uses it as the network delay in milliseconds.
	unsyncedKept int
	pause        time.Duration
}

// planGenerator draws the steps of one run.
var planGenerator = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		action:       action(rapid.IntRange(0, int(actionCount)-1).Draw(t, "action")),
		member:       rapid.IntRange(0, 2).Draw(t, "member"),
		other:        rapid.IntRange(0, 2).Draw(t, "other"),
		unsyncedKept: rapid.IntRange(0, 40).Draw(t, "keep"),
		pause:        time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
	}
}), 8, 30)

// proposer proposes numbered commands at the running members in turn, and reads
// through a barrier after each command.
type proposer struct {
	cluster *cluster
	name    string
	ctx     context.Context
	done    chan struct{}

	// mu guards accepted; both are shared by all proposers.
	mu       *sync.Mutex
	accepted *[]string
}

// run proposes and reads until its context ends.
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

// propose proposes one command and records it if it is accepted.
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

// read checks that a read after a successful barrier sees every command that was
// accepted before the barrier began.
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
			p.cluster.t.Errorf("read at member %s lacks accepted command %s", id, command)
		}
	}
}

// randomRun applies a plan of faults to a cluster under load.
type randomRun struct {
	*cluster
	// members are the ids of the current members, lastID is the highest id used.
	members []string
	lastID  int
}

// apply carries out one step and waits for its pause.
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
	case actionTransferLeadership:
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

// startAll starts the members that are not running.
func (r *randomRun) startAll() {
	for _, id := range r.members {
		if r.find(id) == nil {
			r.startMember(id)
		}
	}
}

// healAll restores all connections and removes the network delay.
func (r *randomRun) healAll() {
	for from := range r.disks {
		for to := range r.disks {
			r.network.Heal(from, to)
		}
	}
	r.network.SetDelay(0)
}

// loseDisk erases a member's disk and replaces the member by one with a new id.
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

// retryMemberChange repeats a member change at the current leader until it
// succeeds.
func (r *randomRun) retryMemberChange(what string, change func(*Node) error) {
	var err error
	for range 60 {
		err = change(r.find(r.leader()).node)
		if err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.t.Fatalf("%s member failed 60 times, last error: %v", what, err)
}

// TestRandomFaultsLoseNothing guards against lost, duplicated and reordered
// commands and against stale reads: it applies random crashes, network partitions,
// disk losses and leadership transfers while commands are proposed.
func TestRandomFaultsLoseNothing(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			plan := planGenerator.Example(seed)
			synctest.Test(t, func(t *testing.T) { runPlan(t, plan) })
		})
	}
}

// runPlan applies the steps of plan to a new cluster under load, ends all faults
// and checks that the members agree.
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
