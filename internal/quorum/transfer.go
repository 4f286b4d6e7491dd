package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	transferProcedure = "/quorum/transfer"
	// transferTimeout limits a leadership transfer.
	transferTimeout = time.Second
)

// transferRequest asks a follower to start an election at once (TimeoutNow in the
// Raft dissertation).
type transferRequest struct {
	Term   uint64 `cbor:"1,keyasint"`
	Leader string `cbor:"2,keyasint"`
}

// transferResponse is the empty response to a transferRequest.
type transferResponse struct{}

// TransferLeadership transfers the leadership to the responsive voter with the
// newest log. It refuses proposals meanwhile, and returns once the leadership has
// ended or the transfer has failed. It does nothing if this member does not lead
// or no voter is responsive.
func (n *Node) TransferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	n.mu.Lock()
	current := n.leadership
	target := n.transferTarget()
	if target == nil {
		n.mu.Unlock()
		return
	}
	current.transferring = true
	n.mu.Unlock()
	defer n.endTransfer(current)
	err := n.waitWhileLeading(ctx, current, func() bool { return target.match >= n.log.last() })
	if err != nil {
		return
	}
	n.mu.Lock()
	request := &transferRequest{Term: n.term, Leader: n.options.ID}
	address := target.member.Address
	n.mu.Unlock()
	_, err = peer.Call[transferRequest, transferResponse](ctx, n.options.Client, address, transferProcedure, request)
	if err != nil {
		return
	}
	_ = n.waitWhileLeading(ctx, current, func() bool { return false })
}

// endTransfer accepts proposals again after a failed transfer.
func (n *Node) endTransfer(current *leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current.transferring = false
}

// transferTarget returns the replicator of the responsive voter with the newest
// log, or nil. The caller holds n.mu.
func (n *Node) transferTarget() *replicator {
	if n.leadership == nil {
		return nil
	}
	var best *replicator
	for _, p := range n.leadership.replicators {
		responsive := time.Since(p.lastContact) < minElectionTimeout
		if p.member.Learner || !responsive {
			continue
		}
		if best == nil || p.match > best.match {
			best = p
		}
	}
	return best
}

// serveTransfer starts an election at the request of the current leader.
func (n *Node) serveTransfer(_ context.Context, request *transferRequest) (*transferResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	err := n.checkActive()
	if err != nil {
		return nil, err
	}
	if request.Term != n.term || request.Leader != n.leader || !n.configuration.isVoter(n.options.ID) {
		return nil, errors.Newf("hand-over of term %d is out of date: %w", request.Term, peer.ErrInvalid)
	}
	n.campaign(eventTransfer)
	return &transferResponse{}, nil
}
