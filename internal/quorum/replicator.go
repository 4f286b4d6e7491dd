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
	appendTimeout   = time.Second
	appendRetry     = 100 * time.Millisecond
	maxAppendBytes  = 1 << 20
)

type appendRequest struct {
	Term          uint64  `cbor:"1,keyasint"`
	Leader        string  `cbor:"2,keyasint"`
	PreviousIndex uint64  `cbor:"3,keyasint,omitempty"`
	PreviousTerm  uint64  `cbor:"4,keyasint,omitempty"`
	Entries       []entry `cbor:"5,keyasint,omitempty"`
	Commit        uint64  `cbor:"6,keyasint,omitempty"`
	// Learner tells the member that it is one: only such may start empty.
	Learner bool `cbor:"7,keyasint,omitempty"`
	// To is the member that the request is meant for.
	To string `cbor:"8,keyasint,omitempty"`
}

type appendResponse struct {
	Term     uint64 `cbor:"1,keyasint"`
	Accepted bool   `cbor:"2,keyasint,omitempty"`
	// Last is the newest index at which the logs may still agree.
	Last uint64 `cbor:"3,keyasint,omitempty"`
}

// replicator carries the leader's log to one other member.
type replicator struct {
	node   *Node
	reign  *reign
	member Member
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	// The fields below are guarded by the node's lock.

	next uint64
	// match is the newest index that the member has synced.
	match uint64
	// reads is the newest read round that the member has confirmed.
	reads    uint64
	answered time.Time
}

// updateReplicators starts and ends replicators so that every other member of
// the newest configuration has one.
func (n *Node) updateReplicators() {
	if n.reign == nil {
		return
	}
	for id, p := range n.reign.peers {
		_, found := n.configuration.find(id)
		if !found {
			p.cancel()
			delete(n.reign.peers, id)
		}
	}
	for _, member := range n.configuration.Members {
		p := n.reign.peers[member.ID]
		if p != nil {
			p.member = member
		} else if member.ID != n.options.ID {
			n.startReplicator(member)
		}
	}
}

func (n *Node) startReplicator(member Member) {
	ctx, cancel := context.WithCancel(n.reign.ctx)
	p := &replicator{
		node:     n,
		reign:    n.reign,
		member:   member,
		ctx:      ctx,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		next:     n.log.last() + 1,
		answered: time.Now(),
	}
	n.reign.peers[member.ID] = p
	n.workers.Go(p.run)
}

func (p *replicator) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

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

// send makes one call and tells whether more is to be sent at once.
func (p *replicator) send() (more bool, err error) {
	n := p.node
	n.mu.Lock()
	if n.reign != p.reign {
		n.mu.Unlock()
		return false, nil
	}
	if p.next <= n.log.base {
		n.mu.Unlock()
		return p.sendSnapshot()
	}
	request := p.request()
	round := p.reign.reads
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
	if !p.heard(response.Term, sent, round) {
		return false, nil
	}
	p.take(request, response)
	return p.next <= n.log.last(), nil
}

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

// heard takes notice of an answer and tells whether the reign goes on.
func (p *replicator) heard(term uint64, sent time.Time, round uint64) bool {
	n := p.node
	n.observe(term)
	if n.reign != p.reign {
		return false
	}
	p.answered = sent
	if round > p.reads {
		p.reads = round
		n.broadcast()
	}
	return true
}

func (p *replicator) take(request *appendRequest, response *appendResponse) {
	n := p.node
	if response.Accepted {
		p.match = max(p.match, request.PreviousIndex+uint64(len(request.Entries)))
		p.next = p.match + 1
		n.advanceCommit()
		n.promote(p)
		return
	}
	if response.Last < p.match {
		err := n.check(p.member.Learner, invariant.CommittedStable, "voter %s lost entries after %d that it had synced up to %d", p.member.ID, response.Last, p.match)
		if err != nil {
			p.cancel()
			return
		}
		p.match = 0
	}
	p.next = max(min(p.next-1, response.Last+1), p.match+1)
}

// advanceCommit commits what a majority of the voters has synced. Only an
// entry of the leader's own term is counted; it commits those before it.
func (n *Node) advanceCommit() {
	var matches []uint64
	for _, voter := range n.configuration.voters() {
		match := n.reign.synced
		if voter.ID != n.options.ID {
			match = n.reign.peers[voter.ID].match
		}
		matches = append(matches, match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.configuration.majority()]
	term, _ := n.log.term(index)
	if index <= n.commit || term != n.term {
		return
	}
	n.commit = index
	n.applier.signal()
	n.reign.wake()
	n.broadcast()
}
