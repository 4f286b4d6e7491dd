package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	readProcedure = "/quorum/read"
	readTimeout   = 3 * time.Second
	// readCallTimeout is short, so that a read goes on over a new connection
	// when one has gone silent.
	readCallTimeout = 500 * time.Millisecond
)

type readRequest struct{}

type readResponse struct {
	Index uint64 `cbor:"1,keyasint"`
	// NotLeader means that another member is to be asked.
	NotLeader bool `cbor:"2,keyasint,omitempty"`
}

// Barrier returns once the machine here has applied all that was committed
// before the call. A majority confirms each barrier, so that an isolated or
// long frozen leader answers none.
func (n *Node) Barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		index, err := n.readIndex(ctx)
		if err == nil {
			return n.awaitApplied(ctx, index)
		}
		if n.pause(ctx, leaderRetry) != nil {
			return peer.Unavailable("read barrier", err)
		}
	}
}

func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	index, err := n.confirmRead(ctx)
	if !errors.Is(err, errNotLeader) {
		return index, err
	}
	address := n.leaderAddress()
	if address == "" {
		return 0, errNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, readCallTimeout)
	defer cancel()
	response, err := peer.Call[readRequest, readResponse](ctx, n.options.Client, address, readProcedure, &readRequest{})
	if err != nil {
		return 0, peer.Unavailable("ask the leader", err)
	}
	if response.NotLeader {
		return 0, errNotLeader
	}
	return response.Index, nil
}

// confirmRead returns the commit index once a majority has confirmed, after
// it was read, that this member still leads.
func (n *Node) confirmRead(ctx context.Context) (uint64, error) {
	n.mu.Lock()
	current := n.leadership
	n.mu.Unlock()
	if current == nil {
		return 0, errNotLeader
	}
	err := n.waitWhileLeading(ctx, current, func() bool { return n.commit >= current.noOpIndex })
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	current.readRounds++
	round := current.readRounds
	index := n.commit
	current.wakeReplicators()
	n.mu.Unlock()
	err = n.waitWhileLeading(ctx, current, func() bool { return n.isConfirmed(round) })
	if err != nil {
		return 0, err
	}
	return index, nil
}

func (n *Node) waitWhileLeading(ctx context.Context, current *leadership, holds func() bool) error {
	return n.waitFor(ctx, func() (bool, error) {
		if n.leadership != current {
			return false, errNotLeader
		}
		return holds(), nil
	})
}

func (n *Node) isConfirmed(round uint64) bool {
	count := 0
	for _, voter := range n.configuration.voters() {
		p := n.leadership.replicators[voter.ID]
		if voter.ID == n.options.ID || p != nil && p.confirmedRound >= round {
			count++
		}
	}
	return count >= n.configuration.majority()
}

func (n *Node) awaitApplied(ctx context.Context, index uint64) error {
	return n.waitFor(ctx, func() (bool, error) { return n.applied >= index, nil })
}

func (n *Node) serveRead(ctx context.Context, _ *readRequest) (*readResponse, error) {
	index, err := n.confirmRead(ctx)
	if errors.Is(err, errNotLeader) {
		return &readResponse{NotLeader: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &readResponse{Index: index}, nil
}
