package ledger

import (
	"context"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

const (
	// reserveTimeout bounds one ledger's answer, so that the next can be asked.
	reserveTimeout = 1500 * time.Millisecond
	maxRedirects   = 3
	// maxInsufficient bounds the ledgers that are asked for a budget that the nearest
	// one cannot cover.
	maxInsufficient = 3
)

// Client calls ledgers from an entry.
type Client struct {
	// Addresses are the control instances, the nearest first.
	Addresses []string
	Peer      *peer.Client
	// ReleaseLater gives an attempt up at a ledger whose answer was lost; it must
	// not block. Nil means one try at once.
	ReleaseLater func(address string, r Release)
}

// LocatedReservation is a reservation and the ledger that holds it.
type LocatedReservation struct {
	Reservation
	// Address is the ledger's, to which settlement and release go.
	Address string
}

// Reserve asks the nearest reachable ledger and follows it to the one that
// holds the key. Each ledger is asked with an attempt of its own; the answer
// names the one that holds. Where one has too few tokens left, a few others are
// asked: it may be cut off from the pool, or hold less than they do. The error wraps peer.ErrUnavailable when none
// answered for certain; no attempt holds a reservation for long then.
func (c *Client) Reserve(ctx context.Context, r Reserve) (LocatedReservation, error) {
	var lastErr error
	var insufficient []LocatedReservation
	attempt := r.Attempt
	for i, address := range c.Addresses {
		if i > 0 {
			r.Attempt = fmt.Sprintf("%s.%d", attempt, i)
		}
		located, err := c.reserveAt(ctx, address, r)
		if err == nil && located.Outcome != OutcomeInsufficient {
			return located, nil
		}
		if err != nil {
			lastErr = err
			continue
		}
		insufficient = append(insufficient, located)
		if len(insufficient) == maxInsufficient {
			break
		}
	}
	if len(insufficient) > 0 {
		return insufficient[0], nil
	}
	return LocatedReservation{}, errors.Newf("no ledger answered: %w", errors.Mark(lastErr, peer.ErrUnavailable))
}

func (c *Client) reserveAt(ctx context.Context, address string, r Reserve) (LocatedReservation, error) {
	attempt := r.Attempt
	for i := range maxRedirects {
		r.Attempt = fmt.Sprintf("%s-%d", attempt, i)
		located, err := c.reserveOnce(ctx, address, r)
		if err != nil || located.Outcome != OutcomeRedirect {
			return located, err
		}
		address = located.LedgerAddress
	}
	return LocatedReservation{Reservation: Reservation{Outcome: OutcomeRunning}, Address: address}, nil
}

func (c *Client) reserveOnce(ctx context.Context, address string, r Reserve) (LocatedReservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := peer.Call[reserveRequest, reserveResponse](ctx, c.Peer, address, reserveProcedure, &reserveRequest{Reserve: r})
	if err != nil {
		c.releaseAfterLostResponse(ctx, address, r, err)
		return LocatedReservation{}, errors.Newf("reserve at %s: %w", address, err)
	}
	if response.Reservation.Outcome == OutcomeReleased {
		return LocatedReservation{}, errors.Newf("reserve at %s: the attempt was given up", address)
	}
	return LocatedReservation{Reservation: response.Reservation, Address: address}, nil
}

// releaseAfterLostResponse releases what a ledger whose answer was lost may hold.
func (c *Client) releaseAfterLostResponse(ctx context.Context, address string, r Reserve, cause error) {
	var opErr *net.OpError
	if errors.As(cause, &opErr) && opErr.Op == "dial" {
		return
	}
	release := Release{Workspace: r.Workspace, Key: r.Key, Attempt: r.Attempt}
	if c.ReleaseLater != nil {
		c.ReleaseLater(address, release)
		return
	}
	_ = c.Release(ctx, address, release)
}

// Await waits at the ledger that holds a request until its attempt has ended,
// or for a bounded time.
func (c *Client) Await(ctx context.Context, address, workspace, key string) (Reservation, error) {
	response, err := peer.Call[awaitRequest, reserveResponse](ctx, c.Peer, address, awaitProcedure, &awaitRequest{Workspace: workspace, Key: key})
	if err != nil {
		return Reservation{}, errors.Newf("await: %w", err)
	}
	return response.Reservation, nil
}

// Heartbeat tells a ledger that an entry's incarnation lives.
func (c *Client) Heartbeat(ctx context.Context, address, entry string) error {
	_, err := peer.Call[heartbeatRequest, emptyResponse](ctx, c.Peer, address, heartbeatProcedure, &heartbeatRequest{Entry: entry})
	if err != nil {
		return errors.Newf("heartbeat: %w", err)
	}
	return nil
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

// IsPermanent tells whether the same call would fail again.
func IsPermanent(err error) bool {
	return connect.CodeOf(err) == connect.CodeInvalidArgument
}
