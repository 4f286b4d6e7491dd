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
	errLost = errors.Newf("leadership lost before the commit was known: %w", peer.ErrUnavailable)
)

// reign is one leadership: it ends with the term or the leader's quorum.
type reign struct {
	ctx    context.Context
	cancel context.CancelFunc
	peers  map[string]*replicator
	// opening is the index of the entry that opened the term.
	opening uint64
	// synced is the newest own entry of the term that is on disk.
	synced uint64
	// reads counts the rounds that linearizable reads have asked for.
	reads uint64
	// ending turns proposals away while the leadership is handed over.
	ending bool
}

// move takes the role that the chart gives for event.
func (n *Node) move(event statechart.Event) bool {
	next, err := memberChart.Next(n.role, event)
	if n.check(err == nil, invariant.ChartTransition, "%v", err) != nil {
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
func (n *Node) resign(leader string, event statechart.Event) {
	n.ballot = nil
	if n.reign != nil {
		n.reign.cancel()
		n.reign = nil
	}
	for index, w := range n.waiting {
		w.outcome <- outcome{err: errLost}
		delete(n.waiting, index)
	}
	n.leader = leader
	n.move(event)
	n.broadcast()
}

// observe takes notice of a term seen in a message.
func (n *Node) observe(term uint64) {
	if term <= n.term || n.failed != nil {
		return
	}
	n.term = term
	n.vote = ""
	n.resign("", eventStepDown)
	n.save(nil)
}

// follow takes notice of a message by the leader of the term.
func (n *Node) follow(leader string) error {
	err := n.check(n.role != roleLeader, invariant.OneLeader, "%s leads term %d, which %s leads too", leader, n.term, n.options.ID)
	if err != nil {
		return err
	}
	err = n.check(n.leader == "" || n.leader == leader, invariant.OneLeader, "%s and %s lead term %d", n.leader, leader, n.term)
	if err != nil {
		return err
	}
	if n.role != roleFollower || n.leader != leader {
		n.resign(leader, eventStepDown)
	}
	n.heard = time.Now()
	n.elector.postpone()
	return nil
}

// lead begins the leadership after a won election.
func (n *Node) lead() {
	if !n.move(eventVoteWon) {
		return
	}
	n.ballot = nil
	n.leader = n.options.ID
	ctx, cancel := context.WithCancel(context.Background())
	n.reign = &reign{ctx: ctx, cancel: cancel, peers: make(map[string]*replicator)}
	n.elector.postpone()
	n.updateReplicators()
	n.reign.opening = n.add(kindNoOp, nil)
	n.broadcast()
}

// add appends an entry of the leader's own and wakes the replicators.
func (n *Node) add(kind entryKind, data []byte) uint64 {
	e := entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.add(e)
	n.save([]entry{e})
	if n.failed == nil {
		n.reign.wake()
	}
	return e.Index
}

func (r *reign) wake() {
	for _, p := range r.peers {
		p.signal()
	}
}

// hasQuorum tells whether a majority has answered the leader lately.
func (n *Node) hasQuorum() bool {
	count := 0
	for _, voter := range n.configuration.voters() {
		p := n.reign.peers[voter.ID]
		if voter.ID == n.options.ID || p != nil && time.Since(p.answered) < maxElectionTimeout {
			count++
		}
	}
	return count >= n.configuration.majority()
}
