package quorum

import (
	"slices"
	"time"
)

// MemberStatus is what a member knows of another.
type MemberStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Learner is true until the member has synced all that is committed and
	// votes.
	Learner bool `json:"learner"`
	// Synced is the newest index on the member's disk, as the leader knows it.
	Synced uint64 `json:"synced,omitempty"`
}

// Status describes a member for operators.
type Status struct {
	ID        string         `json:"id"`
	Role      string         `json:"role"`
	Term      uint64         `json:"term"`
	Leader    string         `json:"leader"`
	Committed uint64         `json:"committed"`
	Applied   uint64         `json:"applied"`
	Admitted  bool           `json:"admitted"`
	Members   []MemberStatus `json:"members"`
	// Founding tells that a first member waits for the other first members.
	Founding bool `json:"founding,omitempty"`
	// Retired tells that the group removed this member for good.
	Retired bool `json:"retired,omitempty"`
	// LeaderContactAge is the time since the leader was heard, in seconds.
	LeaderContactAge float64 `json:"heard_ago_seconds"`
	// Failure is why the member takes no more part.
	Failure string `json:"failure,omitempty"`
}

// Status returns what the member knows of the group, by itself.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	status := Status{
		ID:        n.options.ID,
		Role:      string(n.role),
		Term:      n.term,
		Leader:    n.leader,
		Committed: n.commit,
		Applied:   n.applied,
		Admitted:  n.identity.Admitted,
	}
	if n.failed != nil {
		status.Failure = n.failed.Error()
	}
	status.Founding = !n.identity.Admitted && n.isInitialMember()
	if !n.lastLeaderContact.IsZero() {
		status.LeaderContactAge = time.Since(n.lastLeaderContact).Seconds()
	} else {
		status.LeaderContactAge = time.Since(n.openedAt).Seconds()
	}
	committed, _ := n.configurationAt(n.commit)
	status.Retired = slices.Contains(committed.Retired, n.options.ID)
	for _, member := range committed.Members {
		status.Members = append(status.Members, n.memberStatus(member))
	}
	return status
}

func (n *Node) memberStatus(member Member) MemberStatus {
	status := MemberStatus{ID: member.ID, Address: member.Address, Learner: member.Learner}
	if n.leadership == nil {
		return status
	}
	if member.ID == n.options.ID {
		status.Synced = n.leadership.synced
	} else if p := n.leadership.replicators[member.ID]; p != nil {
		status.Synced = p.match
	}
	return status
}
