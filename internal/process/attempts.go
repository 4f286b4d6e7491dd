package process

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cactusbay/cactusbay/internal/backend"
	"github.com/cactusbay/cactusbay/internal/config"
	"github.com/cactusbay/cactusbay/internal/group"
	"github.com/cactusbay/cactusbay/internal/ledger"
)

// attempts asks the backend servers of the newest configuration.
type attempts struct {
	group   *group.Group
	backend *backend.Client
}

// Ask implements ledger.Attempts.
func (a *attempts) Ask(ctx context.Context, server, attempt string) (ledger.AttemptState, int64, error) {
	version, _ := a.group.Current()
	document, err := config.Parse(version.Document)
	if err != nil {
		return "", 0, errors.Newf("parse configuration: %w", err)
	}
	found, ok := document.BackendServers[server]
	if !ok || found.Kind != config.KindModel {
		return "", 0, errors.Newf("backend server %s: %w", server, backend.ErrNoAttempts)
	}
	answer, err := a.backend.Attempt(ctx, found.Address, attempt)
	if err != nil {
		return "", 0, err
	}
	return ledger.AttemptState(answer.State), answer.Tokens(), nil
}
