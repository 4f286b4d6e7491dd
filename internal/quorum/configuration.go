package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// Member is one instance of the group.
type Member struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Address string `cbor:"2,keyasint" json:"address"`
	// Learner receives the log but counts in no majority.
	Learner bool `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
	// FailureDomain spreads the voters when their number is bounded.
	FailureDomain string `cbor:"4,keyasint,omitempty" json:"failure_domain,omitempty"`
}

// configuration is who belongs to the group.
type configuration struct {
	Members []Member `cbor:"1,keyasint"`
	// Retired are the ids of removed members, which may not come back.
	Retired []string `cbor:"2,keyasint,omitempty"`
}

func (c configuration) find(id string) (Member, bool) {
	for _, member := range c.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func (c configuration) isVoter(id string) bool {
	member, found := c.find(id)
	return found && !member.Learner
}

func (c configuration) voters() []Member {
	var voters []Member
	for _, member := range c.Members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

// majority returns how many voters decide.
func (c configuration) majority() int {
	return len(c.voters())/2 + 1
}

// with returns the configuration with member added or replaced.
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

// without returns the configuration with the member of that id retired.
func (c configuration) withoutMember(id string) configuration {
	members := slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.ID == id })
	return configuration{Members: members, Retired: append(slices.Clone(c.Retired), id)}
}

// configurationAt returns the group's configuration as of index and the index
// of the entry that made it.
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

// refreshConfiguration takes the newest configuration of the log in force. A
// configuration counts from the moment it is appended.
func (n *Node) refreshConfiguration() {
	n.configuration, n.configurationIndex = n.configurationAt(n.log.last())
	n.updateReplicators()
}

func encodeConfiguration(c configuration) ([]byte, error) {
	data, err := peer.Encode(c)
	if err != nil {
		return nil, errors.Newf("encode group configuration: %w", err)
	}
	return data, nil
}
