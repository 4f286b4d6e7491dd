package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	reconcileTimeout = time.Second
	// maxReconciled bounds the bills in one reconcile call.
	maxReconciled = 500
)

// reconcileRequest carries bills of shared keys to another ledger, which compares
// them with its own.
type reconcileRequest struct {
	// Instance is the instance id of the requesting ledger.
	Instance string    `cbor:"1,keyasint"`
	Billed   []Release `cbor:"2,keyasint"`
}

// reconcileResponse is the response to a reconcileRequest.
type reconcileResponse struct {
	// Void are the bills that the requesting ledger must void.
	Void []Release `cbor:"1,keyasint,omitempty"`
	// Pending are the bills for whose key the responding ledger has an open
	// attempt. They are compared again later.
	Pending []Release `cbor:"2,keyasint,omitempty"`
}

// reconcile compares the bills of shared keys with the other ledgers. Bills
// stay unreconciled until all other ledgers have responded, because a conflict
// check skips ledgers that it cannot reach.
func (l *Ledger) reconcile(ctx context.Context) {
	bills := l.unreconciledBills()
	allResponded := true
	pending := make(map[Release]bool)
	for _, other := range l.options.Peers {
		if len(bills) == 0 && !l.isUnreachable(other.Instance) {
			continue
		}
		response, err := l.reconcileWith(ctx, other, bills)
		if err != nil {
			allResponded = false
			l.setUnreachable(other.Instance, true)
			continue
		}
		l.setUnreachable(other.Instance, false)
		for _, attemptID := range response.Void {
			l.voidBill(attemptID)
		}
		for _, attemptID := range response.Pending {
			pending[attemptID] = true
		}
	}
	if allResponded {
		l.markReconciled(bills, pending)
	}
}

// isUnreachable reports whether another ledger did not respond to the last
// call.
func (l *Ledger) isUnreachable(instance string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable[instance]
}

// reconcileWith sends the bills to one ledger.
func (l *Ledger) reconcileWith(ctx context.Context, other Peer, bills []Release) (*reconcileResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	request := &reconcileRequest{Instance: l.options.Instance, Billed: bills}
	return peer.Call[reconcileRequest, reconcileResponse](ctx, l.options.Client, other.Address, reconcileProcedure, request)
}

// unreconciledBills returns at most maxReconciled durable bills of shared keys,
// or none if the journal has failed.
func (l *Ledger) unreconciledBills() []Release {
	if l.awaitDurable() != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var bills []Release
	for id, record := range l.unreconciled {
		if l.state.records[id] != record || record.state == stateReleased || record.state == stateVoided {
			delete(l.unreconciled, id)
			continue
		}
		if record.state == stateSettled && len(bills) < maxReconciled {
			bills = append(bills, record.attemptID())
		}
	}
	return bills
}

// markReconciled removes the bills that all other ledgers have compared,
// without the pending ones.
func (l *Ledger) markReconciled(bills []Release, pending map[Release]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, attemptID := range bills {
		if !pending[attemptID] {
			delete(l.unreconciled, recordID{workspace: attemptID.Workspace, key: attemptID.Key})
		}
	}
}

// voidBill voids the bill of an attempt. It does nothing if the attempt has no
// bill or the bill is void already.
func (l *Ledger) voidBill(attemptID Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record, err := l.state.record(attemptID.Workspace, attemptID.Key, attemptID.Attempt)
	if err != nil || record.state != stateSettled {
		return
	}
	l.commit(voided{Attempt: attemptID})
}

// serveReconcile compares another ledger's bills with the bills of this ledger.
// If both billed a key, the bill of the ledger with the lower instance id stays
// and the other is voided.
func (l *Ledger) serveReconcile(_ context.Context, request *reconcileRequest) (*reconcileResponse, error) {
	_, found := l.peerOf(request.Instance)
	if !found {
		return nil, errors.Newf("unknown ledger %s: %w", request.Instance, peer.ErrInvalid)
	}
	response := &reconcileResponse{}
	l.mu.Lock()
	for _, attemptID := range request.Billed {
		record := l.state.records[recordID{workspace: attemptID.Workspace, key: attemptID.Key}]
		switch {
		case record == nil:
		case record.isOpen():
			response.Pending = append(response.Pending, attemptID)
		case record.state == stateSettled && l.options.Instance < request.Instance:
			response.Void = append(response.Void, attemptID)
		case record.state == stateSettled:
			l.commit(voided{Attempt: record.attemptID()})
		}
	}
	l.mu.Unlock()
	err := l.awaitDurable()
	if err != nil {
		return nil, err
	}
	return response, nil
}
