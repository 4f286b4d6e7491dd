package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// Member is one instance of the control group. Address is host:port.
type Member struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Address string `cbor:"2,keyasint" json:"address"`
	// Learner marks a member that receives the log but does not vote and counts
	// in no majority.
	Learner bool `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
	// FailureDomain is used to spread the voters over failure domains when their
	// number is limited.
	FailureDomain string `cbor:"4,keyasint,omitempty" json:"failure_domain,omitempty"`
}

// configuration is the set of members of the group.
type configuration struct {
	Members []Member `cbor:"1,keyasint"`
	// Retired are the ids of removed members. They cannot be added again.
	Retired []string `cbor:"2,keyasint,omitempty"`
}

// find returns the member with that id and reports whether there is one.
func (c configuration) find(id string) (Member, bool) {
	for _, member := range c.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// isVoter reports whether id is a voting member.
func (c configuration) isVoter(id string) bool {
	member, found := c.find(id)
	return found && !member.Learner
}

// voters returns the members that vote.
func (c configuration) voters() []Member {
	var voters []Member
	for _, member := range c.Members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

// majority returns the number of voters that make a majority.
func (c configuration) majority() int {
	return len(c.voters())/2 + 1
}

// withMember returns a copy of the configuration in which member is added, or
// replaces the member with the same id.
func (c configuration) withMember(member Member) configuration {
	members := slices.Clone(c.Members)
	for i := range members {
		if members[i].ID == member.ID {
			members[i] = member
			return configuration{Members: members, Retired: c.Retired}
		}
	}
	return configuration{Members: append(members, member), Retired: c.Retired}
}

// withoutMember returns a copy of the configuration in which the member with that
// id is removed and its id retired.
func (c configuration) withoutMember(id string) configuration {
	members := slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.ID == id })
	return configuration{Members: members, Retired: append(slices.Clone(c.Retired), id)}
}

// configurationAt returns the group's configuration as of index and the index of
// the log entry that holds it. If no entry up to index holds one, it is the
// configuration at the base of the log. The caller holds n.mu.
func (n *Node) configurationAt(index uint64) (configuration, uint64) {
	for i := index; i > n.log.base; i-- {
		e := n.log.at(i)
		if e.Kind != kindConfiguration {
			continue
		}
		var c configuration
		err := peer.Decode(e.Data, &c)
		if err == nil {
			return c, i
		}
	}
	return n.baseConfiguration, n.log.base
}

// refreshConfiguration switches to the newest configuration in the log. As in
// the Raft paper, a configuration takes effect when it is appended, not when it
// is committed. The caller holds n.mu.
func (n *Node) refreshConfiguration() {
	n.configuration, n.configurationIndex = n.configurationAt(n.log.last())
	n.updateReplicators()
}

// encodeConfiguration returns the data of a configuration entry.
func encodeConfiguration(c configuration) ([]byte, error) {
	data, err := peer.Encode(c)
	if err != nil {
		return nil, errors.Newf("encode group configuration: %w", err)
	}
	return data, nil
}
