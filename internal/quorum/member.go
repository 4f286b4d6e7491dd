package quorum

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const memberProcedure = "/quorum/member"

// memberRequest asks the leader to add or remove one member.
type memberRequest struct {
	Add    *Member `cbor:"1,keyasint,omitempty"`
	Remove string  `cbor:"2,keyasint,omitempty"`
}

// ErrRetired reports that a member id belonged to a removed member and cannot be
// used again. It is also a peer.ErrInvalid.
var ErrRetired = errors.Mark(errors.New("the member id was used before"), peer.ErrInvalid)

// memberResponse is the response to a memberRequest.
type memberResponse struct {
	// NotLeader means that the member does not lead and nothing was changed.
	NotLeader bool `cbor:"1,keyasint,omitempty"`
	// Refused is the reason why the change was refused, or "".
	Refused string `cbor:"2,keyasint,omitempty"`
	// Retired means that the member id belonged to a removed member and cannot be
	// used again.
	Retired bool `cbor:"3,keyasint,omitempty"`
}

// AddMember adds a member without a failure domain as a learner; see AddLearner.
func (n *Node) AddMember(ctx context.Context, id, address string) error {
	return n.AddLearner(ctx, Member{ID: id, Address: address})
}

// AddLearner adds member to the group as a learner and returns once the change is
// committed. It becomes a voter once it has synced all committed entries and the
// limit on voters allows it; Status shows when. Adding a member that exists with
// the same address changes nothing. The error wraps ErrRetired for a retired id,
// peer.ErrInvalid for a request that cannot succeed, and peer.ErrUnavailable if
// the outcome is unknown or the call can be repeated.
func (n *Node) AddLearner(ctx context.Context, member Member) error {
	member.Learner = true
	return n.changeMember(ctx, &memberRequest{Add: &member})
}

// RemoveMember removes a member and retires its id, which cannot be used again.
// Removing an unknown member changes nothing. The leader first transfers its
// leadership if it is the member to remove. The errors are those of AddLearner.
func (n *Node) RemoveMember(ctx context.Context, id string) error {
	return n.changeMember(ctx, &memberRequest{Remove: id})
}

// changeMember repeats a change until it reaches a leader or proposeTimeout
// elapses.
func (n *Node) changeMember(ctx context.Context, request *memberRequest) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		err := n.tryChangeMember(ctx, request)
		if !errors.Is(err, errNotLeader) {
			return err
		}
		err = n.pause(ctx, leaderRetry)
		if err != nil {
			return errors.Newf("change member without a leader: %w", err)
		}
	}
}

// tryChangeMember makes one attempt, locally or at the leader. It returns
// errNotLeader only if nothing was changed.
func (n *Node) tryChangeMember(ctx context.Context, request *memberRequest) error {
	err := n.changeMemberLocally(ctx, request)
	if !errors.Is(err, errNotLeader) {
		return err
	}
	address := n.leaderAddress()
	if address == "" {
		return errNotLeader
	}
	response, err := peer.Call[memberRequest, memberResponse](ctx, n.options.Client, address, memberProcedure, request)
	if err != nil {
		return peer.Unavailable("forward to the leader", err)
	}
	if response.NotLeader {
		return errNotLeader
	}
	if response.Retired {
		return ErrRetired
	}
	if response.Refused != "" {
		return errors.Newf("%s: %w", response.Refused, peer.ErrInvalid)
	}
	return nil
}

// serveMember serves a member change that another member forwards.
func (n *Node) serveMember(ctx context.Context, request *memberRequest) (*memberResponse, error) {
	err := n.changeMemberLocally(ctx, request)
	switch {
	case err == nil:
		return &memberResponse{}, nil
	case errors.Is(err, errNotLeader):
		return &memberResponse{NotLeader: true}, nil
	case errors.Is(err, ErrRetired):
		return &memberResponse{Retired: true}, nil
	case errors.Is(err, peer.ErrInvalid):
		return &memberResponse{Refused: err.Error()}, nil
	default:
		return nil, err
	}
}

