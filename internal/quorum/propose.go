package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	proposeProcedure = "/quorum/propose"
	// proposeTimeout limits a proposal or a member change, including retries.
	proposeTimeout = 5 * time.Second
	// leaderRetry is the pause between two attempts to reach a leader.
	leaderRetry = 50 * time.Millisecond
	// maxCommandBytes is below peer.MaxMessageBytes to leave room for the rest of
	// the message.
	maxCommandBytes = 6 << 20
)

// errNotLeader reports that this member does not lead and has appended nothing, so
// that a retry is safe.
var errNotLeader = errors.Newf("this member does not lead: %w", peer.ErrUnavailable)

// proposeRequest forwards a command to the leader.
type proposeRequest struct {
	Command []byte `cbor:"1,keyasint"`
}

// proposeResponse is the response to a proposeRequest.
type proposeResponse struct {
	Result []byte `cbor:"1,keyasint,omitempty"`
	// NotLeader means that the member does not lead and did not append the command.
	NotLeader bool `cbor:"2,keyasint,omitempty"`
}

// Propose commits command, applies it and returns the state machine's result. A
// follower forwards the command to the leader. After an error that wraps
// peer.ErrUnavailable the command may already be committed or may still be
// committed later. A command that is too large is refused with peer.ErrInvalid.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, errors.Newf("command of %d bytes is too large: %w", len(command), peer.ErrInvalid)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		result, err := n.tryPropose(ctx, command)
		if !errors.Is(err, errNotLeader) {
			return result, err
		}
		err = n.pause(ctx, leaderRetry)
		if err != nil {
			return nil, errors.Newf("propose without a leader: %w", err)
		}
	}
}

// tryPropose makes one attempt, locally or at the leader. It returns errNotLeader
// only if the command was not appended.
func (n *Node) tryPropose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := n.proposeLocally(ctx, command)
	if !errors.Is(err, errNotLeader) {
		return result, err
	}
	address := n.leaderAddress()
	if address == "" {
		return nil, errNotLeader
	}
	response, err := peer.Call[proposeRequest, proposeResponse](ctx, n.options.Client, address, proposeProcedure, &proposeRequest{Command: command})
	if err != nil {
		return nil, peer.Unavailable("forward to the leader", err)
	}
	if response.NotLeader {
		return nil, errNotLeader
	}
	return response.Result, nil
}

// leaderAddress returns the address of the leader, or "" if the leader is unknown
// or is this member.
func (n *Node) leaderAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == n.options.ID {
		return ""
	}
	member, _ := n.configuration.find(n.leader)
	return member.Address
}

// proposeLocally appends a command if this member leads and waits for its outcome.
func (n *Node) proposeLocally(ctx context.Context, command []byte) ([]byte, error) {
	n.mu.Lock()
	if n.failed != nil {
		defer n.mu.Unlock()
		return nil, n.failed
	}
	if n.leadership == nil || n.leadership.transferring {
		n.mu.Unlock()
		return nil, errNotLeader
	}
	if len(n.pendingProposals) >= maxPendingProposals {
		n.mu.Unlock()
		return nil, errors.Newf("too many proposals wait: retry later: %w", peer.ErrUnavailable)
	}
	p := n.newProposal()
	n.appendEntry(kindCommand, command)
	n.mu.Unlock()
	return p.wait(ctx)
}

// newProposal registers and returns the proposal for the entry that the leader
// appends next. The caller holds n.mu.
func (n *Node) newProposal() *proposal {
	p := &proposal{term: n.term, outcome: make(chan outcome, 1)}
	n.pendingProposals[n.log.last()+1] = p
	return p
}

// wait returns the outcome of the proposal.
func (p *proposal) wait(ctx context.Context) ([]byte, error) {
	select {
	case o := <-p.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return nil, peer.Unavailable("commit", ctx.Err())
	}
}

// servePropose serves a command that another member forwards.
func (n *Node) servePropose(ctx context.Context, request *proposeRequest) (*proposeResponse, error) {
	result, err := n.proposeLocally(ctx, request.Command)
	if errors.Is(err, errNotLeader) {
		return &proposeResponse{NotLeader: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &proposeResponse{Result: result}, nil
}

// pause waits for a duration. It returns an error if ctx or the node ends first.
func (n *Node) pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-n.stop:
		return errClosed
	case <-ctx.Done():
		return peer.Unavailable("pause", ctx.Err())
	}
}
