package quorum

import (
	"context"

	"github.com/cactusbay/cactusbay/internal/peer"
	"github.com/cockroachdb/errors"
)

const proposeProcedure = "/quorum/propose"

type proposeRequest struct {
	Command []byte `cbor:"1,keyasint"`
}

type proposeResponse struct {
	Result []byte `cbor:"1,keyasint"`
}

func (n *Node) servePropose(ctx context.Context, request *proposeRequest) (*proposeResponse, error) {
	if !n.leads() {
		return nil, errors.Newf("not the leader: %w", peer.ErrUnavailable)
	}
	result, err := n.Propose(ctx, request.Command)
	if err != nil {
		return nil, err
	}
	return &proposeResponse{Result: result}, nil
}

func (n *Node) forward(ctx context.Context, command []byte) ([]byte, error) {
	address := n.options.Members[0].Address
	response, err := peer.Call[proposeRequest, proposeResponse](ctx, n.options.Client, address, proposeProcedure, &proposeRequest{Command: command})
	if err != nil {
		return nil, errors.Newf("forward to the leader: %w: %w", peer.ErrUnavailable, err)
	}
	return response.Result, nil
}
