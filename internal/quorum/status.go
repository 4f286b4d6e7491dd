package quorum

import (
	"slices"
	"time"
)

// MemberStatus is the state of one member as another member knows it.
type MemberStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Learner is true until the member becomes a voter.
	Learner bool `json:"learner"`
	// Synced is the newest index that the member has synced. Only the leader
	// knows it.
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
	// Founding is true while an initial member waits for the other initial members
	// to bootstrap the group.
	Founding bool `json:"founding,omitempty"`
	// BootstrapFailure is why an initial member's last attempt to bootstrap the
	// group failed, or "".
	BootstrapFailure string `json:"bootstrap_failure,omitempty"`
	// Retired is true if the group has removed this member.
	Retired bool `json:"retired,omitempty"`
	// Rejected is true if the group has started without the folder of this initial
	// member: the folder is empty and must join under another id.
	Rejected bool `json:"rejected,omitempty"`
	// LeaderContactAge is the time since the last message of the leader in seconds,
	// or since the start of this member if there was none.
	LeaderContactAge float64 `json:"heard_ago_seconds"`
	// Failure is why the member no longer takes part in the group, or "".
	Failure string `json:"failure,omitempty"`
}

// Status returns the state of the group as this member knows it, without asking
// other members.
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
	status.Rejected = n.rejected
	if n.bootstrapper != nil && n.bootstrapper.failure != nil {
		status.BootstrapFailure = n.bootstrapper.failure.Error()
	}
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

// memberStatus returns the status of one member. The caller holds n.mu.
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
