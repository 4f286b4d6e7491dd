package group

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

type claimRequest struct {
	Claim   *Claim        `cbor:"1,keyasint,omitempty"`
	Abandon *AbandonClaim `cbor:"2,keyasint,omitempty"`
}

func serveClaim(ctx context.Context, log Log, request *claimRequest) (*Result, error) {
	if request.Claim == nil && request.Abandon == nil {
		return nil, errors.Newf("empty claim: %w", peer.ErrInvalid)
	}
	var command Command
	if request.Claim != nil {
		command = *request.Claim
	} else {
		command = *request.Abandon
	}
	result, err := Propose(ctx, log, command)
	if err != nil {
		return nil, err
	}
	return &result, nil
}

// Claimer claims non-repeatable requests at the control group.
type Claimer struct {
	// Addresses are the control instances, the nearest first.
	Addresses []string
	Client    *peer.Client
}

// Claim asks for the only run of a request. An error means that it is unclear
// whether the claim is held: the caller must not dispatch and should abandon.
func (c *Claimer) Claim(ctx context.Context, claim Claim) (Result, error) {
	return c.call(ctx, &claimRequest{Claim: &claim})
}

// Abandon gives up a claim that was never dispatched.
func (c *Claimer) Abandon(ctx context.Context, abandon AbandonClaim) error {
	_, err := c.call(ctx, &claimRequest{Abandon: &abandon})
	return err
}

func (c *Claimer) call(ctx context.Context, request *claimRequest) (Result, error) {
	var last error
	for _, address := range c.Addresses {
		result, err := peer.Call[claimRequest, Result](ctx, c.Client, address, claimProcedure, request)
		if err == nil {
			return *result, nil
		}
		last = err
	}
	return Result{}, peer.Unavailable("claim at the control group", last)
}
