package quorum

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cactusbay/cactusbay/internal/statechart"
)

const (
	voteProcedure = "/quorum/vote"
	// voteTimeout limits one round of vote requests.
	voteTimeout = 500 * time.Millisecond
	// firstElectionTimeout is the minimum timeout before the first election after
	// a start. It can be short: a running leader contacts a restarted member at
	// once, and a pre-vote does not disturb the group.
	firstElectionTimeout = 300 * time.Millisecond
)

// voteRequest is the RequestVote request of the Raft paper.
type voteRequest struct {
	Term      uint64 `cbor:"1,keyasint"`
	Candidate string `cbor:"2,keyasint"`
	LastIndex uint64 `cbor:"3,keyasint"`
	LastTerm  uint64 `cbor:"4,keyasint"`
	// PreVote marks a request that only asks whether the member would vote for the
	// candidate in Term. It changes no state.
	PreVote bool `cbor:"5,keyasint,omitempty"`
	// Transfer marks an election that the leader requested to transfer its
	// leadership.
	Transfer bool `cbor:"6,keyasint,omitempty"`
	// To is the id of the member that the request is addressed to. A member with
	// another data folder may have taken over its address.
	To string `cbor:"7,keyasint,omitempty"`
}

// voteResponse is the response to a voteRequest.
type voteResponse struct {
	Term    uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
}

// elector runs the election timer: it starts an election when no leader has made
// contact, and makes a leader step down that has lost its quorum.
type elector struct {
	node *Node
	// deadline is when the election timeout elapses. It is guarded by node.mu.
	deadline time.Time
}

// newElector returns the elector of n. The only voter of a group starts an
// election at once.
func newElector(n *Node) *elector {
	e := &elector{node: n}
	if len(n.configuration.voters()) == 1 && n.configuration.isVoter(n.options.ID) {
		e.deadline = time.Now()
		return e
	}
	e.deadline = time.Now().Add(firstElectionTimeout + rand.N(firstElectionTimeout))
	return e
}

// resetTimeout sets the next deadline. The timeout is randomized to avoid split
// votes.
func (e *elector) resetTimeout() {
	span := maxElectionTimeout - minElectionTimeout
	e.deadline = time.Now().Add(minElectionTimeout + rand.N(span))
}

// run waits for election timeouts until the node stops.
func (e *elector) run() {
	for {
		timer := time.NewTimer(e.checkTimeout())
		select {
		case <-timer.C:
		case <-e.node.stop:
			timer.Stop()
			return
		}
	}
}

// checkTimeout acts on the deadline if it has passed, and returns the time until
// the next one.
func (e *elector) checkTimeout() time.Duration {
	n := e.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.persistCommit()
	remaining := time.Until(e.deadline)
	if remaining > 0 {
		return remaining
	}
	e.resetTimeout()
	switch {
	case n.checkActive() != nil:
	case n.role == roleLeader:
		e.stepDownWithoutQuorum()
	case n.configuration.isVoter(n.options.ID):
		n.campaign(eventElectionTimeout)
	}
	return time.Until(e.deadline)
}

// stepDownWithoutQuorum makes a leader step down when a majority of the voters
// has stopped responding.
func (e *elector) stepDownWithoutQuorum() {
	n := e.node
	if !n.hasQuorum() {
		n.stepDown("", eventStepDown)
	}
}

// persistCommit queues a commit index that has not been written with a later
// entry, so that a member that restarts without contact to the group applies the
// committed entries.
func (n *Node) persistCommit() {
	if n.checkActive() == nil && n.commit > n.persistedCommit {
		n.persist(nil)
	}
}

// election is one election or the pre-vote before it.
type election struct {
	node    *Node
	request voteRequest
	voters  []Member
	// needed is the number of votes that wins the election.
	needed int
}

// campaign becomes a pre-candidate and requests pre-votes. If the leader has
// requested the election to transfer its leadership, it becomes a candidate and
// requests votes directly. The caller holds n.mu.
func (n *Node) campaign(event statechart.Event) {
	if event != eventTransfer {
		n.leader = ""
	}
	if !n.transition(event) {
		return
	}
	n.startElection(voteRequest{Term: n.term + 1, PreVote: n.role == rolePreCandidate, Transfer: event == eventTransfer})
}

