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
	voteTimeout   = 500 * time.Millisecond
	// firstElectionTimeout is short, because a member that starts beside a
	// leader hears it at once, and pre-votes disturb nobody.
	firstElectionTimeout = 300 * time.Millisecond
)

type voteRequest struct {
	Term      uint64 `cbor:"1,keyasint"`
	Candidate string `cbor:"2,keyasint"`
	LastIndex uint64 `cbor:"3,keyasint"`
	LastTerm  uint64 `cbor:"4,keyasint"`
	// Pre asks whether a vote in Term would be given; it changes nothing.
	PreVote bool `cbor:"5,keyasint,omitempty"`
	// Transfer marks an election that the leader itself asked for.
	Transfer bool `cbor:"6,keyasint,omitempty"`
	// To is the member that is asked: another folder may have its address.
	To string `cbor:"7,keyasint,omitempty"`
}

type voteResponse struct {
	Term    uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
}

// elector starts an election when no leader is heard, and ends a leadership
// that has lost its quorum.
type elector struct {
	node     *Node
	deadline time.Time
}

func newElector(n *Node) *elector {
	e := &elector{node: n}
	if len(n.configuration.voters()) == 1 && n.configuration.isVoter(n.options.ID) {
		e.deadline = time.Now()
		return e
	}
	e.deadline = time.Now().Add(firstElectionTimeout + rand.N(firstElectionTimeout))
	return e
}

// postpone sets the next deadline, at random so that votes do not split.
func (e *elector) resetTimeout() {
	span := maxElectionTimeout - minElectionTimeout
	e.deadline = time.Now().Add(minElectionTimeout + rand.N(span))
}

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

// expire acts on a deadline that has passed and returns the time to the next.
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

// keepLeading steps down without a quorum.
func (e *elector) stepDownWithoutQuorum() {
	n := e.node
	if !n.hasQuorum() {
		n.stepDown("", eventStepDown)
	}
}

// saveCommit saves a commit index that no later entry has carried to the disk,
// so that a member that restarts alone applies it.
func (n *Node) persistCommit() {
	if n.checkActive() == nil && n.commit > n.persistedCommit {
		n.persist(nil)
	}
}

// ballot is one election, or the question beforehand whether it could be won.
type election struct {
	node    *Node
	request voteRequest
	voters  []Member
	needed  int
}

// startBallot asks the other voters; a pre-vote comes first unless the leader
// has asked for the election.
func (n *Node) campaign(event statechart.Event) {
	if event != eventTransfer {
		n.leader = ""
	}
	if !n.transition(event) {
		return
	}
	n.startElection(voteRequest{Term: n.term + 1, PreVote: n.role == rolePreCandidate, Transfer: event == eventTransfer})
}

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

// run collects the votes.
func (e *election) run() {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	e.node.mu.Lock()
	err := e.node.unlockAndSync()
	if err != nil {
		return
	}
	answers := make(chan bool, len(e.voters))
	for _, voter := range e.voters {
		call := &voteCall{election: e, voter: voter, ctx: ctx, answers: answers}
		go call.run()
	}
	granted := 0
	for range e.voters {
		if <-answers {
			granted++
		}
		if granted == e.needed {
			e.win()
		}
	}
}

// win goes on from a pre-vote to the vote, or from the vote to leading.
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

// voteCall asks one voter.
type voteCall struct {
	election *election
	voter    Member
	ctx      context.Context
	answers  chan<- bool
}

func (c *voteCall) run() {
	c.answers <- c.requestVote()
}

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

// answerVote decides on a vote. A member that hears its leader disregards the
// candidate, so that one that comes back from a cut disturbs nobody.
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

func (n *Node) hasRecentLeader() bool {
	if n.role == roleLeader {
		return true
	}
	return n.leader != "" && time.Since(n.lastLeaderContact) < minElectionTimeout
}

// isUpToDate tells whether the candidate's log holds all that this one may
// have helped to commit.
func (n *Node) isUpToDate(request *voteRequest) bool {
	if request.LastTerm != n.log.lastTerm() {
		return request.LastTerm > n.log.lastTerm()
	}
	return request.LastIndex >= n.log.last()
}
