package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/statechart"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// The election timeout is chosen at random between these two limits.
	minElectionTimeout = 700 * time.Millisecond
	maxElectionTimeout = 1400 * time.Millisecond
)

// Roles of a member. The state chart charts/member.json in package statechart
// defines the transitions.
const (
	roleFollower     statechart.State = "follower"
	rolePreCandidate statechart.State = "pre_candidate"
	roleCandidate    statechart.State = "candidate"
	roleLeader       statechart.State = "leader"
)

// Events that change the role of a member.
const (
	eventElectionTimeout statechart.Event = "election_timeout"
	eventPreVoteWon      statechart.Event = "pre_vote_won"
	eventVoteWon         statechart.Event = "vote_won"
	eventTransfer        statechart.Event = "transfer"
	eventStepDown        statechart.Event = "step_down"
	eventStop            statechart.Event = "stop"
)

var memberChart = statechart.MustLoad("member")

var (
	// errClosed reports a call after Close.
	errClosed = errors.Newf("group member is closed: %w", peer.ErrUnavailable)
	// errLeadershipLost reports a proposal whose outcome is unknown because the
	// leader lost its leadership.
	errLeadershipLost = errors.Newf("leadership lost before the commit was known: %w", peer.ErrUnavailable)
)

// leadership is the state of a leader during its term. It ends when the leader
// observes a newer term or loses its quorum. It is guarded by node.mu.
type leadership struct {
	// ctx is canceled when the leadership ends.
	ctx    context.Context
	cancel context.CancelFunc
	// replicators holds the replicators by member id.
	replicators map[string]*replicator
	// noOpIndex is the index of the no-op entry at the start of the term.
	noOpIndex uint64
	// synced is the newest index of the term that is synced to the leader's own
	// disk.
	synced uint64
	// readRounds counts the rounds of heartbeats that linearizable reads have
	// requested to confirm the leadership.
	readRounds uint64
	// transferring is set during a leadership transfer; proposals are refused
	// meanwhile.
	transferring bool
}

// transition changes the role according to the state chart. It reports whether the
// chart allows event in the current role.
func (n *Node) transition(event statechart.Event) bool {
	next, err := memberChart.Next(n.role, event)
	if n.check(err == nil, invariant.TransitionInChart, "%v", err) != nil {
		return false
	}
	n.role = next
	return true
}

// check reports a violation of the invariant called name unless holds, and returns
// it as an error.
func (n *Node) check(holds bool, name, format string, args ...any) error {
	return n.options.Check.Check(holds, name, format, args...)
}

// stepDown ends an election or leadership of this member, fails its pending
// proposals and sets the leader to follow, which is "" if unknown. The caller
// holds n.mu.
func (n *Node) stepDown(leader string, event statechart.Event) {
	n.election = nil
	if n.leadership != nil {
		n.leadership.cancel()
		n.leadership = nil
	}
	for index, p := range n.pendingProposals {
		p.outcome <- outcome{err: errLeadershipLost}
		delete(n.pendingProposals, index)
	}
	n.leader = leader
	n.transition(event)
	n.broadcast()
}

// observeTerm updates the term from a message and steps down if it is newer. The
// caller holds n.mu.
func (n *Node) observeTerm(term uint64) {
	if term <= n.term || n.failed != nil {
		return
	}
	n.term = term
	n.vote = ""
	n.stepDown("", eventStepDown)
	n.persist(nil)
}

// followLeader records a message from the leader of the current term and becomes
// its follower. The caller holds n.mu.
func (n *Node) followLeader(leader string) error {
	err := n.check(n.role != roleLeader, invariant.OneLeaderPerTerm, "%s leads term %d, which %s leads too", leader, n.term, n.options.ID)
	if err != nil {
		return err
	}
	err = n.check(n.leader == "" || n.leader == leader, invariant.OneLeaderPerTerm, "%s and %s lead term %d", n.leader, leader, n.term)
	if err != nil {
		return err
	}
	if n.role != roleFollower || n.leader != leader {
		n.stepDown(leader, eventStepDown)
	}
	n.lastLeaderContact = time.Now()
	n.elector.resetTimeout()
	return nil
}

// becomeLeader starts the leadership after a won election and appends the no-op
// entry of the term. The caller holds n.mu.
func (n *Node) becomeLeader() {
	if !n.transition(eventVoteWon) {
		return
	}
	n.election = nil
	n.leader = n.options.ID
	ctx, cancel := context.WithCancel(context.Background())
	n.leadership = &leadership{ctx: ctx, cancel: cancel, replicators: make(map[string]*replicator)}
	n.elector.resetTimeout()
	n.updateReplicators()
	n.leadership.noOpIndex = n.appendEntry(kindNoOp, nil)
	n.broadcast()
}

// appendEntry appends an entry to the leader's log, wakes the replicators and
// returns the index of the entry. The caller holds n.mu.
func (n *Node) appendEntry(kind entryKind, data []byte) uint64 {
	e := entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.appendEntry(e)
	n.persist([]entry{e})
	if n.failed == nil {
		n.leadership.wakeReplicators()
	}
	return e.Index
}

// wakeReplicators wakes the replicators of all members.
func (l *leadership) wakeReplicators() {
	for _, p := range l.replicators {
		p.signal()
	}
}

// hasQuorum reports whether a majority of the voters has responded to the leader
// within the maximum election timeout. The caller holds n.mu.
func (n *Node) hasQuorum() bool {
	count := 0
	for _, voter := range n.configuration.voters() {
		p := n.leadership.replicators[voter.ID]
		if voter.ID == n.options.ID || p != nil && time.Since(p.lastContact) < maxElectionTimeout {
			count++
		}
	}
	return count >= n.configuration.majority()
}