// startElection sends request to all voters in the background. Unless it is a
// pre-vote, the member first increments its term and votes for itself. The
// caller holds n.mu.
func (n *Node) startElection(request voteRequest) {
	if !request.PreVote {
		n.term++
		n.vote = n.options.ID
		n.leader = ""
		n.persist(nil)
	}
	request.Candidate = n.options.ID
	request.LastIndex = n.log.last()
	request.LastTerm = n.log.lastTerm()
	n.election = &election{node: n, request: request, voters: n.configuration.voters(), needed: n.configuration.majority()}
	n.elector.resetTimeout()
	n.workers.Go(n.election.run)
}

// run requests the votes, once this member's own vote is synced, and counts them.
func (e *election) run() {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	e.node.mu.Lock()
	err := e.node.unlockAndSync()
	if err != nil {
		return
	}
	votes := make(chan bool, len(e.voters))
	for _, voter := range e.voters {
		call := &voteCall{election: e, voter: voter, ctx: ctx, votes: votes}
		go call.run()
	}
	granted := 0
	for range e.voters {
		if <-votes {
			granted++
		}
		if granted == e.needed {
			e.win()
		}
	}
}

// win starts the election after a won pre-vote, or the leadership after a won
// election. It does nothing if the member has moved on since the election began.
func (e *election) win() {
	n := e.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.election != e || n.failed != nil {
		return
	}
	if !e.request.PreVote {
		n.becomeLeader()
		return
	}
	if n.transition(eventPreVoteWon) {
		n.startElection(voteRequest{Term: n.term + 1})
	}
}

// voteCall requests the vote of one voter.
type voteCall struct {
	election *election
	voter    Member
	ctx      context.Context
	votes    chan<- bool
}

// run sends the result of requestVote to votes.
func (c *voteCall) run() {
	c.votes <- c.requestVote()
}

// requestVote reports whether the voter granted its vote. The member's vote for
// itself needs no call.
func (c *voteCall) requestVote() bool {
	n := c.election.node
	if c.voter.ID == n.options.ID {
		return true
	}
	request := c.election.request
	request.To = c.voter.ID
	response, err := peer.Call[voteRequest, voteResponse](c.ctx, n.options.Client, c.voter.Address, voteProcedure, &request)
	if err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observeTerm(response.Term)
	return response.Granted
}

// serveVote responds to a vote request after the vote is synced.
func (n *Node) serveVote(_ context.Context, request *voteRequest) (*voteResponse, error) {
	n.mu.Lock()
	err := n.checkActive()
	if err == nil {
		err = n.checkRecipient(request.To)
	}
	if err != nil {
		n.mu.Unlock()
		return nil, err
	}
	response := n.handleVote(request)
	err = n.unlockAndSync()
	if err != nil {
		return nil, err
	}
	return &response, nil
}

// handleVote decides whether to grant a vote. Unless the leader has requested the
// election, a member that has recent contact with its leader refuses and ignores
// the term of the candidate, so that a member that returns from a network
// partition cannot depose the leader. The caller holds n.mu.
func (n *Node) handleVote(request *voteRequest) voteResponse {
	if !request.Transfer && n.hasRecentLeader() {
		return voteResponse{Term: n.term}
	}
	if request.PreVote {
		return voteResponse{Term: n.term, Granted: request.Term > n.term && n.isUpToDate(request)}
	}
	n.observeTerm(request.Term)
	mayVote := n.vote == "" || n.vote == request.Candidate
	if request.Term != n.term || !mayVote || !n.isUpToDate(request) {
		return voteResponse{Term: n.term}
	}
	if n.vote == "" {
		n.vote = request.Candidate
		n.persist(nil)
	}
	n.elector.resetTimeout()
	return voteResponse{Term: n.term, Granted: true}
}

// hasRecentLeader reports whether this member leads, or has received a message from
// the leader within the minimum election timeout.
func (n *Node) hasRecentLeader() bool {
	if n.role == roleLeader {
		return true
	}
	return n.leader != "" && time.Since(n.lastLeaderContact) < minElectionTimeout
}

// isUpToDate reports whether the candidate's log is at least as up-to-date as
// this one, so that it holds every entry that this member helped to commit.
func (n *Node) isUpToDate(request *voteRequest) bool {
	if request.LastTerm != n.log.lastTerm() {
		return request.LastTerm > n.log.lastTerm()
	}
	return request.LastIndex >= n.log.last()
}
