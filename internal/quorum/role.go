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
	heartbeatInterval  = 200 * time.Millisecond
	minElectionTimeout = 700 * time.Millisecond
	maxElectionTimeout = 1400 * time.Millisecond
)

// States of a member; charts/member.json holds the transitions.
const (
	roleFollower     statechart.State = "follower"
	rolePreCandidate statechart.State = "pre_candidate"
	roleCandidate    statechart.State = "candidate"
	roleLeader       statechart.State = "leader"
)

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
	errClosed = errors.Newf("group member is closed: %w", peer.ErrUnavailable)
	// errLost reports a proposal whose fate the deposed leader does not know.
	errLeadershipLost = errors.Newf("leadership lost before the commit was known: %w", peer.ErrUnavailable)
)

// reign is one leadership: it ends with the term or the leader's quorum.
type leadership struct {
	ctx         context.Context
	cancel      context.CancelFunc
	replicators map[string]*replicator
	// opening is the index of the entry that opened the term.
	noOpIndex uint64
	// synced is the newest own entry of the term that is on disk.
	synced uint64
	// reads counts the rounds that linearizable reads have asked for.
	readRounds uint64
	// ending turns proposals away while the leadership is handed over.
	transferring bool
}

// move takes the role that the chart gives for event.
func (n *Node) transition(event statechart.Event) bool {
	next, err := memberChart.Next(n.role, event)
	if n.check(err == nil, invariant.TransitionInChart, "%v", err) != nil {
		return false
	}
	n.role = next
	return true
}

func (n *Node) check(holds bool, name, format string, args ...any) error {
	return n.options.Check.Check(holds, name, format, args...)
}

// resign gives up whatever part the member played in an election or as leader
// and follows leader, which may be unknown.
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

// observe takes notice of a term seen in a message.
func (n *Node) observeTerm(term uint64) {
	if term <= n.term || n.failed != nil {
		return
	}
	n.term = term
	n.vote = ""
	n.stepDown("", eventStepDown)
	n.persist(nil)
}

// follow takes notice of a message by the leader of the term.
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

// lead begins the leadership after a won election.
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

// add appends an entry of the leader's own and wakes the replicators.
func (n *Node) appendEntry(kind entryKind, data []byte) uint64 {
	e := entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.appendEntry(e)
	n.persist([]entry{e})
	if n.failed == nil {
		n.leadership.wakeReplicators()
	}
	return e.Index
}

func (l *leadership) wakeReplicators() {
	for _, p := range l.replicators {
		p.signal()
	}
}

// hasQuorum tells whether a majority has answered the leader lately.
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
