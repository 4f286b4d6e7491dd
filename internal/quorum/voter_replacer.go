package quorum

import (
	"context"
	"time"
)

const (
	voterCheckInterval = 200 * time.Millisecond
	// lostAfter is the silence after which a voter gives its place to a learner
	// that has caught up. It is above the pauses of a sound member.
	voterSilenceLimit = 1500 * time.Millisecond
	// forgetAfter is the silence after which a learner is removed.
	learnerSilenceLimit = 15 * time.Second
	// changeTimeout bounds one change of the members.
	memberChangeTimeout = time.Second
)

// keeper keeps the number of voters while this member leads: a learner takes
// the place of a voter that is lost.
type voterReplacer struct {
	node *Node
}

func (r *voterReplacer) run() {
	n := r.node
	for n.pause(context.Background(), voterCheckInterval) == nil {
		id, found := r.chooseRemoval()
		if found {
			r.replaceMember(id)
		}
	}
}

func (r *voterReplacer) replaceMember(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), memberChangeTimeout)
	defer cancel()
	err := r.node.changeMemberLocally(ctx, &memberRequest{Remove: id})
	if err == nil {
		r.promoteReplacement()
	}
}

// promote makes the best learner a voter at once.
func (r *voterReplacer) promoteReplacement() {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership != nil {
		n.promoteBestLearner()
	}
}

// promoteBestLearner is called with mu held by the leader.
func (n *Node) promoteBestLearner() {
	best := n.bestLearner()
	if best != nil {
		n.promoteIfCaughtUp(best)
	}
}

// choose returns a member to remove: a voter that is lost while a learner can
// take its place, or a learner that has long been silent.
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
	return n.silentLearner()
}

// lostVoter returns a voter that has been silent or whose address another
// member has, or "".
func (n *Node) lostVoter() string {
	for id, p := range n.leadership.replicators {
		if p.member.Learner {
			continue
		}
		if time.Since(p.lastContact) > voterSilenceLimit || n.isReplaced(p.member) {
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

// isAnswering tells whether the leader has heard a voter lately; it hears
// itself.
func (n *Node) isResponsive(voter Member) bool {
	p := n.leadership.replicators[voter.ID]
	return voter.ID == n.options.ID || p != nil && time.Since(p.lastContact) < voterSilenceLimit
}

// bestLearner returns a learner that answers and has caught up, out of the
// failure domain that has the fewest voters, or nil.
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

func (n *Node) silentLearner() (string, bool) {
	for id, p := range n.leadership.replicators {
		if p.member.Learner && (time.Since(p.lastContact) > learnerSilenceLimit || n.isReplaced(p.member)) {
			return id, true
		}
	}
	return "", false
}
