package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cactusbay/cactusbay/internal/invariant"
	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	appendProcedure = "/quorum/append"
	// appendTimeout limits one AppendEntries call.
	appendTimeout = time.Second
	// appendRetry is the pause after a failed call.
	appendRetry = 100 * time.Millisecond
	// maxAppendBytes is the size at which one call's batch of entries is full.
	maxAppendBytes = 1 << 20
)

// appendRequest is the AppendEntries request of the Raft paper. Without entries it
// is a heartbeat.
type appendRequest struct {
	Term          uint64  `cbor:"1,keyasint"`
	Leader        string  `cbor:"2,keyasint"`
	PreviousIndex uint64  `cbor:"3,keyasint,omitempty"`
	PreviousTerm  uint64  `cbor:"4,keyasint,omitempty"`
	Entries       []entry `cbor:"5,keyasint,omitempty"`
	Commit        uint64  `cbor:"6,keyasint,omitempty"`
	// Learner marks the recipient as a learner. Only a learner may start with a
	// data folder that is not admitted.
	Learner bool `cbor:"7,keyasint,omitempty"`
	// To is the id of the member that the request is addressed to.
	To string `cbor:"8,keyasint,omitempty"`
}

// appendResponse is the response to an appendRequest.
type appendResponse struct {
	Term uint64 `cbor:"1,keyasint"`
	// Accepted means that the entries are synced.
	Accepted bool `cbor:"2,keyasint,omitempty"`
	// Last is the newest index at which the two logs may still match.
	Last uint64 `cbor:"3,keyasint,omitempty"`
}

// replicator replicates the leader's log to one other member.
type replicator struct {
	node       *Node
	leadership *leadership
	member     Member
	ctx        context.Context
	cancel     context.CancelFunc
	wake       chan struct{}

	// The fields below are guarded by node.mu.

	// next is the index of the next entry to send (nextIndex in the Raft paper).
	next uint64
	// match is the newest index that the member has synced (matchIndex in the Raft
	// paper).
	match uint64
	// confirmedRound is the newest read round that the member has confirmed.
	confirmedRound uint64
	lastContact    time.Time
}

// updateReplicators starts and stops replicators so that every other member of the
// newest configuration has one. The caller holds n.mu.
func (n *Node) updateReplicators() {
	if n.leadership == nil {
		return
	}
	for id, p := range n.leadership.replicators {
		_, found := n.configuration.find(id)
		if !found {
			p.cancel()
			delete(n.leadership.replicators, id)
		}
	}
	for _, member := range n.configuration.Members {
		p := n.leadership.replicators[member.ID]
		if p != nil {
			p.member = member
		} else if member.ID != n.options.ID {
			n.startReplicator(member)
		}
	}
}

// startReplicator starts the replicator of a member.
func (n *Node) startReplicator(member Member) {
	ctx, cancel := context.WithCancel(n.leadership.ctx)
	p := &replicator{
		node:        n,
		leadership:  n.leadership,
		member:      member,
		ctx:         ctx,
		cancel:      cancel,
		wake:        make(chan struct{}, 1),
		next:        n.log.last() + 1,
		lastContact: time.Now(),
	}
	n.leadership.replicators[member.ID] = p
	n.workers.Go(p.run)
}

// signal wakes the replicator without blocking.
func (p *replicator) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run sends entries and heartbeats until the leadership ends or the member is
// removed.
func (p *replicator) run() {
	for p.ctx.Err() == nil {
		more, err := p.send()
		if more {
			continue
		}
		wake := p.wake
		pause := heartbeatInterval
		if err != nil {
			wake = nil
			pause = appendRetry
		}
		timer := time.NewTimer(pause)
		select {
		case <-wake:
		case <-timer.C:
		case <-p.ctx.Done():
		}
		timer.Stop()
	}
}

// send makes one AppendEntries call or sends a snapshot. It reports whether more
// entries are to be sent at once.
func (p *replicator) send() (more bool, err error) {
	n := p.node
	n.mu.Lock()
	if n.leadership != p.leadership {
		n.mu.Unlock()
		return false, nil
	}
	if p.next <= n.log.base {
		n.mu.Unlock()
		return p.sendSnapshot()
	}
	request := p.request()
	round := p.leadership.readRounds
	address := p.member.Address
	n.mu.Unlock()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, appendTimeout)
	defer cancel()
	response, err := peer.Call[appendRequest, appendResponse](ctx, n.options.Client, address, appendProcedure, request)
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !p.recordContact(response.Term, sent, round) {
		return false, nil
	}
	p.handleResponse(request, response)
	return p.next <= n.log.last(), nil
}

// request returns the next AppendEntries request. The caller holds node.mu.
func (p *replicator) request() *appendRequest {
	n := p.node
	previous := p.next - 1
	term, _ := n.log.term(previous)
	return &appendRequest{
		Term:          n.term,
		Leader:        n.options.ID,
		PreviousIndex: previous,
		PreviousTerm:  term,
		Entries:       n.log.slice(previous, n.log.last(), maxAppendBytes),
		Commit:        n.commit,
		Learner:       p.member.Learner,
		To:            p.member.ID,
	}
}

// recordContact processes the parts of a response that all calls share. sent and
// round are the time and the read round at which the call was made. It reports
// whether the leadership continues. The caller holds node.mu.
func (p *replicator) recordContact(term uint64, sent time.Time, round uint64) bool {
	n := p.node
	n.observeTerm(term)
	if n.leadership != p.leadership {
		return false
	}
	p.lastContact = sent
	if round > p.confirmedRound {
		p.confirmedRound = round
		n.broadcast()
	}
	return true
}

// handleResponse updates match and next after an AppendEntries response. A learner
// may lose entries that it had synced, a voter must not. The caller holds node.mu.
func (p *replicator) handleResponse(request *appendRequest, response *appendResponse) {
	n := p.node
	if response.Accepted {
		p.match = max(p.match, request.PreviousIndex+uint64(len(request.Entries)))
		p.next = p.match + 1
		n.advanceCommit()
		n.promoteIfCaughtUp(p)
		return
	}
	if response.Last < p.match {
		err := n.check(p.member.Learner, invariant.CommittedEntriesStable, "voter %s lost entries after %d that it had synced up to %d", p.member.ID, response.Last, p.match)
		if err != nil {
			p.cancel()
			return
		}
		p.match = 0
	}
	p.next = max(min(p.next-1, response.Last+1), p.match+1)
}

// advanceCommit raises the commit index to the newest entry that a majority of the
// voters has synced. Only an entry of the leader's own term is committed by
// counting; it commits all entries before it. The caller holds n.mu, and this
// member leads.
func (n *Node) advanceCommit() {
	var matchIndexes []uint64
	for _, voter := range n.configuration.voters() {
		match := n.leadership.synced
		if voter.ID != n.options.ID {
			match = n.leadership.replicators[voter.ID].match
		}
		matchIndexes = append(matchIndexes, match)
	}
	if len(matchIndexes) == 0 {
		return
	}
	slices.Sort(matchIndexes)
	index := matchIndexes[len(matchIndexes)-n.configuration.majority()]
	term, _ := n.log.term(index)
	if index <= n.commit || term != n.term {
		return
	}
	n.commit = index
	n.applier.signal()
	n.leadership.wakeReplicators()
	n.broadcast()
}
