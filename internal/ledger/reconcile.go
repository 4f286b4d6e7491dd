package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	reconcileTimeout = time.Second
	// maxReconciled bounds the keys of one exchange.
	maxReconciled = 500
)

type reconcileRequest struct {
	// Instance is the ledger that asks.
	Instance string    `cbor:"1,keyasint"`
	Billed   []Release `cbor:"2,keyasint"`
}

type reconcileResponse struct {
	// Void are the keys whose bill the ledger that answers keeps.
	Void []Release `cbor:"1,keyasint,omitempty"`
	// Later are the keys of which it has an open attempt.
	Later []Release `cbor:"2,keyasint,omitempty"`
}

// reconcile compares the bills of shared keys with the ledgers that were not
// asked before the reservation, until all of them have answered.
func (l *Ledger) reconcile(ctx context.Context) {
	billed := l.uncheckedBills()
	checked := true
	later := make(map[Release]bool)
	for _, other := range l.options.Peers {
		if len(billed) == 0 && !l.isSilent(other.Instance) {
			continue
		}
		response, err := l.reconcileWith(ctx, other, billed)
		if err != nil {
			checked = false
			l.setSilent(other.Instance, true)
			continue
		}
		l.setSilent(other.Instance, false)
		for _, name := range response.Void {
			l.void(name)
		}
		for _, name := range response.Later {
			later[name] = true
		}
	}
	if checked {
		l.check(billed, later)
	}
}

func (l *Ledger) isSilent(instance string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[instance]
}

func (l *Ledger) reconcileWith(ctx context.Context, other Peer, billed []Release) (*reconcileResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	request := &reconcileRequest{Instance: l.options.Instance, Billed: billed}
	return peer.Call[reconcileRequest, reconcileResponse](ctx, l.options.Client, other.Address, reconcileProcedure, request)
}

// uncheckedBills returns durable bills of shared keys.
func (l *Ledger) uncheckedBills() []Release {
	if l.durable() != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var billed []Release
	for id, held := range l.unchecked {
		if l.state.records[id] != held || held.state == stateReleased || held.state == stateVoided {
			delete(l.unchecked, id)
			continue
		}
		if held.state == stateSettled && len(billed) < maxReconciled {
			billed = append(billed, held.name())
		}
	}
	return billed
}

func (l *Ledger) check(billed []Release, later map[Release]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range billed {
		if !later[name] {
			delete(l.unchecked, recordID{workspace: name.Workspace, key: name.Key})
		}
	}
}

// void takes the bill of an attempt back, once.
func (l *Ledger) void(name Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, err := l.state.held(name.Workspace, name.Key, name.Attempt)
	if err != nil || held.state != stateSettled {
		return
	}
	l.commit(voided{Attempt: name})
}

// serveReconcile compares another ledger's bills with this one's. The bill of
// the ledger with the lower instance id stays.
func (l *Ledger) serveReconcile(_ context.Context, request *reconcileRequest) (*reconcileResponse, error) {
	_, found := l.peerOf(request.Instance)
	if !found {
		return nil, errors.Newf("unknown ledger %s: %w", request.Instance, peer.ErrInvalid)
	}
	response := &reconcileResponse{}
	l.mu.Lock()
	for _, name := range request.Billed {
		held := l.state.records[recordID{workspace: name.Workspace, key: name.Key}]
		switch {
		case held == nil:
		case held.isOpen():
			response.Later = append(response.Later, name)
		case held.state == stateSettled && l.options.Instance < request.Instance:
			response.Void = append(response.Void, name)
		case held.state == stateSettled:
			l.commit(voided{Attempt: held.name()})
		}
	}
	l.mu.Unlock()
	err := l.durable()
	if err != nil {
		return nil, err
	}
	return response, nil
}
