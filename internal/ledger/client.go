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
	// reserveTimeout bounds one call, so that time remains to call the next
	// ledger.
	reserveTimeout = 1500 * time.Millisecond
	// maxRedirects bounds the calls of one reservation that follow redirects,
	// including the first call.
	maxRedirects = 3
	// maxInsufficient bounds the ledgers that are tried while none of them has
	// enough tokens.
	maxInsufficient = 3
)

// Client calls ledgers on behalf of an entry.
type Client struct {
	// Addresses are the peer addresses of the ledgers, the nearest first.
	Addresses []string
	Peer      *peer.Client
	// ReleaseLater queues the release of an attempt at a ledger whose response
	// was lost. It must not block. If it is nil, the client sends the release
	// once instead.
	ReleaseLater func(address string, r Release)
}

// LocatedReservation is a reservation and the ledger that returned it.
type LocatedReservation struct {
	Reservation
	// Address is the address of that ledger. Settlement and release go to it.
	Address string
}

// Reserve reserves tokens at the nearest reachable ledger and follows its
// redirects to the ledger that holds the key. Each ledger is called with its
// own attempt id; the result names the attempt that holds the reservation. If a
// ledger has too few tokens, Reserve tries a few more: the first one may be
// unable to reach the pool, or have fewer tokens than they do. The error wraps
// peer.ErrUnavailable if no ledger gave a definite response. In that case the
// attempts that may hold a reservation are released.
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
	return LocatedReservation{}, errors.Newf("no ledger responded: %w", errors.Mark(lastErr, peer.ErrUnavailable))
}

// reserveAt reserves at one ledger and follows its redirects. If there are too
// many, it reports the request as running at the ledger that the last one
// names.
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

// reserveOnce makes one call without following redirects. It releases the
// attempt if the response is lost.
func (c *Client) reserveOnce(ctx context.Context, address string, r Reserve) (LocatedReservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	response, err := peer.Call[reserveRequest, reserveResponse](ctx, c.Peer, address, reserveProcedure, &reserveRequest{Reserve: r})
	if err != nil {
		c.releaseAfterLostResponse(ctx, address, r, err)
		return LocatedReservation{}, errors.Newf("reserve at %s: %w", address, err)
	}
	if response.Reservation.Outcome == OutcomeReleased {
		return LocatedReservation{}, errors.Newf("reserve at %s: the attempt was released already", address)
	}
	return LocatedReservation{Reservation: response.Reservation, Address: address}, nil
}

// releaseAfterLostResponse releases an attempt that the ledger may have
// reserved. After a failed dial there is nothing to release, because the ledger
// got no request.
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
// or until the time limit of the ledger, and returns the reservation.
func (c *Client) Await(ctx context.Context, address, workspace, key string) (Reservation, error) {
	response, err := peer.Call[awaitRequest, reserveResponse](ctx, c.Peer, address, awaitProcedure, &awaitRequest{Workspace: workspace, Key: key})
	if err != nil {
		return Reservation{}, errors.Newf("await: %w", err)
	}
	return response.Reservation, nil
}

// Heartbeat reports to a ledger that an epoch of an entry
// ("instance/epoch") is alive.
func (c *Client) Heartbeat(ctx context.Context, address, entry string) error {
	_, err := peer.Call[heartbeatRequest, emptyResponse](ctx, c.Peer, address, heartbeatProcedure, &heartbeatRequest{Entry: entry})
	if err != nil {
		return errors.Newf("heartbeat: %w", err)
	}
	return nil
}

// Settle bills an attempt at the ledger that holds its reservation.
func (c *Client) Settle(ctx context.Context, address string, s Settle) error {
	_, err := peer.Call[settleRequest, emptyResponse](ctx, c.Peer, address, settleProcedure, &settleRequest{Settle: s})
	if err != nil {
		return errors.Newf("settle: %w", err)
	}
	return nil
}

// Release ends a reservation without a bill at the ledger that holds it.
func (c *Client) Release(ctx context.Context, address string, r Release) error {
	_, err := peer.Call[releaseRequest, emptyResponse](ctx, c.Peer, address, releaseProcedure, &releaseRequest{Release: r})
	if err != nil {
		return errors.Newf("release: %w", err)
	}
	return nil
}

// IsPermanent reports whether the same call would fail again.
func IsPermanent(err error) bool {
	return connect.CodeOf(err) == connect.CodeInvalidArgument
}
