package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	applyBatchBytes = 1 << 20
	// maxWaiting bounds the proposals in progress at a leader.
	maxPendingProposals = 4096
)

// outcome is what became of a proposal.
type outcome struct {
	result []byte
	err    error
}

// waiter waits for the entry of its term at an index.
type proposal struct {
	term    uint64
	outcome chan outcome
}

// applier executes committed entries in order and takes snapshots.
type applier struct {
	node *Node
	wake chan struct{}
}

func (a *applier) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) run() {
	for {
		select {
		case <-a.wake:
		case <-a.node.stop:
			return
		}
		for a.applyNext() {
		}
	}
}

// step restores a received snapshot or applies some entries; it returns
// whether there was anything to do.
func (a *applier) applyNext() bool {
	n := a.node
	n.mu.Lock()
	pendingSnapshot := n.pendingSnapshot
	n.pendingSnapshot = nil
	var entries []entry
	if pendingSnapshot == nil && n.failed == nil {
		entries = n.log.slice(n.applied, n.commit, applyBatchBytes)
	}
	n.mu.Unlock()
	if pendingSnapshot != nil {
		a.restoreSnapshot(pendingSnapshot)
		return true
	}
	for _, e := range entries {
		a.apply(e)
	}
	a.snapshotIfDue()
	return len(entries) > 0
}

func (a *applier) apply(e entry) {
	n := a.node
	var result []byte
	if e.Kind == kindCommand {
		result = n.options.StateMachine.Apply(e.Data)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	err := n.check(e.Index == n.applied+1, invariant.AppliedMonotonic, "entry %d applied after %d", e.Index, n.applied)
	if err != nil {
		n.fail(err)
		return
	}
	n.applied = e.Index
	p := n.pendingProposals[e.Index]
	if p != nil {
		delete(n.pendingProposals, e.Index)
		p.outcome <- p.outcomeFor(e, result)
	}
	n.broadcast()
}

func (p *proposal) outcomeFor(e entry, result []byte) outcome {
	if e.Term != p.term {
		return outcome{err: errLeadershipLost}
	}
	return outcome{result: result}
}

func (a *applier) restoreSnapshot(s *snapshot) {
	n := a.node
	err := n.options.StateMachine.Restore(s.Data)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.fail(errors.Newf("restore snapshot: %w", err))
		return
	}
	err = n.check(s.Index >= n.applied, invariant.AppliedMonotonic, "snapshot %d restored after %d", s.Index, n.applied)
	if err != nil {
		n.fail(err)
		return
	}
	n.applied = s.Index
	n.broadcast()
}