// changeMemberLocally makes a member change if this member leads, and waits until
// it is committed. A leader that is to be removed first transfers its leadership.
func (n *Node) changeMemberLocally(ctx context.Context, request *memberRequest) error {
	if request.Remove == n.options.ID {
		n.TransferLeadership()
	}
	n.mu.Lock()
	err := n.checkMemberChange()
	if err != nil {
		n.mu.Unlock()
		return err
	}
	next, changed, err := n.configuration.applyChange(request, n.options.ID)
	if err != nil || !changed {
		n.mu.Unlock()
		return err
	}
	p, err := n.appendConfiguration(next)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = p.wait(ctx)
	return err
}

// checkMemberChange returns an error unless the leader may append a configuration
// now. Only one change may be in progress, and an entry of the leader's own term
// must be committed first. The caller holds n.mu.
func (n *Node) checkMemberChange() error {
	if n.failed != nil {
		return n.failed
	}
	if n.leadership == nil || n.leadership.transferring {
		return errNotLeader
	}
	if n.commit < n.leadership.noOpIndex || n.configurationIndex > n.commit {
		return errors.Newf("another change of the group is in progress: retry later: %w", peer.ErrUnavailable)
	}
	return nil
}

// applyChange returns the configuration after request and reports whether it
// differs from c. leader is the id of the leader.
func (c configuration) applyChange(request *memberRequest, leader string) (next configuration, changed bool, err error) {
	if request.Add != nil {
		return c.addMember(*request.Add)
	}
	member, found := c.find(request.Remove)
	if !found {
		return c, false, nil
	}
	if !member.Learner && len(c.voters()) == 1 {
		return c, false, errors.Newf("the last voter cannot be removed: %w", peer.ErrInvalid)
	}
	if request.Remove == leader {
		return c, false, errors.Newf("the leader cannot be removed while no other member can lead: %w", peer.ErrUnavailable)
	}
	return c.withoutMember(request.Remove), true, nil
}

// addMember returns the configuration with member added and reports whether it
// differs from c.
func (c configuration) addMember(member Member) (next configuration, changed bool, err error) {
	if member.ID == "" || member.Address == "" {
		return c, false, errors.Newf("a member needs an id and an address: %w", peer.ErrInvalid)
	}
	if slices.Contains(c.Retired, member.ID) {
		return c, false, errors.Newf("member id %s: choose a new one: %w", member.ID, ErrRetired)
	}
	known, found := c.find(member.ID)
	if found && known.Address == member.Address {
		return c, false, nil
	}
	if found {
		return c, false, errors.Newf("member %s has the address %s: remove it first: %w", member.ID, known.Address, peer.ErrInvalid)
	}
	return c.withMember(member), true, nil
}

// appendConfiguration appends a configuration entry and returns its proposal. The
// caller holds n.mu, and this member leads.
func (n *Node) appendConfiguration(next configuration) (*proposal, error) {
	data, err := encodeConfiguration(next)
	if err != nil {
		return nil, err
	}
	p := n.newProposal()
	n.appendEntry(kindConfiguration, data)
	if n.failed != nil {
		return nil, n.failed
	}
	n.refreshConfiguration()
	return p, nil
}

// promoteIfCaughtUp makes a learner a voter if it has synced all committed entries
// and the limit on voters allows it. The caller holds n.mu.
func (n *Node) promoteIfCaughtUp(p *replicator) {
	if n.leadership == nil || !p.member.Learner || p.match < n.commit || n.checkMemberChange() != nil {
		return
	}
	if n.options.Voters > 0 && len(n.configuration.voters()) >= n.options.Voters {
		return
	}
	member := p.member
	member.Learner = false
	_, _ = n.appendConfiguration(n.configuration.withMember(member))
}
