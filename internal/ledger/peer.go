package ledger

import (
	"context"
	"net/http"
	"time"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	reserveProcedure   = "/ledger/reserve"
	settleProcedure    = "/ledger/settle"
	releaseProcedure   = "/ledger/release"
	awaitProcedure     = "/ledger/await"
	heartbeatProcedure = "/ledger/heartbeat"

	conflictProcedure  = "/ledger/contest"
	reconcileProcedure = "/ledger/reconcile"
)

type reserveRequest struct {
	Reserve Reserve `cbor:"1,keyasint"`
}

type reserveResponse struct {
	Reservation Reservation `cbor:"1,keyasint"`
}

type settleRequest struct {
	Settle Settle `cbor:"1,keyasint"`
}

type releaseRequest struct {
	Release Release `cbor:"1,keyasint"`
}

type awaitRequest struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

type heartbeatRequest struct {
	// Entry is the entry's instance id and epoch: "instance/epoch".
	Entry string `cbor:"1,keyasint"`
}

type emptyResponse struct{}

// Handle registers the procedures for entries and other ledgers on mux. Callers
// authenticate with secret.
func (l *Ledger) Handle(mux *http.ServeMux, secret peer.Secret) {
	peer.Handle(mux, secret, reserveProcedure, l.serveReserve)
	peer.Handle(mux, secret, settleProcedure, l.serveSettle)
	peer.Handle(mux, secret, releaseProcedure, l.serveRelease)
	peer.Handle(mux, secret, awaitProcedure, l.serveAwait)
	peer.Handle(mux, secret, heartbeatProcedure, l.serveHeartbeat)
	peer.Handle(mux, secret, conflictProcedure, l.serveConflict)
	peer.Handle(mux, secret, reconcileProcedure, l.serveReconcile)
}

func (l *Ledger) serveReserve(ctx context.Context, request *reserveRequest) (*reserveResponse, error) {
	reservation, err := l.Reserve(ctx, request.Reserve)
	if err != nil {
		return nil, err
	}
	return &reserveResponse{Reservation: reservation}, nil
}

func (l *Ledger) serveSettle(ctx context.Context, request *settleRequest) (*emptyResponse, error) {
	err := l.Settle(ctx, request.Settle)
	if err != nil {
		return nil, err
	}
	return &emptyResponse{}, nil
}

func (l *Ledger) serveRelease(ctx context.Context, request *releaseRequest) (*emptyResponse, error) {
	err := l.Release(ctx, request.Release)
	if err != nil {
		return nil, err
	}
	return &emptyResponse{}, nil
}

func (l *Ledger) serveAwait(ctx context.Context, request *awaitRequest) (*reserveResponse, error) {
	reservation, err := l.Await(ctx, request.Workspace, request.Key)
	if err != nil {
		return nil, err
	}
	return &reserveResponse{Reservation: reservation}, nil
}

func (l *Ledger) serveHeartbeat(_ context.Context, request *heartbeatRequest) (*emptyResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entryTracker.observe(request.Entry, time.Now())
	return &emptyResponse{}, nil
}
