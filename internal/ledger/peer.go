package ledger

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"connectrpc.com/connect"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	reserveProcedure = "/ledger/reserve"
	settleProcedure  = "/ledger/settle"
	releaseProcedure = "/ledger/release"
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

type emptyResponse struct{}

// Handle serves entries on mux.
func (l *Ledger) Handle(mux *http.ServeMux, secret peer.Secret) {
	peer.Handle(mux, secret, reserveProcedure, l.serveReserve)
	peer.Handle(mux, secret, settleProcedure, l.serveSettle)
	peer.Handle(mux, secret, releaseProcedure, l.serveRelease)
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

// Client calls ledgers from an entry.
type Client struct {
	// Addresses are the control instances, the nearest first.
	Addresses []string
	Peer      *peer.Client
}

// Held is a reservation and the ledger that holds it.
type Held struct {
	Reservation
	// Address is the ledger's, to which settlement and release go.
	Address string
}

// Reserve asks the nearest reachable ledger. The error wraps
// peer.ErrUnavailable when none answered for certain.
func (c *Client) Reserve(ctx context.Context, r Reserve) (Held, error) {
	var last error
	for _, address := range c.Addresses {
		response, err := peer.Call[reserveRequest, reserveResponse](ctx, c.Peer, address, reserveProcedure, &reserveRequest{Reserve: r})
		if err == nil {
			return Held{Reservation: response.Reservation, Address: address}, nil
		}
		last = err
		c.releaseUncertain(ctx, address, r)
	}
	return Held{}, errors.Newf("no ledger answered: %w: %w", peer.ErrUnavailable, last)
}

// releaseUncertain gives back what a ledger whose answer was lost may hold.
func (c *Client) releaseUncertain(ctx context.Context, address string, r Reserve) {
	release := Release{Workspace: r.Workspace, Key: r.Key, Attempt: r.Attempt}
	_ = c.Release(ctx, address, release)
}

// Settle bills at the ledger that holds the reservation.
func (c *Client) Settle(ctx context.Context, address string, s Settle) error {
	_, err := peer.Call[settleRequest, emptyResponse](ctx, c.Peer, address, settleProcedure, &settleRequest{Settle: s})
	if err != nil {
		return errors.Newf("settle: %w", err)
	}
	return nil
}

// Release gives a reservation back to the ledger that holds it.
func (c *Client) Release(ctx context.Context, address string, r Release) error {
	_, err := peer.Call[releaseRequest, emptyResponse](ctx, c.Peer, address, releaseProcedure, &releaseRequest{Release: r})
	if err != nil {
		return errors.Newf("release: %w", err)
	}
	return nil
}

// IsFinal tells whether the same call would fail again.
func IsFinal(err error) bool {
	return connect.CodeOf(err) == connect.CodeInvalidArgument
}
