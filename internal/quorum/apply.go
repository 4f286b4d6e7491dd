package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	// applyBatchBytes is the size at which a batch of entries to apply is full.
	applyBatchBytes = 1 << 20
	// maxPendingProposals limits the proposals in progress at a leader.
	maxPendingProposals = 4096
)

// outcome is the result of a proposal: what the state machine returned, or an
// error.
type outcome struct {
	result []byte
	err    error
}

// proposal is an entry that the leader has appended and whose outcome a caller
// awaits.
type proposal struct {
	// term is the term in which the entry was appended.
	term uint64
	// outcome has room for one outcome, so that sending it never blocks.
	outcome chan outcome
}

// applier applies committed entries to the state machine in order and takes
// snapshots.
type applier struct {
	node *Node
	// wake holds at most one pending signal.
	wake chan struct{}
}

// signal wakes the applier without blocking.
func (a *applier) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run applies entries whenever it is signaled, until the node stops.
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

// applyNext restores a received snapshot or applies one batch of entries. It
// reports whether there was anything to do.
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

// apply applies one committed entry and completes the proposal that waits for
// it. Entries of other kinds than commands only advance the applied index.
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

// outcomeFor returns the outcome of the proposal once e, the entry committed at
// its index, is applied. An entry of another term has replaced the proposed one.
func (p *proposal) outcomeFor(e entry, result []byte) outcome {
	if e.Term != p.term {
		return outcome{err: errLeadershipLost}
	}
	return outcome{result: result}
}

// restoreSnapshot replaces the state machine's state by that of a received
// snapshot.
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
