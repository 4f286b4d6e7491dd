package group

import (
	"bytes"
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// maxAbandonedHolders bounds the abandoned attempts that are remembered for
// each key.
const maxAbandonedHolders = 16

// claim grants the only execution of a key to one attempt. An attempt that
// abandoned the key stays refused, even if its claim arrives after its
// AbandonClaim.
func (s *state) claim(c Claim) Result {
	id := c.Workspace + "/" + c.Key
	existing, found := s.Claims[id]
	if found && len(existing.BodyHash) > 0 && !bytes.Equal(existing.BodyHash, c.BodyHash) {
		return Result{Code: CodeIDReused, Detail: "the key was used for another request"}
	}
	if slices.Contains(existing.AbandonedHolders, c.Holder) {
		return Result{Code: CodeHeld, Holder: existing.Holder, Detail: "the attempt gave up"}
	}
	if found && !existing.Abandoned && existing.Holder != c.Holder {
		return Result{Code: CodeHeld, Holder: existing.Holder}
	}
	s.Claims[id] = claim{Holder: c.Holder, BodyHash: c.BodyHash, AbandonedHolders: existing.AbandonedHolders}
	return Result{Code: CodeDone, Holder: c.Holder}
}

// abandonClaim records that an attempt abandoned a key, and frees the key if the
// attempt held it. The key need not be claimed yet.
func (s *state) abandonClaim(c AbandonClaim) Result {
	id := c.Workspace + "/" + c.Key
	existing, found := s.Claims[id]
	if !slices.Contains(existing.AbandonedHolders, c.Holder) {
		holders := append(slices.Clone(existing.AbandonedHolders), c.Holder)
		existing.AbandonedHolders = holders[max(0, len(holders)-maxAbandonedHolders):]
	}
	if !found || existing.Holder == c.Holder {
		existing.Abandoned = true
	}
	s.Claims[id] = existing
	return Result{Code: CodeDone}
}

// claimRequest carries a claim or its abandonment; exactly one field is set.
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
	// Addresses are the addresses of the control instances, nearest first.
	Addresses []string
	Client    *peer.Client
}

// Claim requests the only execution of a request. After an error it is unknown
// whether the claim is held: the caller must not dispatch the request and
// should abandon the claim.
func (c *Claimer) Claim(ctx context.Context, claim Claim) (Result, error) {
	return c.call(ctx, &claimRequest{Claim: &claim})
}

// Abandon withdraws a claim whose request was never dispatched.
func (c *Claimer) Abandon(ctx context.Context, abandon AbandonClaim) error {
	_, err := c.call(ctx, &claimRequest{Abandon: &abandon})
	return err
}

func (c *Claimer) call(ctx context.Context, request *claimRequest) (Result, error) {
	var lastErr error
	for _, address := range c.Addresses {
		result, err := peer.Call[claimRequest, Result](ctx, c.Client, address, claimProcedure, request)
		if err == nil {
			return *result, nil
		}
		lastErr = err
	}
	return Result{}, peer.Unavailable("claim at the control group", lastErr)
}
