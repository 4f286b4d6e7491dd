package quorum

import (
	"context"
	"time"
)

const (
	// voterCheckInterval is the time between two checks of the members.
	voterCheckInterval = 200 * time.Millisecond
	// voterTimeout is the time without a response after which a voter is
	// replaced by a learner that has caught up. It is longer than the pauses of a
	// healthy member.
	voterTimeout = 1500 * time.Millisecond
	// learnerTimeout is the time without a response after which a learner is
	// removed.
	learnerTimeout = 15 * time.Second
	// memberChangeTimeout limits one change of the members.
	memberChangeTimeout = time.Second
)

// voterReplacer maintains the number of voters while this member leads: it
// replaces a lost voter by a learner, and removes learners that have stopped
// responding.
type voterReplacer struct {
	node *Node
}

// run checks the members periodically until the node stops.
func (r *voterReplacer) run() {
	n := r.node
	for n.pause(context.Background(), voterCheckInterval) == nil {
		id, found := r.chooseRemoval()
		if found {
			r.replaceMember(id)
		}
	}
}

// replaceMember removes a member and then makes a learner a voter.
func (r *voterReplacer) replaceMember(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), memberChangeTimeout)
	defer cancel()
	err := r.node.changeMemberLocally(ctx, &memberRequest{Remove: id})
	if err == nil {
		r.promoteReplacement()
	}
}

// promoteReplacement makes the best learner a voter, if this member still leads.
func (r *voterReplacer) promoteReplacement() {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil {
		n.promoteBestLearner()
	}
}

// promoteBestLearner makes the best learner a voter, if there is one. The caller
// holds n.mu, and this member leads.
func (n *Node) promoteBestLearner() {
	best := n.bestLearner()
	if best != nil {
		n.promoteIfCaughtUp(best)
	}
}

// chooseRemoval returns a member to remove and reports whether there is one:
// either a lost voter that a learner can replace, or a learner that has stopped
// responding. If there are too few voters, it promotes a learner instead.
func (r *voterReplacer) chooseRemoval() (string, bool) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil || n.checkMemberChange() != nil {
		return "", false
	}
	if len(n.configuration.voters()) < n.options.Voters {
		n.promoteBestLearner()
		return "", false
	}
	lost := n.lostVoter()
	if lost != "" && n.bestLearner() != nil && n.hasMajorityWithout(lost) {
		return lost, true
	}
	return n.lostLearner()
}

// lostVoter returns the id of a voter that has stopped responding or whose address
// another member has taken over, or "".
func (n *Node) lostVoter() string {
	for id, p := range n.leadership.replicators {
		if p.member.Learner {
			continue
		}
		if time.Since(p.lastContact) > voterTimeout || n.isReplaced(p.member) {
			return id
		}
	}
	return ""
}

// isReplaced reports whether a member that was added later has the same address.
// The data folder of the earlier member is then lost.
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

// hasMajorityWithout reports whether, after the removal of voter id, a majority of
// the remaining voters is responsive.
func (n *Node) hasMajorityWithout(id string) bool {
	remaining, responsive := 0, 0
	for _, voter := range n.configuration.voters() {
		if voter.ID == id {
			continue
		}
		remaining++
		if n.isResponsive(voter) {
			responsive++
		}
	}
	return responsive > remaining/2
}

// isResponsive reports whether a voter has responded to the leader within
// voterTimeout. The leader itself is always responsive.
func (n *Node) isResponsive(voter Member) bool {
	p := n.leadership.replicators[voter.ID]
	return voter.ID == n.options.ID || p != nil && time.Since(p.lastContact) < voterTimeout
}

// bestLearner returns a responsive learner that has caught up, from the failure
// domain with the fewest responsive voters, or nil.
func (n *Node) bestLearner() *replicator {
	voters := make(map[string]int)
	for _, voter := range n.configuration.voters() {
		if n.isResponsive(voter) {
			voters[voter.FailureDomain]++
		}
	}
	var best *replicator
	for _, p := range n.leadership.replicators {
		ready := p.member.Learner && p.match >= n.commit && p.match > 0 && time.Since(p.lastContact) < minElectionTimeout
		if !ready {
			continue
		}
		if best == nil || voters[p.member.FailureDomain] < voters[best.member.FailureDomain] {
			best = p
		}
	}
	return best
}

// lostLearner returns the id of a learner to remove and reports whether there is
// one: it has not responded within learnerTimeout or has been replaced at its
// address.
func (n *Node) lostLearner() (string, bool) {
	for id, p := range n.leadership.replicators {
		if p.member.Learner && (time.Since(p.lastContact) > learnerTimeout || n.isReplaced(p.member)) {
			return id, true
		}
	}
	return "", false
}
