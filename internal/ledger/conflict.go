package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// conflictTimeout bounds the question to the other ledgers; those that do not
// answer are skipped.
const conflictTimeout = 250 * time.Millisecond

// conflictCheck is a reservation of a shared key that the other ledgers are being
// asked about. The ledger that reserved first wins; of two that ask at once,
// the one with the lower instance id.
type conflictCheck struct {
	// done is closed once the outcome is decided and durable.
	done chan struct{}
	// holderAddress is the address of the winner, or empty.
	holderAddress string
	err           error
}

// startConflictCheck starts to ask the other ledgers; the caller holds mu.
func (l *Ledger) startConflictCheck(id recordID, record *requestRecord) *conflictCheck {
	c := &conflictCheck{done: make(chan struct{})}
	l.conflictChecks[id] = c
	go l.runConflictCheck(id, record.reserve, c)
	return c
}

// awaitConflictCheck waits for the decision and answers by it.
func (l *Ledger) awaitConflictCheck(ctx context.Context, r Reserve, c *conflictCheck, reservation Reservation) (Reservation, error) {
	select {
	case <-c.done:
	case <-ctx.Done():
		return Reservation{}, errors.Newf("reserve %s: %w", r.Key, markUnavailable(ctx.Err()))
	}
	if c.err != nil {
		return Reservation{}, errors.Newf("reserve: %w", markUnavailable(c.err))
	}
	if c.holderAddress != "" {
		return Reservation{Outcome: OutcomeRedirect, LedgerAddress: c.holderAddress}, nil
	}
	return reservation, nil
}

// runConflictCheck asks every other ledger and decides.
func (l *Ledger) runConflictCheck(id recordID, r Reserve, c *conflictCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), conflictTimeout)
	defer cancel()
	answers := make(chan conflictAnswer, len(l.options.Peers))
	queried := l.reachablePeers()
	for _, other := range queried {
		go l.runConflictQuery(ctx, other, r, answers)
	}
	holderAddress := ""
	unanswered := len(queried) < len(l.options.Peers)
	for range queried {
		answer := <-answers
		if answer.unanswered {
			l.setUnreachable(answer.peer.Instance, true)
		}
		unanswered = unanswered || answer.unanswered
		if answer.holds {
			holderAddress = answer.peer.Address
		}
	}
	c.err = l.endConflictCheck(id, r, c, holderAddress, unanswered)
	close(c.done)
}

// reachablePeers returns the other ledgers that answered last time.
func (l *Ledger) reachablePeers() []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reachablePeers []Peer
	for _, other := range l.options.Peers {
		if !l.unreachable[other.Instance] {
			reachablePeers = append(reachablePeers, other)
		}
	}
	return reachablePeers
}

// setUnreachable notes whether another ledger answers. A silent one is not asked
// about keys until an exchange of bills has reached it again.
func (l *Ledger) setUnreachable(instance string, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if unreachable {
		l.unreachable[instance] = true
	} else {
		delete(l.unreachable, instance)
	}
	if l.options.Scope != nil {
		l.options.Scope.Gauge("ledgers_unreachable").Update(float64(len(l.unreachable)))
	}
}

// endConflictCheck ends the contest in one step, so that a question of another ledger
// meets it either open or decided.
func (l *Ledger) endConflictCheck(id recordID, r Reserve, c *conflictCheck, winnerAddress string, unanswered bool) error {
	l.mu.Lock()
	if c.holderAddress == "" {
		c.holderAddress = winnerAddress
	}
	delete(l.conflictChecks, id)
	record, err := l.state.record(r.Workspace, r.Key, r.Attempt)
	if unanswered && err == nil {
		l.unreconciled[id] = record
	}
	if c.holderAddress == "" || err != nil || !record.isOpen() {
		l.mu.Unlock()
		return nil
	}
	synced := l.commit(released{Release: record.attemptID(), At: nowMillis()})
	l.mu.Unlock()
	return <-synced
}

type conflictAnswer struct {
	peer       Peer
	holds      bool
	unanswered bool
}

type conflictRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	// Instance is the ledger that asks.
	Instance string `cbor:"3,keyasint"`
}

type conflictResponse struct {
	// Holds tells that the ledger that answers holds the key.
	Holds bool `cbor:"1,keyasint,omitempty"`
}

// runConflictQuery asks one other ledger.
func (l *Ledger) runConflictQuery(ctx context.Context, other Peer, r Reserve, answers chan<- conflictAnswer) {
	request := &conflictRequest{Workspace: r.Workspace, Key: r.Key, Instance: l.options.Instance}
	response, err := peer.Call[conflictRequest, conflictResponse](ctx, l.options.Client, other.Address, conflictProcedure, request)
	if err != nil {
		answers <- conflictAnswer{peer: other, unanswered: true}
		return
	}
	answers <- conflictAnswer{peer: other, holds: response.Holds}
}

// serveConflict answers another ledger that reserved a key.
func (l *Ledger) serveConflict(_ context.Context, request *conflictRequest) (*conflictResponse, error) {
	requester, found := l.peerOf(request.Instance)
	if !found {
		return nil, errors.Newf("unknown ledger %s: %w", request.Instance, peer.ErrInvalid)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	id := recordID{workspace: request.Workspace, key: request.Key}
	record := l.state.records[id]
	if record == nil || record.state == stateReleased {
		return &conflictResponse{}, nil
	}
	check := l.conflictChecks[id]
	if check != nil && requester.Instance < l.options.Instance {
		check.holderAddress = requester.Address
		return &conflictResponse{}, nil
	}
	return &conflictResponse{Holds: true}, nil
}

func (l *Ledger) peerOf(instance string) (Peer, bool) {
	for _, other := range l.options.Peers {
		if other.Instance == instance {
			return other, true
		}
	}
	return Peer{}, false
}
