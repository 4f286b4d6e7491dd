package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	transferProcedure = "/quorum/transfer"
	transferTimeout   = time.Second
)

type transferRequest struct {
	Term   uint64 `cbor:"1,keyasint"`
	Leader string `cbor:"2,keyasint"`
}

type transferResponse struct{}

// TransferLeadership moves the leadership to the member that lags least, if there is
// one; proposals are turned away meanwhile.
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

// resume takes proposals again after a failed hand-over.
func (n *Node) endTransfer(current *leadership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current.transferring = false
}

// successor returns the voter that answers and lags least.
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
