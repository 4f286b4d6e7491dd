package group

import (
	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/peer"
)

// Snapshot returns the whole state, encoded in CBOR.
func (g *Group) Snapshot() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	data, err := peer.Encode(g.state)
	if err != nil {
		return nil, errors.Newf("encode group state: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state with a snapshot and closes the channel that
// Current returned.
func (g *Group) Restore(data []byte) error {
	restored := newState()
	err := peer.Decode(data, restored)
	if err != nil {
		return errors.Newf("decode group state: %w", err)
	}
	restored.initMaps()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = restored
	close(g.changed)
	g.changed = make(chan struct{})
	return nil
}

// initMaps allocates the maps that the snapshot encoded as null.
func (s *state) initMaps() {
	empty := newState()
	if s.Accounts == nil {
		s.Accounts = empty.Accounts
	}
	if s.Epochs == nil {
		s.Epochs = empty.Epochs
	}
	if s.CommandResults == nil {
		s.CommandResults = empty.CommandResults
	}
	if s.Claims == nil {
		s.Claims = empty.Claims
	}
}
