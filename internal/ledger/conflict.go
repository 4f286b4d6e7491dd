package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// conflictTimeout bounds the queries of one conflict check. A ledger that does
// not respond in time is skipped; reconcile compares the bills with it later.
const conflictTimeout = 250 * time.Millisecond

// conflictCheck checks whether another ledger holds a shared key that this
// ledger has just reserved. The ledger that reserved first keeps the key; if
// two ledgers check at the same time, the one with the lower instance id does.
type conflictCheck struct {
	// done is closed once the result is decided and durable.
	done chan struct{}
	// holderAddress is the address of the other ledger that keeps the key. It
	// is empty if this ledger keeps it.
	holderAddress string
	err           error
}

// startConflictCheck starts to query the other ledgers about a reserved key.
// The caller holds mu.
func (l *Ledger) startConflictCheck(id recordID, record *requestRecord) *conflictCheck {
	c := &conflictCheck{done: make(chan struct{})}
	l.conflictChecks[id] = c
	go l.runConflictCheck(id, record.reserve, c)
	return c
}

// awaitConflictCheck waits for the result of a conflict check. It returns
// reservation if this ledger keeps the key, and otherwise a redirect.
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

// runConflictCheck queries the reachable ledgers and decides the check.
func (l *Ledger) runConflictCheck(id recordID, r Reserve, c *conflictCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), conflictTimeout)
	defer cancel()
	results := make(chan conflictQueryResult, len(l.options.Peers))
	queried := l.reachablePeers()
	for _, other := range queried {
		go l.runConflictQuery(ctx, other, r, results)
	}
	holderAddress := ""
	noResponse := len(queried) < len(l.options.Peers)
	for range queried {
		result := <-results
		if result.noResponse {
			l.setUnreachable(result.peer.Instance, true)
		}
		noResponse = noResponse || result.noResponse
		if result.holds {
			holderAddress = result.peer.Address
		}
	}
	c.err = l.endConflictCheck(id, r, c, holderAddress, noResponse)
	close(c.done)
}

// reachablePeers returns the other ledgers that responded to the last call.
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

// setUnreachable records whether another ledger responds. An unreachable ledger
// is not queried about keys until it has responded to a reconcile call.
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

// endConflictCheck removes the check and releases the reservation if another
// ledger keeps the key. Both happen under one lock, so that a query of another
// ledger finds the check either in progress or decided. noResponse reports
// whether a ledger was skipped or did not respond.
func (l *Ledger) endConflictCheck(id recordID, r Reserve, c *conflictCheck, winnerAddress string, noResponse bool) error {
	l.mu.Lock()
	if c.holderAddress == "" {
		c.holderAddress = winnerAddress
	}
	delete(l.conflictChecks, id)
	record, err := l.state.record(r.Workspace, r.Key, r.Attempt)
	if noResponse && err == nil {
		l.unreconciled[id] = record
	}
	if c.holderAddress == "" || err != nil || !record.isOpen() {
		l.mu.Unlock()
		return nil
	}
	synced := l.releaseRecord(record, nowMillis())
	l.mu.Unlock()
	return <-synced
}

// conflictQueryResult is the result of querying one ledger.
type conflictQueryResult struct {
	peer       Peer
	holds      bool
	noResponse bool
}

// conflictRequest asks another ledger whether it holds a key.
type conflictRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
	// Instance is the instance id of the querying ledger.
	Instance string `cbor:"3,keyasint"`
}

// conflictResponse is the response to a conflictRequest.
type conflictResponse struct {
	// Holds reports that the responding ledger holds the key.
	Holds bool `cbor:"1,keyasint,omitempty"`
}

// runConflictQuery queries one ledger and sends the result to results.
func (l *Ledger) runConflictQuery(ctx context.Context, other Peer, r Reserve, results chan<- conflictQueryResult) {
	request := &conflictRequest{Workspace: r.Workspace, Key: r.Key, Instance: l.options.Instance}
	response, err := peer.Call[conflictRequest, conflictResponse](ctx, l.options.Client, other.Address, conflictProcedure, request)
	if err != nil {
		results <- conflictQueryResult{peer: other, noResponse: true}
		return
	}
	results <- conflictQueryResult{peer: other, holds: response.Holds}
}

// serveConflict serves the query of another ledger that has reserved a key. If
// both ledgers check the key at the same time and the other has the lower
// instance id, this ledger gives the key up.
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

// peerOf returns the other ledger with the given instance id.
func (l *Ledger) peerOf(instance string) (Peer, bool) {
	for _, other := range l.options.Peers {
		if other.Instance == instance {
			return other, true
		}
	}
	return Peer{}, false
}
