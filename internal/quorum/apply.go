package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
)

const (
	applyBatchBytes = 1 << 20
	// maxWaiting bounds the proposals in progress at a leader.
	maxWaiting = 4096
)

// outcome is what became of a proposal.
type outcome struct {
	result []byte
	err    error
}

// waiter waits for the entry of its term at an index.
type waiter struct {
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
		for a.step() {
		}
	}
}

// step restores a received snapshot or applies some entries; it returns
// whether there was anything to do.
func (a *applier) step() bool {
	n := a.node
	n.mu.Lock()
	restoring := n.restoring
	n.restoring = nil
	var entries []entry
	if restoring == nil && n.failed == nil {
		entries = n.log.slice(n.applied, n.commit, applyBatchBytes)
	}
	n.mu.Unlock()
	if restoring != nil {
		a.restore(restoring)
		return true
	}
	for _, e := range entries {
		a.apply(e)
	}
	a.maybeSnapshot()
	return len(entries) > 0
}

func (a *applier) apply(e entry) {
	n := a.node
	var result []byte
	if e.Kind == kindCommand {
		result = n.options.Machine.Apply(e.Data)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	err := n.check(e.Index == n.applied+1, invariant.AppliedMonotonic, "entry %d applied after %d", e.Index, n.applied)
	if err != nil {
		n.fail(err)
		return
	}
	n.applied = e.Index
	w := n.waiting[e.Index]
	if w != nil {
		delete(n.waiting, e.Index)
		w.outcome <- w.answer(e, result)
	}
	n.broadcast()
}

func (w *waiter) answer(e entry, result []byte) outcome {
	if e.Term != w.term {
		return outcome{err: errLost}
	}
	return outcome{result: result}
}

func (a *applier) restore(s *snapshot) {
	n := a.node
	err := n.options.Machine.Restore(s.Data)
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
