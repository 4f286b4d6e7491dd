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

// HandOver moves the leadership to the member that lags least, if there is
// one; proposals are turned away meanwhile.
func (n *Node) HandOver() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	n.mu.Lock()
	current := n.reign
	target := n.successor()
	if target == nil {
		n.mu.Unlock()
		return
	}
	current.ending = true
	n.mu.Unlock()
	defer n.resume(current)
	err := n.awaitReign(ctx, current, func() bool { return target.match >= n.log.last() })
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
	_ = n.awaitReign(ctx, current, func() bool { return false })
}

// resume takes proposals again after a failed hand-over.
func (n *Node) resume(current *reign) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current.ending = false
}

// successor returns the voter that answers and lags least.
func (n *Node) successor() *replicator {
	if n.reign == nil {
		return nil
	}
	var best *replicator
	for _, p := range n.reign.peers {
		answers := time.Since(p.answered) < minElectionTimeout
		if p.member.Learner || !answers {
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
	err := n.takesPart()
	if err != nil {
		return nil, err
	}
	if request.Term != n.term || request.Leader != n.leader || !n.configuration.isVoter(n.options.ID) {
		return nil, errors.Newf("hand-over of term %d is out of date: %w", request.Term, peer.ErrInvalid)
	}
	n.startBallot(eventTransfer)
	return &transferResponse{}, nil
}
