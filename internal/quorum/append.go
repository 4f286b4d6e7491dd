package quorum

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
)

// serveAppend responds to an AppendEntries request after everything that it
// changed is synced.
func (n *Node) serveAppend(_ context.Context, request *appendRequest) (*appendResponse, error) {
	n.mu.Lock()
	err := n.checkLeaderRequest(request.To, request.Learner)
	if err != nil {
		n.mu.Unlock()
		return nil, err
	}
	response, err := n.handleAppend(request)
	if err != nil {
		n.mu.Unlock()
		return nil, errors.Newf("append: %w", err)
	}
	err = n.unlockAndSync()
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// checkLeaderRequest returns an error if this member must not process a request
// from a leader: it has failed, the request is addressed to another member, or
// its data folder is not admitted. A folder that is not admitted accepts
// requests only as a learner, and none once it is rejected. The caller holds n.mu.
func (n *Node) checkLeaderRequest(to string, learner bool) error {
	if n.failed != nil {
		return n.failed
	}
	err := n.checkRecipient(to)
	if err != nil {
		return err
	}
	if !n.identity.Admitted && (!learner || n.rejected) {
		return errNotAdmitted
	}
	return nil
}

// handleAppend applies an AppendEntries request to the log in memory and queues
// the changes for the next sync. The caller holds n.mu.
func (n *Node) handleAppend(request *appendRequest) (appendResponse, error) {
	n.observeTerm(request.Term)
	if request.Term < n.term {
		return appendResponse{Term: n.term, Last: n.log.last()}, nil
	}
	err := n.followLeader(request.Leader)
	if err != nil {
		return appendResponse{}, err
	}
	if !n.identity.Admitted {
		n.admit(nil)
	}
	last, matches := n.matchPrevious(request)
	if !matches {
		return appendResponse{Term: n.term, Last: last}, nil
	}
	err = n.mergeEntries(request)
	if err != nil {
		return appendResponse{}, err
	}
	newest := request.PreviousIndex + uint64(len(request.Entries))
	n.commitUpTo(min(request.Commit, newest))
	return appendResponse{Term: n.term, Accepted: true}, nil
}

// matchPrevious reports whether this log contains the entry that precedes the
// request's entries (the consistency check of AppendEntries). If not, last is
// the newest index at which the two logs may still match. All committed entries
// match by definition.
func (n *Node) matchPrevious(request *appendRequest) (last uint64, matches bool) {
	if request.PreviousIndex > n.log.last() {
		return n.log.last(), false
	}
	if request.PreviousIndex <= n.commit {
		return n.commit, true
	}
	term, _ := n.log.term(request.PreviousIndex)
	if term == request.PreviousTerm {
		return request.PreviousIndex, true
	}
	return n.lastIndexBeforeTerm(request.PreviousIndex), false
}

// lastIndexBeforeTerm returns the last index before the entries whose term is
// that of the entry at index, but never an index below the commit index.
func (n *Node) lastIndexBeforeTerm(index uint64) uint64 {
	term, _ := n.log.term(index)
	for index > n.commit && n.log.at(index).Term == term {
		index--
	}
	return index
}

// mergeEntries stores the entries of a request that the log lacks. Stored entries
// that conflict with them, and all entries after those, are removed. A conflict
// with a committed entry is an error.
func (n *Node) mergeEntries(request *appendRequest) error {
	for i, e := range request.Entries {
		if e.Index != request.PreviousIndex+uint64(i)+1 {
			return errors.Newf("entry %d out of order: %w", e.Index, peer.ErrInvalid)
		}
		if e.Index <= n.log.base {
			continue
		}
		term, found := n.log.term(e.Index)
		if !found {
			return n.storeEntries(request.Entries[i:])
		}
		if term == e.Term {
			err := n.check(n.log.at(e.Index).equal(e), invariant.OneEntryPerIndex, "two entries at index %d in term %d", e.Index, e.Term)
			if err != nil {
				return err
			}
			continue
		}
		err := n.check(e.Index > n.commit, invariant.CommittedEntriesStable, "index %d of term %d is committed, %s sends term %d", e.Index, term, request.Leader, e.Term)
		if err != nil {
			return err
		}
		return n.storeEntries(request.Entries[i:])
	}
	return nil
}

// storeEntries puts entries into the log in memory and queues them for the next
// sync.
func (n *Node) storeEntries(entries []entry) error {
	for _, e := range entries {
		n.log.replaceFrom(e)
	}
	n.persist(entries)
	n.refreshConfiguration()
	return n.failed
}

// commitUpTo raises the commit index to index, if it is lower.
func (n *Node) commitUpTo(index uint64) {
	if index <= n.commit {
		return
	}
	n.commit = index
	n.applier.signal()
}
