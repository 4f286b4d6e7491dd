package quorum

import (
	"context"
	"time"
)

const (
	keepInterval = 200 * time.Millisecond
	// lostAfter is the silence after which a voter gives its place to a learner
	// that has caught up. It is above the pauses of a sound member.
	lostAfter = 1500 * time.Millisecond
	// forgetAfter is the silence after which a learner is removed.
	forgetAfter = 15 * time.Second
	// changeTimeout bounds one change of the members.
	changeTimeout = time.Second
)

// keeper keeps the number of voters while this member leads: a learner takes
// the place of a voter that is lost.
type keeper struct {
	node *Node
}

func (k *keeper) run() {
	n := k.node
	for n.pause(context.Background(), keepInterval) == nil {
		id, found := k.choose()
		if found {
			k.remove(id)
		}
	}
}

func (k *keeper) remove(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	err := k.node.changeMemberHere(ctx, &memberRequest{Remove: id})
	if err == nil {
		k.promote()
	}
}

// promote makes the best learner a voter at once.
func (k *keeper) promote() {
	n := k.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reign != nil {
		n.promoteBestLearner()
	}
}

// promoteBestLearner is called with mu held by the leader.
func (n *Node) promoteBestLearner() {
	best := n.bestLearner()
	if best != nil {
		n.promote(best)
	}
}

// choose returns a member to remove: a voter that is lost while a learner can
// take its place, or a learner that has long been silent.
func (k *keeper) choose() (string, bool) {
	n := k.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil || n.mayChangeMember() != nil {
		return "", false
	}
	if len(n.configuration.voters()) < n.options.Voters {
		n.promoteBestLearner()
		return "", false
	}
	lost := n.lostVoter()
	if lost != "" && n.bestLearner() != nil && n.surviveWithout(lost) {
		return lost, true
	}
	return n.forgottenLearner()
}

// lostVoter returns a voter that has been silent or whose address another
// member has, or "".
func (n *Node) lostVoter() string {
	for id, p := range n.reign.peers {
		if p.member.Learner {
			continue
		}
		if time.Since(p.answered) > lostAfter || n.isReplaced(p.member) {
			return id
		}
	}
	return ""
}

// isReplaced tells whether a later member has the same address: the folder of
// the earlier one is lost.
func (n *Node) isReplaced(member Member) bool {
	later := false
	for _, other := range n.configuration.Members {
		if other.ID == member.ID {
			later = true
			continue
		}
		if later && other.Address == member.Address {
			return true
		}
	}
	return false
}

// surviveWithout tells whether the voters other than id that answer are a
// majority of those that are left.
func (n *Node) surviveWithout(id string) bool {
	left, answering := 0, 0
	for _, voter := range n.configuration.voters() {
		if voter.ID == id {
			continue
		}
		left++
		if n.isAnswering(voter) {
			answering++
		}
	}
	return answering > left/2
}

// isAnswering tells whether the leader has heard a voter lately; it hears
// itself.
func (n *Node) isAnswering(voter Member) bool {
	p := n.reign.peers[voter.ID]
	return voter.ID == n.options.ID || p != nil && time.Since(p.answered) < lostAfter
}

// bestLearner returns a learner that answers and has caught up, out of the
// failure domain that has the fewest voters, or nil.
func (n *Node) bestLearner() *replicator {
	voters := make(map[string]int)
	for _, voter := range n.configuration.voters() {
		if n.isAnswering(voter) {
			voters[voter.FailureDomain]++
		}
	}
	var best *replicator
	for _, p := range n.reign.peers {
		ready := p.member.Learner && p.match >= n.commit && p.match > 0 && time.Since(p.answered) < minElectionTimeout
		if !ready {
			continue
		}
		if best == nil || voters[p.member.FailureDomain] < voters[best.member.FailureDomain] {
			best = p
		}
	}
	return best
}

func (n *Node) forgottenLearner() (string, bool) {
	for id, p := range n.reign.peers {
		if p.member.Learner && (time.Since(p.answered) > forgetAfter || n.isReplaced(p.member)) {
			return id, true
		}
	}
	return "", false
}
