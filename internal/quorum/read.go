package quorum

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	readProcedure = "/quorum/read"
	// readTimeout limits one barrier, including retries.
	readTimeout = 3 * time.Second
	// readCallTimeout limits one call to the leader. It is short, so that a read is
	// retried on a new connection when the current one has stopped responding.
	readCallTimeout = 500 * time.Millisecond
)

// readRequest asks the leader for a read index.
type readRequest struct{}

// readResponse is the response to a readRequest.
type readResponse struct {
	// Index is the index that must be applied before the read.
	Index uint64 `cbor:"1,keyasint"`
	// NotLeader means that the member does not lead.
	NotLeader bool `cbor:"2,keyasint,omitempty"`
}

// Barrier returns once this member's state machine has applied every command that
// was committed before the call, so that a read of it afterwards is
// linearizable. A majority confirms the leadership for each barrier, so that
// barriers fail at a leader that is isolated or was suspended for long. The
// error wraps peer.ErrUnavailable.
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

// readIndex returns the read index, determined locally or by the leader. It makes
// one attempt.
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

// confirmRead returns the commit index once a majority has confirmed that this
// member still led after the index was read. An entry of its own term must be
// committed first: before that the leader may not know the newest commit index.
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

// waitWhileLeading waits until holds, called with n.mu held, returns true. It
// returns errNotLeader once the leadership current has ended.
func (n *Node) waitWhileLeading(ctx context.Context, current *leadership, holds func() bool) error {
	return n.waitFor(ctx, func() (bool, error) {
		if n.leadership != current {
			return false, errNotLeader
		}
		return holds(), nil
	})
}

// isConfirmed reports whether a majority of the voters has confirmed a read round.
// The caller holds n.mu, and this member leads.
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

// awaitApplied returns once the entry at index is applied.
func (n *Node) awaitApplied(ctx context.Context, index uint64) error {
	return n.waitFor(ctx, func() (bool, error) { return n.applied >= index, nil })
}

// serveRead serves the read index to another member.
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
